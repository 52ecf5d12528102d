// Package fleet is a stand-in for the users' platform: its row store, backend
// servers and operator, over HTTP on loopback. Tests and demonstrations can inject
// faults.
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

// Row is a row of the store in its wire format.
type Row struct {
	Table   string `json:"tableName"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"rowVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Fault is how the store fails calls.
type Fault int

// The faults of a store.
const (
	// NoFault handles calls normally.
	NoFault Fault = iota
	// Busy responds with status 503.
	Busy
	// Silent never responds.
	Silent
	// Reset closes connections without a response.
	Reset
)

// Endpoint is an address of the store with faults of its own, for example for one VM.
type Endpoint struct {
	Address string

	store     *Store
	http      *http.Server
	fault     Fault
	callCount int
	// link limits the bandwidth of responses; nil means no limit.
	link *standin.Link
}

// Store is the platform's store.
type Store struct {
	handler   http.Handler
	startTime time.Time
	stopped   chan struct{}

	mu            sync.Mutex
	rows          map[string]Row
	history       []Row
	version       uint64
	oldestVersion uint64
	// era grows with each restore from a backup. With 0, responses don't name it.
	era       uint64
	changed   chan struct{}
	endpoints []*Endpoint
	callCount int
	// readDelays has the delay of reads, by table.
	readDelays map[string]time.Duration
}

// NewStore returns an empty store without endpoints.
func NewStore() *Store {
	s := &Store{
		startTime: time.Now(), stopped: make(chan struct{}),
		rows: make(map[string]Row), changed: make(chan struct{}), readDelays: make(map[string]time.Duration), era: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kingcupplank/rows-get", s.handleGet)
	mux.HandleFunc("GET /kingcupplank/rows-feed", s.handleFeed)
	mux.HandleFunc("POST /kingcupplank/rows-tx", s.handleTransaction)
	s.handler = mux
	return s
}

// AddEndpoint starts an endpoint on loopback.
func (s *Store) AddEndpoint() (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Address: l.Addr().String(), store: s}
	e.http = &http.Server{Handler: e}
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	go e.http.Serve(l)
	return e, nil
}

// Close stops the store.
func (s *Store) Close() {
	close(s.stopped)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.http.Close()
	}
}

// SetFault sets the fault of all further calls; calls in progress keep theirs.
func (e *Endpoint) SetFault(f Fault) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.fault = f
}

// Calls returns the number of calls at this endpoint so far.
func (e *Endpoint) Calls() int {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	return e.callCount
}

// SetLink limits the bandwidth of responses to that of a link.
func (e *Endpoint) SetLink(l *standin.Link) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.link = l
}

// SetReadDelay sets the delay of reads of a table.
func (s *Store) SetReadDelay(table string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelays[table] = d
}

// SetFault sets the fault of further calls at all endpoints.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.fault = f
	}
}

// EncodedSize returns the number of bytes of a row's data in a response.
func (s *Store) EncodedSize(table, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return base64.StdEncoding.EncodedLen(len(s.rows[rowID(table, "", key)].Data))
}

// Calls returns the number of calls so far, failed ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldestVersion = nil, s.version
}

// Backup is a backup of the store.
type Backup struct {
	rows    map[string]Row
	version uint64
}

// Backup returns a backup of the store.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{rows: maps.Clone(s.rows), version: s.version}
}

// Restore replaces the store's content by a backup. Later writes are lost, and their versions
// are assigned again.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(b.rows), b.version
	s.history, s.oldestVersion = nil, b.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Row returns the data of a row, nil if the row does not exist.
func (s *Store) Row(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID(table, "", key)].Data
}

// SetEra sets the era that responses name; with 0 they name none.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Put writes a row with a value encoded as JSON.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("fleet: encode row value: " + err.Error())
	}
	s.PutBytes(table, key, data)
}

// PutBytes writes a row with any data, valid or not.
func (s *Store) PutBytes(table, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeRow(Row{Table: table, Key: key, Data: data})
}

// Remove deletes a row if it exists.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowID(table, "", key)]; ok {
		s.writeRow(Row{Table: table, Key: key, Deleted: true})
	}
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// writeRow applies one change as a transaction of its own. The caller holds mu.
func (s *Store) writeRow(r Row) {
	s.version++
	s.apply(r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) apply(r Row) {
	r.Version = s.version
	s.history = append(s.history, r)
	if r.Deleted {
		delete(s.rows, rowID(r.Table, r.Part, r.Key))
		return
	}
	s.rows[rowID(r.Table, r.Part, r.Key)] = r
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := e.store
	s.mu.Lock()
	s.callCount++
	e.callCount++
	fault, link, era := e.fault, e.link, s.era
	s.mu.Unlock()
	if link != nil {
		w = &linkWriter{w, link}
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
			w = &eraWriter{w, s}
		}
		s.handler.ServeHTTP(w, r)
	}
}

type response struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	NowMs   int64  `json:"serverTimeMs"`
}

// eraWriter adds the store's era at the time of the response to its header.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader implements http.ResponseWriter.
func (s *eraWriter) WriteHeader(status int) {
	s.store.mu.Lock()
	era := s.store.era
	s.store.mu.Unlock()
	s.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	s.ResponseWriter.WriteHeader(status)
}

// segmentBytes is the number of bytes that a link transfers at a time: the window of a connection of
// the platform's VMs with low bandwidth.
const segmentBytes = 16 << 10

// linkWriter limits a response to the bandwidth of a link.
type linkWriter struct {
	http.ResponseWriter
	link *standin.Link
}

// Write implements http.ResponseWriter.
func (l *linkWriter) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		chunk := p[:min(len(p), segmentBytes)]
		l.link.Transfer(len(chunk))
		var written int
		written, err = l.ResponseWriter.Write(chunk)
		n, p = n+written, p[len(chunk):]
	}
	return n, err
}

// newResponse returns a response. The caller holds mu, but writes the response without it, so
// that a slow link does not delay other calls.
func (s *Store) newResponse(status int, rows []Row) (int, response) {
	return status, response{Rows: rows, Version: s.version, NowMs: time.Since(s.startTime).Milliseconds()}
}

func writeResponse(w http.ResponseWriter, status int, resp response) {
	body, err := json.Marshal(resp)
	if err != nil {
		panic("fleet: encode response: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	delay := s.readDelays[query.Get("tableName")]
	s.mu.Unlock()
	time.Sleep(delay)
	status, resp := s.readTable(query)
	writeResponse(w, status, resp)
}

// readTable returns the rows of a table from a start key on, ordered by key.
func (s *Store) readTable(query url.Values) (int, response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for _, row := range s.rows {
		if row.Table == query.Get("tableName") && row.Part == query.Get("part") && row.Key >= query.Get("startKey") {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return s.newResponse(http.StatusOK, rows)
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("sinceRevision"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitTimeoutMs"), 10, 64)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		if since < s.oldestVersion || since > s.version {
			status, resp := s.newResponse(http.StatusGone, nil)
			s.mu.Unlock()
			writeResponse(w, status, resp)
			return
		}
		rows := s.changesSince(query.Get("tableName"), since)
		if len(rows) > 0 || expired {
			status, resp := s.newResponse(http.StatusOK, rows)
			s.mu.Unlock()
			writeResponse(w, status, resp)
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

func (s *Store) changesSince(table string, version uint64) (rows []Row) {
	for _, row := range s.history {
		if row.Table == table && row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition []Row `json:"precondition"`
		Write        []Row `json:"write"`
		Remove       []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, resp := s.commit(tx.Precondition, tx.Write, tx.Remove)
	writeResponse(w, status, resp)
}

// commit applies a transaction if all rows in conditions have the given versions.
func (s *Store) commit(conditions, writes, removes []Row) (int, response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range conditions {
		if s.rows[rowID(condition.Table, condition.Part, condition.Key)].Version != condition.Version {
			return s.newResponse(http.StatusPreconditionFailed, nil)
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
	return s.newResponse(http.StatusOK, nil)
}
