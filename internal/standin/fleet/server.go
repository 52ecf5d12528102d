package fleet

import (
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Execution is a request as a server got it.
type Execution struct {
	ID, Method, Target, Body string
	Header                   http.Header
	At                       time.Time
	// FromCopy says that the request went on from a copy of its run.
	FromCopy bool
}

// Arrival is a request that reached a server, whether it ran or was refused.
type Arrival struct {
	ID string
	At time.Time
}

// Server is a backend server: a plain service, or a model engine if Events is set.
type Server struct {
	ID, Service, Address, FailureDomain string
	// StartTime is the Unix millisecond of its start.
	StartTime int64

	store    *Store
	http     *http.Server
	listener net.Listener
	// peers are all engines, by address.
	peers func(address string) *Server
	// end ends the server as by a fault of its own.
	end func(*Server)

	mu sync.Mutex
	// seen are the requests that it ran, arrived all that were sent to it.
	seen    []Execution
	arrived []Arrival
	runs    map[string]*run
	// copies are runs' memories that were moved here or stay after a stop, by
	// handle.
	copies map[string]string
	behave Behavior
	state  string
	// coldUntil is when the server is warm.
	coldUntil time.Time

	stopped atomic.Bool
	// left says that the server's entry was dropped.
	left atomic.Bool
	// dark is closed when the server falls silent.
	dark    chan struct{}
	waiting atomic.Int64
}

// Behavior is how a server answers.
type Behavior struct {
	// Delay is the time before an answer's head.
	Delay time.Duration
	// Status replaces 200.
	Status int
	// RejectAll refuses everything as not run.
	RejectAll bool
	// Headers are headers of every answer, refusals too.
	Headers http.Header
	// Events is the number of events of a stream, EventEvery the time between two.
	Events        int
	EventInterval time.Duration
	// CopyTime is how long a copy of a run takes.
	CopyTime time.Duration
	// CrashOn, if set, has the server end EndsAfter the first byte of its answer to a
	// request whose body contains it; see Fleet.End.
	CrashOn    string
	CrashDelay time.Duration
	// Raw, if set, answers in the server's place, on the bare connection.
	Raw func(c net.Conn, r *http.Request)
}

// endless is the behaviour towards a request that is not answered whole before the server
// ends under it.
func (b Behavior) endless() Behavior {
	if b.Events > 0 {
		b.Events = math.MaxInt
	} else {
		b.Delay = time.Hour
	}
	return b
}

// run is a stream in progress.
type run struct {
	last atomic.Int64
	stop chan struct{}
	once sync.Once
}

func (u *run) halt() { u.once.Do(func() { close(u.stop) }) }

// newServer starts a server and announces it.
func newServer(f *Fleet, service, zone, id string, b Behavior) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := l.Addr().String()
	if f.AddProxy != nil {
		if address, err = f.AddProxy(address); err != nil {
			l.Close()
			return nil, err
		}
	}
	s := &Server{ID: id, Service: service, Address: address, FailureDomain: zone, StartTime: time.Now().UnixMilli(), behave: b}
	s.serve(f, l)
	return s, nil
}

// serve begins a life of the server: it knows of no run and no copy.
func (s *Server) serve(f *Fleet, l net.Listener) {
	s.store, s.listener, s.peers, s.end = f.Store, l, f.byAddress, f.Crash
	s.runs, s.copies = make(map[string]*run), make(map[string]string)
	s.state, s.dark = "ready", make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kingcupplank/report", s.report)
	mux.HandleFunc("POST /kingcupplank/kv-move", s.move)
	mux.HandleFunc("DELETE /kingcupplank/kv-handle/{handle}", s.dropHandle)
	// Calls of the platform that are meant for another process, which had the port before.
	mux.HandleFunc("/kingcupplank/", http.NotFound)
	mux.HandleFunc("/", s.request)
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(l)
	s.announce()
}

func (s *Server) announce() {
	s.mu.Lock()
	state, cold := s.state, max(0, time.Until(s.coldUntil))
	s.mu.Unlock()
	s.store.Put("servers", s.ID, map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.FailureDomain, "version": "v1", "slots": 8,
		"state": state, "coldRemainingMs": cold.Milliseconds(), "sequence": 1, "born": s.StartTime,
	})
}

// SetColdFor makes the server cold for some time from now on; its entry says so.
func (s *Server) SetColdFor(d time.Duration) {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(d)
	s.mu.Unlock()
	s.announce()
}

// SetBehavior changes how the server answers from now on.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behave = b
}

// StartDraining says that the server is leaving; told says whether its entry does.
func (s *Server) StartDraining(told bool) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	if told {
		s.announce()
	}
}

