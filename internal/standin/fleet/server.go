package fleet

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Execution is a request that a server executed.
type Execution struct {
	ID, Method, Target, Body string
	Header                   http.Header
	At                       time.Time
	// FromCopy says whether the run continued from a copy of its KV cache.
	FromCopy bool
}

// Arrival is a request that reached a server, whether it was executed or rejected.
type Arrival struct {
	ID string
	At time.Time
}

// Server is a backend server. It is a model engine if Behavior.Events is set, otherwise a
// plain service.
type Server struct {
	ID, Service, Address, FailureDomain string
	// StartTime is when this incarnation started, in Unix milliseconds.
	StartTime int64

	store    *Store
	started  time.Time
	http     *http.Server
	listener net.Listener
	// serverAt returns the server that had an address last, nil if there was none.
	serverAt func(address string) *Server
	// crash is Fleet.Crash.
	crash func(*Server)

	mu sync.Mutex
	// executions are the requests that were executed, arrivals all that reached the server.
	executions []Execution
	arrivals   []Arrival
	runs       map[string]*run
	// workings are the times in which it worked on requests that are over.
	workings []Working
	// copies has the attempt's id of each copy of a run's KV cache, by the copy's handle:
	// copies of migrations that started here and standby copies held here.
	copies map[string]string
	// holders has the address of the server that received the copy of a migration, by its handle.
	holders map[string]string
	// standbys are the handles of standby copies held here. They can't be deleted: an engine keeps
	// a copy that it receives as the run grows until the run ends.
	standbys map[string]bool
	behavior Behavior
	state    string
	// coldUntil is when the server stops being cold.
	coldUntil time.Time

	// reading is held while a prompt is read.
	reading sync.RWMutex

	stopped atomic.Bool
	// entryRemoved says whether the server's entry was removed.
	entryRemoved atomic.Bool
	// hung is closed when the server hangs.
	hung       chan struct{}
	inProgress atomic.Int64
}

// run is a stream in progress.
type run struct {
	lastEvent atomic.Int64
	stop      chan struct{}
	once      sync.Once
}

func (u *run) abort() { u.once.Do(func() { close(u.stop) }) }

// isOver reports whether the run has ended, nil, or was told to.
func (u *run) isOver() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.stop:
		return true
	default:
		return false
	}
}

// newServer starts a server and writes its entry.
func newServer(f *Fleet, service, domain, id string, b Behavior) (*Server, error) {
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
	s := &Server{ID: id, Service: service, Address: address, FailureDomain: domain, StartTime: time.Now().UnixMilli(), behavior: b}
	s.start(f, l)
	return s, nil
}

// start starts an incarnation of the server, which has no runs and no copies.
func (s *Server) start(f *Fleet, l net.Listener) {
	s.store, s.listener, s.serverAt, s.crash = f.Store, l, f.lastServerAt, f.Crash
	s.runs, s.copies, s.holders, s.standbys = make(map[string]*run), make(map[string]string), make(map[string]string), make(map[string]bool)
	s.state, s.hung, s.started = "ready", make(chan struct{}), time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kingcupplank/report", s.handleReport)
	mux.HandleFunc("POST /kingcupplank/kv-move", s.handleMigration)
	mux.HandleFunc("DELETE /kingcupplank/kv-handle/{handle}", s.handleDeleteCopy)
	// Platform calls for another process that used this port before.
	mux.HandleFunc("/kingcupplank/", http.NotFound)
	mux.HandleFunc("/", s.handleRequest)
	s.http = &http.Server{Handler: mux, ConnContext: withConn}
	go s.http.Serve(l)
	s.writeEntry()
}

// DefaultSoftwareVersion is the software version of a server whose Behavior names none.
const DefaultSoftwareVersion = "v1"

func (b Behavior) softwareVersion() string { return cmp.Or(b.SoftwareVersion, DefaultSoftwareVersion) }

// SoftwareVersion returns the version of the server's software.
func (s *Server) SoftwareVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior.softwareVersion()
}

// defaultSlots is the number of slots of a server whose Behavior sets none.
const defaultSlots = 8

