// Package engines is a stand-in model engine: continuous batching with a step
// time, memory in tokens that can fill up mid-decode, preemption of the lowest
// priority, streams that outlive their reader, resume from a prefix, fenced or
// unfenced orders, and a log of what ran for history checks.
package engines

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/engine"
)

// Config sets how an Engine behaves.
type Config struct {
	// Step is the time between two tokens of a stream.
	Step time.Duration
	// Memory is the capacity in tokens of context.
	Memory uint64
	// Resumes says whether the engine continues a generation from a prefix.
	Resumes bool
	// ChecksTerm says whether orders with an old term are refused.
	ChecksTerm bool
	// Retain is how long a stream outlives its last reader.
	Retain time.Duration
	Models []string
	// Nonce makes generations differ between engines that do not resume.
	Nonce uint64
}

// Run is one line of the execution log.
type Run struct {
	ID, Team, RequestID string
	Attempt             uint32
	Prefix              int
}

// Engine implements engine.Engine. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	cond        *sync.Cond
	streams     map[string]*stream
	log         []Run
	orders      []engine.Order
	term        uint64
	preemptions uint64
	runs        uint64
	dead        bool
	models      []string
	adapters    []string
}

type stream struct {
	req      engine.Request
	seed     uint64
	length   int
	tokens   [][]byte
	digest   engine.Digest
	done     bool
	gone     bool
	paused   bool
	readers  int
	orphaned time.Time
	arrival  uint64
}

func (s *stream) memory() uint64 {
	return uint64(len(s.req.Prompt) + len(s.tokens))
}

// New starts an engine; Kill ends it.
func New(cfg Config) *Engine {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{cfg: cfg, cancel: cancel, streams: make(map[string]*stream), models: slices.Clone(cfg.Models)}
	e.cond = sync.NewCond(&e.mu)
	e.wg.Go(func() { e.run(ctx) })
	return e
}

// Kill ends the engine as a crash does: all streams are lost at once.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.dead = true
	e.streams = make(map[string]*stream)
	e.cond.Broadcast()
	e.mu.Unlock()
	e.cancel()
	e.wg.Wait()
}

// Log is what the engine has run so far.
func (e *Engine) Log() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// Orders are the orders that the engine obeyed, in order.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) run(ctx context.Context) {
	tick := time.NewTicker(e.cfg.Step)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.step(now)
		}
	}
}

func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.makeRoom()
	for id, s := range e.streams {
		if e.expired(s, now) {
			s.gone = true
			delete(e.streams, id)
			continue
		}
		if !s.done && !s.paused {
			s.emit()
		}
	}
	e.cond.Broadcast()
}

func (e *Engine) expired(s *stream, now time.Time) bool {
	return s.readers == 0 && now.Sub(s.orphaned) > e.cfg.Retain
}

// makeRoom pauses the lowest priority, latest arrival while memory is over
// capacity, and resumes paused streams in arrival order while they fit.
func (e *Engine) makeRoom() {
	active := make([]*stream, 0, len(e.streams))
	used := uint64(0)
	for _, s := range e.streams {
		if s.done {
			continue
		}
		active = append(active, s)
	}
	slices.SortFunc(active, func(a, b *stream) int {
		if a.req.Priority != b.req.Priority {
			return int(b.req.Priority) - int(a.req.Priority)
		}
		return int(a.arrival) - int(b.arrival)
	})
	for _, s := range active {
		used += s.memory() + 1
		fits := used <= e.cfg.Memory
		if !fits && !s.paused {
			e.preemptions++
		}
		s.paused = !fits
	}
}

func (s *stream) emit() {
	i := len(s.tokens)
	if i >= s.length {
		s.done = true
		return
	}
	text := tokenText(s.seed, i)
	s.tokens = append(s.tokens, text)
	s.digest.Add(text)
}

// tokenText derives a token from the seed, so that two generations differ and
// the same generation is equal wherever it runs.
func tokenText(seed uint64, i int) []byte {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	h := fnv.New64a()
	h.Write(b[:])
	return strconv.AppendUint([]byte{' '}, h.Sum64()%100000, 36)
}

// lengthOf is the output length: "tokens=N" in front of the prompt sets it,
// otherwise it is lognormal, derived from the prompt.
func lengthOf(req engine.Request) int {
	n := 0
	if rest, ok := strings.CutPrefix(string(req.Prompt), "tokens="); ok {
		digits, _, _ := strings.Cut(rest, " ")
		n, _ = strconv.Atoi(digits)
	}
	if n <= 0 {
		n = lognormal(hash(req.RequestID, string(req.Prompt)))
	}
	if m := int(req.MaxTokens); m > 0 && n > m {
		n = m
	}
	return n
}

