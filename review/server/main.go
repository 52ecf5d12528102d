// Command server is a stand-in for a model server or an application server, for the cases of the review. It runs as a process of its own, so
// that a case can kill it and the operating system closes its connections.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kingcupplank.example/kingcup/review/lab"
)

const (
	// eventInterval is the time between two events of four tokens each.
	eventInterval = 36 * time.Millisecond
	// promptTokensPerMs is the rate at which prompts are read.
	promptTokensPerMs = 14
	tokensPerEvent    = 4
	// unframedEvery: one of so many answers has no length while the server is told to spoil answers.
	unframedEvery = 20
)

// run is a request that is being worked on.
type run struct {
	id     string
	prompt int
	events atomic.Int64
	// stop is closed by a final move; copying says that a move is in progress.
	stop    chan struct{}
	once    sync.Once
	copying atomic.Bool
	// copied is the number of tokens that were copied, by the address of the other server.
	mu     sync.Mutex
	copied map[string]int
}

func (r *run) tokens() int { return r.prompt + int(r.events.Load())*tokensPerEvent }

type server struct {
	id, zone, address string
	// version is the version of the server's software, which each event names.
	version string

	mu     sync.Mutex
	runs   map[string]*run
	copies map[string]string
	// link is held while memory is sent.
	link     sync.Mutex
	draining atomic.Bool
	spoils   atomic.Bool
	handles  atomic.Int64
}

func main() {
	s := &server{runs: make(map[string]*run), copies: make(map[string]string)}
	flag.StringVar(&s.id, "id", "", "id of the server")
	flag.StringVar(&s.zone, "zone", "", "zone of the server")
	flag.StringVar(&s.version, "version", "v1", "version of the server's software")
	flag.StringVar(&s.address, "address", "127.0.0.1:0", "address to serve on")
	flag.Parse()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s.address = l.Addr().String()
	fmt.Println("serves", s.address)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kingcupplank/report", s.report)
	mux.HandleFunc("POST /kingcupplank/kv-move", s.move)
	mux.HandleFunc("DELETE /kingcupplank/kv-handle/{handle}", s.dropCopy)
	mux.HandleFunc("POST /standin/copy", s.receiveCopy)
	mux.HandleFunc("POST /standin/drain", func(http.ResponseWriter, *http.Request) { s.draining.Store(true) })
	mux.HandleFunc("POST /standin/spoil/{on}", func(_ http.ResponseWriter, r *http.Request) { s.spoils.Store(r.PathValue("on") == "true") })
	mux.HandleFunc("GET /standin/zone", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, s.zone) })
	mux.HandleFunc("/", s.request)
	http.Serve(l, mux)
}

// isUnframed reports whether the answer to a request has neither a length nor chunks.
func (s *server) isUnframed(id string) bool {
	h := fnv.New32a()
	io.WriteString(h, id)
	return s.spoils.Load() && h.Sum32()%unframedEvery == 0
}