func (s *Server) writeEntry() {
	s.mu.Lock()
	state, slots, coldRemaining := s.state, cmp.Or(s.behavior.Slots, defaultSlots), max(0, time.Until(s.coldUntil))
	version := s.behavior.softwareVersion()
	s.mu.Unlock()
	s.store.Put("servers", s.ID, map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.FailureDomain, "version": version, "slots": slots,
		"state": state, "coldRemainingMs": coldRemaining.Milliseconds(), "sequence": 1, "born": s.StartTime,
	})
}

// SetColdFor makes the server cold for d from now on and updates its entry.
func (s *Server) SetColdFor(d time.Duration) {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(d)
	s.mu.Unlock()
	s.writeEntry()
}

// SetBehavior changes how the server responds from now on.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

// StartDraining sets the server's state to draining. If inEntry is set, its entry is updated too.
func (s *Server) StartDraining(inEntry bool) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	if inEntry {
		s.writeEntry()
	}
}

// Heartbeat writes the server's entry again.
func (s *Server) Heartbeat() { s.writeEntry() }

// RemoveEntry removes the server's entry without marking the server as draining first.
func (s *Server) RemoveEntry() {
	s.entryRemoved.Store(true)
	s.store.Remove("servers", s.ID)
}

// rewriteEntry writes or removes the server's entry again after the store was restored from a
// backup.
func (s *Server) rewriteEntry() {
	if s.entryRemoved.Load() {
		s.store.Remove("servers", s.ID)
		return
	}
	s.writeEntry()
}

// Kill stops the server and closes its connections at once.
func (s *Server) Kill() {
	if s.stopped.Swap(true) {
		return
	}
	s.http.Close()
}

// Hang makes the server hang: it accepts no connection and sends no event, but its connections
// stay open.
func (s *Server) Hang() {
	close(s.hung)
	s.listener.Close()
}

