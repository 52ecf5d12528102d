package relay

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/routing"
)

const (
	modelService = "model"
	deskService  = "desk"
	teamKey      = "key-1"
)

// world is a Relay over servers that a test plays.
type world struct {
	suspended atomic.Int64
	t         *testing.T
	start     time.Time
	replica   *routing.Replica
	registry  *backends.Registry
	up        *fakeUpstream
	relay     *Relay
	others    *others
	// checkServers is how many servers a request of the route check may go to, 2 if fewer.
	checkServers int
	// plain are the traits of the plain service.
	plain backends.ServiceTraits
}

// others are the other processes.
type others struct {
	known  int
	taking bool
	// mu guards queued and nudges, which the relay told, and turns, which it is told.
	mu     sync.Mutex
	queued int
	turns  *flow.Turns
	nudges int
	usage  []flow.Usage
}

func (o *others) Count() int              { return o.known }
func (o *others) AcceptingRequests() bool { return o.taking }
func (o *others) ConfigCurrent() bool     { return true }

func (o *others) Notify() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nudges++
}

func (o *others) nudged() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.nudges
}

func (o *others) ReportQueue(_ string, q flow.Contender) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queued = q.Waiting
}

func (o *others) Turns(string, int) *flow.Turns {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.turns
}

func (o *others) ReportUsage(string, []flow.Usage) {}

func (o *others) Usage(string) []flow.Usage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.usage
}

func (o *others) SharedClock() pacing.SharedTime { return pacing.SharedTime{} }

func (o *others) MigrationTurns(string) *flow.Turns { return o.Turns("", 0) }

func (o *others) set(turns *flow.Turns) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turns = turns
}

func (o *others) waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queued
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newWorld(t *testing.T, cfg Config) *world {
	w := &world{t: t, start: time.Now(), replica: routing.NewReplica(), up: &fakeUpstream{}}
	w.registry = backends.New("zone-1", func(s string) backends.ServiceTraits {
		if s == modelService {
			return backends.ServiceTraits{MemoryTokens: 30000}
		}
		return w.plain
	}, func(s backends.Server, n backends.LeaveReason) { w.relay.HandleLeaving(s, n) })
	if cfg.RetryExtra == 0 {
		cfg.RetryExtra = 100
	}
	w.others = &others{known: 1, taking: true}
	w.relay = New(cfg, Deps{Replica: w.replica, Registry: w.registry, Upstream: w.up, Now: w.now, Log: quietLog(), Observer: noObserver{}, Peers: w.others})
	w.apply(1)
	return w
}

// now counts the time that the VM was suspended, as the gateway's clock does; timers do
// not.
func (w *world) now() time.Duration {
	return time.Since(w.start) + time.Second + time.Duration(w.suspended.Load())
}

// suspend has the VM stand still for d: no timer and no goroutine notices.
func (w *world) suspend(d time.Duration) { w.suspended.Add(int64(d)) }

// apply puts a version of the standard configuration in force and confirms it.
func (w *world) apply(version uint64, keys ...string) {
	if keys == nil {
		keys = []string{teamKey}
	}
	split := func(s string) []routing.Weighted { return []routing.Weighted{{Service: s, Weight: 1}} }
	engine := &routing.Engine{Slots: 48, MemoryTokens: 30000, TokensPerEvent: 4, SupportsMigration: true, SupportsStandby: true}
	w.replica.Put(routing.Content{Version: version, KeysRequired: true, Teams: teams(keys), Routes: []*routing.Route{
		{Name: "plan", Host: "h", Prefix: "/plan/", Kind: routing.Stream, Timeout: 39 * time.Second, TargetLatency: 1800 * time.Millisecond, EventTimeout: 7200 * time.Millisecond, MaxServers: 1, Split: split(modelService)},
		{Name: "check", Host: "h", Prefix: "/check/", Kind: routing.Stream, Timeout: 6 * time.Second, TargetLatency: 1500 * time.Millisecond, MaxServers: max(2, w.checkServers), Resumable: true, Split: split(modelService)},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: routing.AtMostOnce, TargetLatency: 150 * time.Millisecond, MaxServers: 2, Split: split(deskService)},
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routing.Idempotent, TargetLatency: 150 * time.Millisecond, MaxServers: 2, Split: split(deskService)},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: routing.Idempotent, Public: true, MaxServers: 2, Split: split(deskService)},
	}, Services: []*routing.Service{{Name: modelService, Engine: engine}, {Name: deskService}}}, func() {})
	w.replica.Confirm(w.now())
}

// teams gives each key a team of its own.
func teams(keys []string) (out []*routing.Team) {
	for i, key := range keys {
		out = append(out, &routing.Team{Name: fmt.Sprint("team-", i+1), Keys: []string{key}})
	}
	return out
}

func (w *world) entry(id, service string) backends.Server {
	return backends.Server{ID: id, Service: service, Address: id + ":1", FailureDomain: "zone-1", Slots: 6}
}