// lognormal maps a hash to a length with median 120 and sigma 1.
func lognormal(h uint64) int {
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return 1 + int(120*math.Exp(math.Sqrt2*math.Erfinv(2*u-1)))
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// Generate implements engine.Engine. The stream goes on when ctx ends, until
// it is cancelled or has had no reader for the retention time.
func (e *Engine) Generate(ctx context.Context, req engine.Request) (engine.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, engine.ErrLost
	}
	if len(req.Prefix) > 0 && !e.cfg.Resumes {
		return nil, errors.Wrap(engine.ErrRejected, "cannot resume from a prefix")
	}
	if !slices.Contains(e.models, req.Model) {
		return nil, errors.Wrapf(engine.ErrRejected, "model %q is not loaded", req.Model)
	}
	if old := e.streams[req.ID]; old != nil {
		if old.req.Attempt >= req.Attempt {
			return nil, errors.Wrap(engine.ErrRejected, "attempt is not above the running one")
		}
		old.gone = true
	}
	s := e.newStream(req)
	e.streams[req.ID] = s
	e.log = append(e.log, Run{ID: req.ID, Team: req.Team, RequestID: req.RequestID, Attempt: req.Attempt, Prefix: len(req.Prefix)})
	return e.reader(ctx, s, uint64(len(req.Prefix))), nil
}

func (e *Engine) newStream(req engine.Request) *stream {
	e.runs++
	s := &stream{req: req, length: lengthOf(req), digest: engine.NewDigest(), arrival: e.runs, seed: hash(req.ID)}
	if !e.cfg.Resumes {
		s.seed = hash(req.ID, strconv.FormatUint(e.cfg.Nonce, 10), strconv.FormatUint(e.runs, 10))
	}
	for _, text := range req.Prefix {
		s.tokens = append(s.tokens, text)
		s.digest.Add(text)
	}
	return s
}

// Attach implements engine.Engine.
func (e *Engine) Attach(ctx context.Context, id string, next uint64) (engine.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, engine.ErrLost
	}
	s := e.streams[id]
	if s == nil || next > uint64(len(s.tokens)) {
		return nil, engine.ErrUnknownStream
	}
	return e.reader(ctx, s, next), nil
}

type reader struct {
	ctx  context.Context
	e    *Engine
	s    *stream
	next uint64
}

// reader counts a reader of s; e.mu is held.
func (e *Engine) reader(ctx context.Context, s *stream, next uint64) *reader {
	s.readers++
	context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		s.readers--
		s.orphaned = time.Now()
		e.cond.Broadcast()
	})
	return &reader{ctx: ctx, e: e, s: s, next: next}
}

// Recv implements engine.Stream.
func (r *reader) Recv() (engine.Token, error) {
	e, s := r.e, r.s
	e.mu.Lock()
	defer e.mu.Unlock()
	for r.next >= uint64(len(s.tokens)) && !s.done {
		if e.dead || s.gone || r.ctx.Err() != nil {
			return engine.Token{}, engine.ErrLost
		}
		e.cond.Wait()
	}
	if e.dead {
		return engine.Token{}, engine.ErrLost
	}
	if r.next < uint64(len(s.tokens)) {
		t := engine.Token{Index: r.next, Text: s.tokens[r.next]}
		r.next++
		return t, nil
	}
	return engine.Token{Index: r.next, End: true, FinishReason: "stop", Digest: s.digest.Sum()}, nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(_ context.Context, id string, attempt uint32) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil || s.req.Attempt != attempt {
		return engine.ErrUnknownStream
	}
	s.gone = true
	delete(e.streams, id)
	e.cond.Broadcast()
	return nil
}

// List implements engine.Engine.
func (e *Engine) List(context.Context) ([]engine.RunningStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, engine.ErrLost
	}
	var out []engine.RunningStream
	for id, s := range e.streams {
		out = append(out, engine.RunningStream{
			ID: id, Attempt: s.req.Attempt, Team: s.req.Team, RequestID: s.req.RequestID, Model: s.req.Model,
			Emitted: uint64(len(s.tokens)), PromptBytes: uint32(len(s.req.Prompt)), MaxTokens: s.req.MaxTokens,
		})
	}
	return out, nil
}

// Load implements engine.Engine.
func (e *Engine) Load(context.Context) (engine.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return engine.Status{}, engine.ErrLost
	}
	l := engine.Status{
		MemoryCapacity: e.cfg.Memory, Preemptions: e.preemptions, ResumesFromPrefix: e.cfg.Resumes,
		Models: slices.Clone(e.models), Adapters: slices.Clone(e.adapters),
	}
	for _, s := range e.streams {
		if s.done {
			continue
		}
		l.Running++
		l.MemoryUsed += s.memory()
	}
	return l, nil
}

// Order implements engine.Engine.
func (e *Engine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return engine.ErrLost
	}
	if e.cfg.ChecksTerm && o.Term < e.term {
		return engine.ErrStaleTerm
	}
	e.term = max(e.term, o.Term)
	e.orders = append(e.orders, o)
	if o.Adapter != "" {
		e.adapters = toggle(e.adapters, o.Adapter, o.Load)
		return nil
	}
	e.models = toggle(e.models, o.Model, o.Load)
	return nil
}

func toggle(names []string, name string, present bool) []string {
	names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	if present {
		names = append(names, name)
	}
	return names
}

// ExpectedToken is token i of a generation at an engine that resumes, for checks of
// what a caller saw.
func ExpectedToken(generationID string, i int) []byte {
	return tokenText(hash(generationID), i)
}