// Executions returns the requests that the server executed.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// Arrivals returns the requests that reached the server, except those meant for another server.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// RunningStreams returns the number of streams in progress.
func (s *Server) RunningStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// CopyCount returns the number of copies that were made of this server's runs or are held here.
func (s *Server) CopyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.copies)
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	b := s.behavior
	s.mu.Unlock()
	if b.ForRequest != nil {
		b = b.ForRequest(b, r)
	}
	b.Trouble.readLate()
	connOf(r).sendLate()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Kingcupplank-Attempt-Id", r.Header.Get("X-Kingcupplank-Attempt-Id"))
	if expectedID := r.Header.Get("X-Kingcupplank-Expect-Instance"); expectedID != "" && expectedID != s.ID {
		w.Header().Set("X-Kingcupplank-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.recordArrival(r)
	maps.Copy(w.Header(), b.Headers)
	if b.RejectAll || rand.Float64() < b.Trouble.RejectShare {
		b.reject(w, r)
		return
	}
	lastReceived := 0
	if copyRef := r.Header.Get("Kv-From"); copyRef != "" {
		if !s.useCopy(copyRef, r.Header.Get("X-Kingcupplank-Attempt-Id")) {
			w.Header().Set("X-Kingcupplank-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	fmt.Sscan(r.Header.Get("Last-Event-Id"), &lastReceived)
	s.mu.Lock()
	s.executions = append(s.executions, Execution{
		ID: r.Header.Get("X-Kingcupplank-Attempt-Id"), Method: r.Method, Target: r.RequestURI,
		Body: string(body), Header: r.Header.Clone(), At: time.Now(), FromCopy: r.Header.Get("Kv-From") != "",
	})
	s.mu.Unlock()
	if b.Trouble.answerWrongly(w) {
		return
	}
	if b.Raw != nil {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			defer c.Close()
			b.Raw(c, r)
		}
		return
	}
	if b.CrashesOn(r.Header, string(body)) {
		time.AfterFunc(b.Delay+b.CrashDelay, func() { s.crash(s) })
		b = b.neverFinishing()
	}
	s.respond(w, r, b, lastReceived)
}

func (s *Server) recordArrival(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, Arrival{ID: r.Header.Get("X-Kingcupplank-Attempt-Id"), At: time.Now()})
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, b Behavior, lastReceived int) {
	work := &Working{ID: r.Header.Get("X-Kingcupplank-Attempt-Id"), From: time.Now(), IsStream: b.Events > 0, Ending: EndClosed}
	defer s.recordWorking(work)
	delay, inProgress := b.Delay, s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	if b.Slots > 0 {
		delay = b.Delay * time.Duration(max(1, inProgress)) / time.Duration(min(int(max(1, inProgress)), b.Slots))
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Kingcupplank-Response-Seal", "seal-"+s.ID)
	if b.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if b.Status >= 300 {
		w.WriteHeader(b.Status)
		io.WriteString(w, "failed")
		work.Ending = EndComplete
		return
	}
	if b.Events == 0 {
		work.Ending = EndComplete
		io.WriteString(w, "answer of "+s.ID)
		b.Trouble.AnswersAgain.send(r, http.StatusOK, "X-Kingcupplank-Response-Seal: seal-"+s.ID+"\r\n", "answer of "+s.ID)
		return
	}
	s.streamEvents(w, r, b, lastReceived, work)
}

func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, b Behavior, lastReceived int, work *Working) {
	id := work.ID
	if standby := s.serverAt(r.Header.Get("X-Kingcupplank-Kv-Backup")); standby != nil {
		standby.addStandbyCopy(id)
	}
	active := &run{stop: make(chan struct{})}
	active.lastEvent.Store(int64(lastReceived))
	s.mu.Lock()
	s.runs[id] = active
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		if s.runs[id] == active {
			delete(s.runs, id)
		}
		s.mu.Unlock()
	}()
	ctx := b.streamContext(r)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	if b.ShortEvents > 0 && r.URL.Path == CheckPath {
		b.Events = b.ShortEvents
	}
	if lastReceived == 0 {
		s.readPrompt(r, b)
	}
	for n := lastReceived + 1; n <= b.Events; n++ {
		io.WriteString(w, EventText(n, cmp.Or(b.SoftwareVersion, strings.Repeat("x", b.Padding))))
		if controller.Flush() != nil && ctx.Done() != nil {
			return
		}
		if s.stopped.Load() {
			work.Ending = EndBroken
			panic(http.ErrAbortHandler)
		}
		active.lastEvent.Store(int64(n))
		select {
		case <-active.stop:
			// The stream breaks off within an event.
			work.Ending = EndTold
			fmt.Fprintf(w, "id: %d\nda", n+1)
			controller.Flush()
			panic(http.ErrAbortHandler)
		case <-s.hung:
			<-r.Context().Done()
			work.Ending = EndBroken
			return
		case <-ctx.Done():
			return
		case <-time.After(b.interval(n, time.Since(s.started))):
		}
		s.awaitPrompts(b)
	}
	work.Ending = EndComplete
}

// EventText returns the n-th event of a stream, counted from 1, of an engine whose Behavior has a software
// version.
func EventText(n int, softwareVersion string) string {
	if softwareVersion != "" {
		softwareVersion = " " + softwareVersion
	}
	return fmt.Sprintf("id: %d\ndata: tok%d%s\n\n", n, n, softwareVersion)
}

// readPrompt takes the time to read a prompt, one after the other.
func (s *Server) readPrompt(r *http.Request, b Behavior) {
	if b.PromptTime <= 0 {
		return
	}
	s.reading.Lock()
	defer s.reading.Unlock()
	select {
	case <-time.After(b.Dips.stretch(b.PromptTime, time.Since(s.started))):
	case <-s.hung:
	case <-r.Context().Done():
	}
}

// awaitPrompts returns once the prompt that is being read now, if any, has been read.
func (s *Server) awaitPrompts(b Behavior) {
	if b.PromptTime > 0 {
		s.reading.RLock()
		defer s.reading.RUnlock()
	}
}

func (s *Server) handleReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(w, `{"phase":"hybrid","state":%q,"activeRequests":%d,"born":%d}`, s.state, len(s.runs), s.StartTime)
}

// addStandbyCopy stores a standby copy of a run under the run's id as its handle.
func (s *Server) addStandbyCopy(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behavior.Trouble.NoStandby {
		return
	}
	s.copies[id], s.standbys[id] = id, true
}

// useCopy removes the copy "address/handle" of the run with the given id from the server that
// recorded it. It returns false if there is no such copy that this server can use.
func (s *Server) useCopy(ref, id string) bool {
	address, handle, _ := strings.Cut(ref, "/")
	source := s.serverAt(address)
	if source == nil {
		return false
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	if !source.canUseCopy(handle, id, s.Address) {
		return false
	}
	delete(source.copies, handle)
	delete(source.holders, handle)
	delete(source.standbys, handle)
	return true
}