func (s *server) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Kingcupplank-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Kingcupplank-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Kingcupplank-Attempt-Id")
	if ref := r.Header.Get("Kv-From"); ref != "" && !s.useCopy(ref, id) {
		w.Header().Set("X-Kingcupplank-Attempt-Id", id)
		w.Header().Set("X-Kingcupplank-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var workMs int
	if n, _ := fmt.Sscanf(string(body), "work=%d", &workMs); n == 1 {
		s.answer(w, id, time.Duration(workMs)*time.Millisecond)
		return
	}
	events, after, prompt := 0, 0, 0
	fmt.Sscanf(string(body), "events=%d", &events)
	fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	fmt.Sscan(strings.Split(r.Header.Get("X-Kingcupplank-Token-Usage"), ",")[0], &prompt)
	u := &run{id: id, prompt: prompt, stop: make(chan struct{}), copied: make(map[string]int)}
	u.events.Store(int64(after))
	s.mu.Lock()
	s.runs[id] = u
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		if s.runs[id] == u {
			delete(s.runs, id)
		}
		s.mu.Unlock()
	}()
	if backup := r.Header.Get("X-Kingcupplank-Kv-Backup"); backup != "" {
		go sendCopy(backup, backup+"/"+id, id)
	}
	if r.Header.Get("Kv-From") == "" {
		select {
		case <-time.After(time.Duration(prompt/promptTokensPerMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	s.stream(w, r, u, events, s.isUnframed(id))
}

// answerBytes is the size of a plain answer.
const answerBytes = 800

// answer works on a plain request and answers it.
func (s *server) answer(w http.ResponseWriter, id string, work time.Duration) {
	fmt.Printf("runs %s for %v\n", id, work)
	time.Sleep(work)
	w.Header().Set("X-Kingcupplank-Attempt-Id", id)
	w.Header().Set("X-Kingcupplank-Response-Seal", "seal."+s.id)
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	io.WriteString(w, strings.Repeat("y", answerBytes))
}

// stream sends the events after the last one that the client has.
func (s *server) stream(w http.ResponseWriter, r *http.Request, u *run, events int, unframed bool) {
	framing := "chunked"
	if unframed {
		framing = "no length"
	}
	fmt.Printf("runs %s from event %d of %d, %s\n", u.id, u.events.Load()+1, events, framing)
	send, abort, end := s.framed(w, u.id)
	if unframed {
		var err error
		if send, abort, end, err = s.unframed(w, u.id); err != nil {
			return
		}
	}
	for n := int(u.events.Load()) + 1; n <= events; n++ {
		if send(fmt.Sprintf("id: %d\ndata: %s token %d of %s\n\n", n, u.id, n, s.version)) != nil {
			return
		}
		u.events.Store(int64(n))
		select {
		case <-u.stop:
			fmt.Printf("stopped %s after event %d for a move\n", u.id, n)
			abort()
			return
		case <-r.Context().Done():
			fmt.Printf("dropped %s after event %d\n", u.id, n)
			abort()
			return
		case <-time.After(eventInterval):
		}
	}
	end()
	fmt.Printf("finished %s\n", u.id)
}

// framed returns the functions for a chunked answer.
func (s *server) framed(w http.ResponseWriter, id string) (send func(string) error, abort, end func()) {
	h := w.Header()
	h.Set("X-Kingcupplank-Attempt-Id", id)
	h.Set("X-Kingcupplank-Response-Seal", "seal."+s.id)
	h.Set("X-Kingcupplank-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
	control := http.NewResponseController(w)
	send = func(text string) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return control.Flush()
	}
	return send, func() { panic(http.ErrAbortHandler) }, func() {}
}

// unframed returns the functions for an answer that ends with its connection. A run that is stopped resets the
// connection, so that its answer does not look whole.
func (s *server) unframed(w http.ResponseWriter, id string) (send func(string) error, abort, end func(), err error) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, nil, err
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Response-Seal: seal.%s\r\nX-Kingcupplank-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, s.id)
	send = func(text string) error {
		_, err := io.WriteString(c, text)
		return err
	}
	abort = func() {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	return send, abort, func() { c.Close() }, nil
}

func (s *server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	active := len(s.runs)
	s.mu.Unlock()
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	fmt.Fprintf(w, `{"phase":"hybrid","state":%q,"activeRequests":%d}`, state, active)
}

// move copies the memory of a run to another server. Copies queue on the link, and one between zones takes twice as
// long.
func (s *server) move(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID    string `json:"id"`
		To    string `json:"to"`
		Final bool   `json:"final"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	u := s.runs[call.ID]
	s.mu.Unlock()
	if u == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !u.copying.CompareAndSwap(false, true) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	defer u.copying.Store(false)
	if call.Final {
		u.once.Do(func() { close(u.stop) })
	}
	zone, ok := zoneOf(call.To)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.link.Lock()
	u.mu.Lock()
	tokens := u.tokens()
	bytes := float64(tokens-u.copied[call.To]) * lab.KVTokenBytes
	u.copied[call.To] = tokens
	u.mu.Unlock()
	took := time.Duration(bytes * 8 / (lab.KVLinkMbps * 1e6) * float64(time.Second))
	if zone != s.zone {
		took *= 2
	}
	time.Sleep(took)
	s.link.Unlock()
	handle := "h" + strconv.FormatInt(s.handles.Add(1), 10)
	if !sendCopy(call.To, s.address+"/"+handle, call.ID) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintf(w, `{"kvHandle":%q,"createdRevision":%d}`, handle, u.events.Load())
}

var quick = &http.Client{Timeout: time.Second}

func zoneOf(address string) (string, bool) {
	resp, err := quick.Get("http://" + address + "/standin/zone")
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	zone, err := io.ReadAll(resp.Body)
	return string(zone), err == nil
}

// sendCopy tells another server that it holds a copy.
func sendCopy(to, ref, id string) bool {
	data, _ := json.Marshal([2]string{ref, id})
	resp, err := quick.Post("http://"+to+"/standin/copy", "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}

func (s *server) receiveCopy(w http.ResponseWriter, r *http.Request) {
	var c [2]string
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.copies[c[0]] = c[1]
	s.mu.Unlock()
}

// useCopy takes a copy of a run, once.
func (s *server) useCopy(ref, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies[ref] != id {
		return false
	}
	delete(s.copies, ref)
	return true
}

func (s *server) dropCopy(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.copies, s.address+"/"+r.PathValue("handle"))
}