func (w *world) entryBorn(id string, born int64) backends.Server {
	s := w.entry(id, modelService)
	s.StartTime = born
	return s
}

func (w *world) server(id, service string) backends.Server {
	s := w.entry(id, service)
	w.registry.Put(s, w.now())
	return s
}

func (w *world) drain(id, service string) {
	s := w.entry(id, service)
	s.Leaving = true
	w.registry.Put(s, w.now())
}

func request(path string) *Request {
	r := &Request{ID: "r1", Host: "h", Path: path, Method: "POST", Target: path, APIKey: teamKey, Timeout: time.Second}
	if strings.HasPrefix(path, "/plan/") || strings.HasPrefix(path, "/check/") {
		r.Timeout = 30 * time.Second
		r.Generation = &Generation{PromptTokens: 3000, MaxOutput: 2000, EstimatedOutput: 900}
	}
	return r
}

// serve answers a request and returns what the caller saw.
func (w *world) serve(r *Request) *caller {
	c := &caller{}
	w.relay.Serve(w.t.Context(), r, c)
	return c
}

// caller records an answer.
type caller struct {
	mu      sync.Mutex
	refusal *Refusal
	status  int
	body    strings.Builder
	ended   bool
	aborted bool
}

func (c *caller) Refuse(f Refusal) { c.refusal = &f }

func (c *caller) Begin(a *Response) error {
	c.status = a.Status
	return nil
}

func (c *caller) Write(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body.Write(p)
	return nil
}

func (c *caller) End()   { c.ended = true }
func (c *caller) Abort() { c.aborted = true }

// whole requires an answer that came to its end.
func (c *caller) whole(t *testing.T, body string) {
	t.Helper()
	require.Nil(t, c.refusal)
	require.True(t, c.ended)
	require.False(t, c.aborted)
	require.Equal(t, body, c.body.String())
}

// fakeUpstream plays the servers.
type fakeUpstream struct {
	mu      sync.Mutex
	sent    []*Attempt
	moves   []string
	closed  []string
	leaving map[string]bool
	gone    map[string]bool
	send    func(ctx context.Context, a *Attempt) (*Response, error)
	move    func(ctx context.Context, from backends.Server, id, to string, final bool) (string, error)
}

func (f *fakeUpstream) Send(ctx context.Context, a *Attempt) (*Response, error) {
	f.mu.Lock()
	f.sent = append(f.sent, a)
	f.mu.Unlock()
	answer, err := f.send(ctx, a)
	if err == nil {
		// A real connection closes with its request's context.
		if s, ok := answer.Body.(*io.PipeReader); ok {
			context.AfterFunc(ctx, func() { s.CloseWithError(ctx.Err()) })
		}
	}
	return answer, err
}

func (f *fakeUpstream) CopyRun(ctx context.Context, from backends.Server, id, to string, final bool) (string, error) {
	f.mu.Lock()
	f.moves = append(f.moves, fmt.Sprintf("%s %s>%s %v", id, from.ID, to, final))
	f.mu.Unlock()
	return f.move(ctx, from, id, to, final)
}

func (f *fakeUpstream) CloseIdle(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = append(f.closed, address)
}

func (f *fakeUpstream) IsDown(_ context.Context, s backends.Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone[s.ID]
}

// end has a server listen no more.
func (f *fakeUpstream) end(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone == nil {
		f.gone = make(map[string]bool)
	}
	f.gone[id] = true
}

func (f *fakeUpstream) DropCopy(context.Context, KVCopy) {}

func (f *fakeUpstream) IsLeaving(_ context.Context, s backends.Server) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[s.ID], nil
}

func (f *fakeUpstream) setLeaving(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = map[string]bool{id: true}
}

// servers lists the servers asked, in order.
func (f *fakeUpstream) servers() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.sent {
		ids = append(ids, a.Server.ID)
	}
	return ids
}

func answer(status int, body string) *Response {
	return &Response{Status: status, Length: int64(len(body)), Signed: true, Body: io.NopCloser(strings.NewReader(body))}
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: t\n\n", n) }

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// source is an answer's body that a test writes; closing it breaks it off.
type source struct {
	*io.PipeReader
	w *io.PipeWriter
}

func newSource() *source {
	r, w := io.Pipe()
	return &source{r, w}
}

func (s *source) answer() *Response {
	return &Response{Status: 200, Length: -1, IsStream: true, Signed: true, Body: s.PipeReader}
}

// write passes bytes to the reader; a reader that has gone is no matter.
func (s *source) write(text string) { io.WriteString(s.w, text) }

func (s *source) breakOff() { s.w.CloseWithError(io.ErrUnexpectedEOF) }

type noObserver struct{}

func (noObserver) Finished(string, string, routing.Kind, string)         {}
func (noObserver) FirstByte(string, string, routing.Kind, time.Duration) {}
func (noObserver) EventPause(string, time.Duration)                      {}
func (noObserver) AttemptFailed(string, string)                          {}
func (noObserver) Migrated(string)                                       {}
func (noObserver) ServerCrashed(string)                                  {}