// Heartbeat writes the server's entry anew.
func (s *Server) Heartbeat() { s.announce() }

// RemoveEntry drops the server's entry, without another word.
func (s *Server) RemoveEntry() {
	s.left.Store(true)
	s.store.Remove("servers", s.ID)
}

// rewrite has the server's entry be as it last was, in a store that has come back older.
func (s *Server) rewrite() {
	if s.left.Load() {
		s.store.Remove("servers", s.ID)
		return
	}
	s.announce()
}

// Kill ends the server and its connections at once.
func (s *Server) Kill() {
	if s.stopped.Swap(true) {
		return
	}
	s.http.Close()
}

// Hang has the server fall silent: it takes no connection and brings no event, and
// the connections that it has stay open.
func (s *Server) Hang() {
	close(s.dark)
	s.listener.Close()
}

// Executions lists the requests that the server ran.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.seen...)
}

// Arrivals lists the requests that reached the server, but for those meant for another one.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrived...)
}

// InProgress counts the requests that are not answered.
func (s *Server) InProgress() int { return int(s.waiting.Load()) }

// RunningStreams counts the streams in progress.
func (s *Server) RunningStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	b := s.behave
	s.mu.Unlock()
	if want := r.Header.Get("X-Kingcupplank-Expect-Instance"); want != "" && want != s.ID {
		w.Header().Set("X-Kingcupplank-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.arrive(r)
	maps.Copy(w.Header(), b.Headers)
	if b.RejectAll {
		w.Header().Set("X-Kingcupplank-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from := 0
	if copyOf := r.Header.Get("Kv-From"); copyOf != "" {
		if !s.takeCopy(copyOf, r.Header.Get("X-Kingcupplank-Attempt-Id")) {
			w.Header().Set("X-Kingcupplank-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	s.mu.Lock()
	s.seen = append(s.seen, Execution{
		ID: r.Header.Get("X-Kingcupplank-Attempt-Id"), Method: r.Method, Target: r.RequestURI,
		Body: string(body), Header: r.Header.Clone(), At: time.Now(), FromCopy: r.Header.Get("Kv-From") != "",
	})
	s.mu.Unlock()
	if b.Raw != nil {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			defer c.Close()
			b.Raw(c, r)
		}
		return
	}
	if b.CrashOn != "" && strings.Contains(string(body), b.CrashOn) {
		time.AfterFunc(b.Delay+b.CrashDelay, func() { s.end(s) })
		b = b.endless()
	}
	s.answer(w, r, b, from)
}

func (s *Server) arrive(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived = append(s.arrived, Arrival{ID: r.Header.Get("X-Kingcupplank-Attempt-Id"), At: time.Now()})
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, b Behavior, from int) {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case <-time.After(b.Delay):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Kingcupplank-Attempt-Id", r.Header.Get("X-Kingcupplank-Attempt-Id"))
	w.Header().Set("X-Kingcupplank-Response-Seal", "seal-"+s.ID)
	if b.Status >= 300 {
		w.WriteHeader(b.Status)
		io.WriteString(w, "failed")
		return
	}
	if b.Events == 0 {
		io.WriteString(w, "answer of "+s.ID)
		return
	}
	s.stream(w, r, b, from)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, b Behavior, from int) {
	id := r.Header.Get("X-Kingcupplank-Attempt-Id")
	if backup := s.peers(r.Header.Get("X-Kingcupplank-Kv-Backup")); backup != nil {
		backup.keep(id)
	}
	u := &run{stop: make(chan struct{})}
	u.last.Store(int64(from))
	s.mu.Lock()
	s.runs[id] = u
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.runs, id)
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := from + 1; n <= b.Events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: tok%d\n\n", n, n)
		if flush.Flush() != nil {
			return
		}
		u.last.Store(int64(n))
		select {
		case <-u.stop:
			// Half an event, and no end.
			fmt.Fprintf(w, "id: %d\nda", n+1)
			flush.Flush()
			panic(http.ErrAbortHandler)
		case <-s.dark:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		case <-time.After(b.EventInterval):
		}
	}
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(w, `{"phase":"hybrid","state":%q,"activeRequests":%d}`, s.state, len(s.runs))
}

// keep takes a standing copy of a run; its handle is the run's id.
func (s *Server) keep(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[id] = id
}

// takeCopy uses up a copy that was given a handle, here or at its source.
func (s *Server) takeCopy(from, id string) bool {
	address, handle, _ := strings.Cut(from, "/")
	source := s.peers(address)
	if source == nil {
		return false
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	if source.copies[handle] != id {
		return false
	}
	delete(source.copies, handle)
	return true
}
