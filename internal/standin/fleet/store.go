// Package fleet stands in for the users' platform: its row store, its backend
// servers and its operator, over HTTP on loopback, with faults that a test or a
// demonstration turns on.
package fleet

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"kingcupplank.example/kingcup/internal/standin"
)

// Row is a row of the store as it is written on the wire.
type Row struct {
	Table   string `json:"tableName"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"rowVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Fault is what the store does to calls.
type Fault int

// The faults of a store.
const (
	// NoFault answers.
	NoFault Fault = iota
	// Busy answers 503.
	Busy
	// Silent does not answer.
	Silent
	// Reset closes connections.
	Reset
)

// Endpoint is an address of the store with faults of its own, as one VM meets them.
type Endpoint struct {
	Address string

	store *Store
	http  *http.Server
	fault Fault
	calls int
	// link carries the answers, nil for one without a rate.
	link *standin.Link
}

// Store is the platform's store.
type Store struct {
	handler http.Handler
	start   time.Time
	stopped chan struct{}

	mu      sync.Mutex
	rows    map[string]Row
	history []Row
	version uint64
	oldest  uint64
	// era rises each time that the store comes back from a copy; 0 says nothing of it.
	era     uint64
	changed chan struct{}
	doors   []*Endpoint
	calls   int
	// slow is how long reading a table takes.
	slow map[string]time.Duration
}

// NewStore returns an empty store without a door.
func NewStore() *Store {
	s := &Store{
		start: time.Now(), stopped: make(chan struct{}),
		rows: make(map[string]Row), changed: make(chan struct{}), slow: make(map[string]time.Duration), era: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kingcupplank/rows-get", s.get)
	mux.HandleFunc("GET /kingcupplank/rows-feed", s.feed)
	mux.HandleFunc("POST /kingcupplank/rows-tx", s.transact)
	s.handler = mux
	return s
}

// AddEndpoint starts a door on loopback.
func (s *Store) AddEndpoint() (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Endpoint{Address: l.Addr().String(), store: s}
	d.http = &http.Server{Handler: d}
	s.mu.Lock()
	s.doors = append(s.doors, d)
	s.mu.Unlock()
	go d.http.Serve(l)
	return d, nil
}

// Close ends the store.
func (s *Store) Close() {
	close(s.stopped)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.doors {
		d.http.Close()
	}
}

// SetFault changes what happens to calls, also to those that wait.
func (d *Endpoint) SetFault(f Fault) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.fault = f
}

// Calls is how many calls have come through the door.
func (d *Endpoint) Calls() int {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	return d.calls
}

// SetLink gives the answers a link with a rate.
func (d *Endpoint) SetLink(l *standin.Link) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.link = l
}

// SetReadDelay changes how long reading a table takes.
func (s *Store) SetReadDelay(table string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow[table] = d
}

// SetFault changes what happens to calls at all doors.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.doors {
		d.fault = f
	}
}

// EncodedSize is how many bytes a row takes in an answer.
func (s *Store) EncodedSize(table, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return base64.StdEncoding.EncodedLen(len(s.rows[id(table, "", key)].Data))
}

// Calls counts the calls so far, refused ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Backup is what the store held at some time.
type Backup struct {
	rows    map[string]Row
	version uint64
}

// Backup makes a copy of the store.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{rows: maps.Clone(s.rows), version: s.version}
}

// Restore has the store come back from a copy: what was written since is gone, and its
// versions are given out again.
func (s *Store) Restore(c *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.history, s.oldest = nil, c.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Row returns the data of a row, nil if it is not there.
func (s *Store) Row(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[id(table, "", key)].Data
}

// SetEra changes what the store says of its era, 0 for nothing.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Put writes a row, as the platform's own programs do.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("fleet: value cannot be encoded: " + err.Error())
	}
	s.PutBytes(table, key, data)
}

// PutBytes writes a row of any bytes, as another writer may.
func (s *Store) PutBytes(table, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Data: data})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[id(table, "", key)]; ok {
		s.write(Row{Table: table, Key: key, Deleted: true})
	}
}

func id(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// write applies one change as a transaction of its own; mu is held.
func (s *Store) write(r Row) {
	s.version++
	s.apply(r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) apply(r Row) {
	r.Version = s.version
	s.history = append(s.history, r)
	if r.Deleted {
		delete(s.rows, id(r.Table, r.Part, r.Key))
		return
	}
	s.rows[id(r.Table, r.Part, r.Key)] = r
}

// ServeHTTP implements http.Handler.
func (d *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := d.store
	s.mu.Lock()
	s.calls++
	d.calls++
	fault, link, era := d.fault, d.link, s.era
	s.mu.Unlock()
	if link != nil {
		w = &linked{w, link}
	}
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		select {
		case <-r.Context().Done():
		case <-s.stopped:
		}
		panic(http.ErrAbortHandler)
	default:
		if era > 0 {
			w = &stamped{w, s}
		}
		s.handler.ServeHTTP(w, r)
	}
}

type answer struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	NowMs   int64  `json:"serverTimeMs"`
}

// stamped names the store's era in an answer's head, as it is when the answer is made.
type stamped struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader implements http.ResponseWriter.
func (s *stamped) WriteHeader(status int) {
	s.store.mu.Lock()
	era := s.store.era
	s.store.mu.Unlock()
	s.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	s.ResponseWriter.WriteHeader(status)
}

// segment is how many bytes pass a link in one go: the window of a connection of the
// platform's thin VMs.
const segment = 16 << 10

// linked writes an answer through a link.
type linked struct {
	http.ResponseWriter
	link *standin.Link
}

// Write implements http.ResponseWriter.
func (l *linked) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		part := p[:min(len(p), segment)]
		l.link.Transfer(len(part))
		var wrote int
		wrote, err = l.ResponseWriter.Write(part)
		n, p = n+wrote, p[len(part):]
	}
	return n, err
}

// answer makes an answer; mu is held. It is written without mu: a slow link must not
// hold up the others.
func (s *Store) answer(status int, rows []Row) (int, answer) {
	return status, answer{Rows: rows, Version: s.version, NowMs: time.Since(s.start).Milliseconds()}
}

func write(w http.ResponseWriter, status int, a answer) {
	body, err := json.Marshal(a)
	if err != nil {
		panic("fleet: answer cannot be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	slow := s.slow[q.Get("tableName")]
	s.mu.Unlock()
	time.Sleep(slow)
	status, a := s.table(q)
	write(w, status, a)
}

// table is what a table holds from a key on.
func (s *Store) table(q url.Values) (int, answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for _, row := range s.rows {
		if row.Table == q.Get("tableName") && row.Part == q.Get("part") && row.Key >= q.Get("startKey") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return s.answer(http.StatusOK, rows)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRevision"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("waitTimeoutMs"), 10, 64)
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		if since < s.oldest || since > s.version {
			status, a := s.answer(http.StatusGone, nil)
			s.mu.Unlock()
			write(w, status, a)
			return
		}
		rows := s.since(q.Get("tableName"), since)
		if len(rows) > 0 || expired {
			status, a := s.answer(http.StatusOK, rows)
			s.mu.Unlock()
			write(w, status, a)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

func (s *Store) since(table string, version uint64) (rows []Row) {
	for _, row := range s.history {
		if row.Table == table && row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []Row `json:"precondition"`
		Write        []Row `json:"write"`
		Remove       []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, a := s.commit(tx.Precondition, tx.Write, tx.Remove)
	write(w, status, a)
}

// commit applies a transaction if its conditions hold.
func (s *Store) commit(conditions, writes, removes []Row) (int, answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range conditions {
		if s.rows[id(p.Table, p.Part, p.Key)].Version != p.Version {
			return s.answer(http.StatusPreconditionFailed, nil)
		}
	}
	s.version++
	for _, row := range writes {
		s.apply(row)
	}
	for _, row := range removes {
		row.Deleted = true
		s.apply(row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.answer(http.StatusOK, nil)
}
