// Package engines is a stand-in for a model engine. It simulates continuous
// batching with a step time, memory in tokens that can fill up during decoding,
// preemption of the lowest priority, streams that outlive their readers, resume
// from a prefix, and orders with or without fencing by term. It logs executions
// for checks of the history.
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
	// Memory is the capacity for prompts and output. A byte of a prompt counts as a token.
	Memory uint64
	// Resumes says whether the engine can continue a generation from a prefix.
	Resumes bool
	// ChecksTerm says whether orders with a stale term are rejected.
	ChecksTerm bool
	// Retain is how long a stream is kept without a reader.
	Retain time.Duration
	Models []string
	// Nonce makes the output differ between engines that cannot resume.
	Nonce uint64
}

// Run is an entry of the execution log.
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
	changed     *sync.Cond
	streams     map[string]*stream
	log         []Run
	orders      []engine.Order
	highestTerm uint64
	preemptions uint64
	runCount    uint64
	killed      bool
	models      []string
	adapters    []string
}

type stream struct {
	req           engine.Request
	seed          uint64
	length        int
	tokens        [][]byte
	digest        engine.Digest
	done          bool
	removed       bool
	paused        bool
	readers       int
	orphanedAt    time.Time
	arrivalNumber uint64
}

func (s *stream) memory() uint64 {
	return uint64(len(s.req.Prompt) + len(s.tokens))
}

// New starts an engine; Kill stops it.
func New(cfg Config) *Engine {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{cfg: cfg, cancel: cancel, streams: make(map[string]*stream), models: slices.Clone(cfg.Models)}
	e.changed = sync.NewCond(&e.mu)
	e.wg.Go(func() { e.run(ctx) })
	return e
}

// Kill stops the engine as a crash does: all streams are lost at once.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.killed = true
	e.streams = make(map[string]*stream)
	e.changed.Broadcast()
	e.mu.Unlock()
	e.cancel()
	e.wg.Wait()
}

// Log returns the generations that the engine has started so far.
func (e *Engine) Log() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// Orders returns the orders that the engine accepted, in order of arrival.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) run(ctx context.Context) {
	ticker := time.NewTicker(e.cfg.Step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.step(now)
		}
	}
}

func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updatePreemption()
	for id, s := range e.streams {
		if e.isExpired(s, now) {
			s.removed = true
			delete(e.streams, id)
			continue
		}
		if !s.done && !s.paused {
			s.appendToken()
		}
	}
	e.changed.Broadcast()
}

func (e *Engine) isExpired(s *stream, now time.Time) bool {
	return s.readers == 0 && now.Sub(s.orphanedAt) > e.cfg.Retain
}

// updatePreemption adds up the memory of unfinished streams by falling priority, then arrival.
// Streams that fit run; the others are paused, which counts as a preemption if they ran.
func (e *Engine) updatePreemption() {
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
		return int(a.arrivalNumber) - int(b.arrivalNumber)
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

func (s *stream) appendToken() {
	i := len(s.tokens)
	if i >= s.length {
		s.done = true
		return
	}
	text := tokenText(s.seed, i)
	s.tokens = append(s.tokens, text)
	s.digest.Add(text)
}

// tokenText derives a token from the seed and its index, so that generations
// differ, and the same generation gives the same tokens at any engine.
func tokenText(seed uint64, i int) []byte {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	h := fnv.New64a()
	h.Write(b[:])
	return strconv.AppendUint([]byte{' '}, h.Sum64()%100000, 36)
}

// outputLength returns the output length in tokens, at most MaxTokens if that is set. A
// prompt that begins with "tokens=N" sets it; otherwise it is lognormal, derived from
// the request id and the prompt.
func outputLength(req engine.Request) int {
	n := 0
	if rest, ok := strings.CutPrefix(string(req.Prompt), "tokens="); ok {
		digits, _, _ := strings.Cut(rest, " ")
		n, _ = strconv.Atoi(digits)
	}
	if n <= 0 {
		n = lognormal(hash(req.RequestID, string(req.Prompt)))
	}
	if limit := int(req.MaxTokens); limit > 0 && n > limit {
		n = limit
	}
	return n
}

// lognormal maps a hash to a length in tokens with median 120 and sigma 1.
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

// Generate implements engine.Engine. When ctx ends, the stream continues until
// it is cancelled or has had no reader for Config.Retain.
func (e *Engine) Generate(ctx context.Context, req engine.Request) (engine.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return nil, engine.ErrLost
	}
	if len(req.Prefix) > 0 && !e.cfg.Resumes {
		return nil, errors.Wrap(engine.ErrRejected, "cannot resume from a prefix")
	}
	if !slices.Contains(e.models, req.Model) {
		return nil, errors.Wrapf(engine.ErrRejected, "model %q is not loaded", req.Model)
	}
	if running := e.streams[req.ID]; running != nil {
		if running.req.Attempt >= req.Attempt {
			return nil, errors.Wrap(engine.ErrRejected, "attempt is not above the running one")
		}
		running.removed = true
	}
	s := e.newStream(req)
	e.streams[req.ID] = s
	e.log = append(e.log, Run{ID: req.ID, Team: req.Team, RequestID: req.RequestID, Attempt: req.Attempt, Prefix: len(req.Prefix)})
	return e.newReader(ctx, s, uint64(len(req.Prefix))), nil
}

func (e *Engine) newStream(req engine.Request) *stream {
	e.runCount++
	s := &stream{req: req, length: outputLength(req), digest: engine.NewDigest(), arrivalNumber: e.runCount, seed: hash(req.ID)}
	if !e.cfg.Resumes {
		s.seed = hash(req.ID, strconv.FormatUint(e.cfg.Nonce, 10), strconv.FormatUint(e.runCount, 10))
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
	if e.killed {
		return nil, engine.ErrLost
	}
	s := e.streams[id]
	if s == nil || next > uint64(len(s.tokens)) {
		return nil, engine.ErrUnknownStream
	}
	return e.newReader(ctx, s, next), nil
}

type reader struct {
	ctx  context.Context
	e    *Engine
	s    *stream
	next uint64
}

// newReader returns a reader of s from token next on and counts it until ctx ends. The
// caller holds e.mu.
func (e *Engine) newReader(ctx context.Context, s *stream, next uint64) *reader {
	s.readers++
	context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		s.readers--
		s.orphanedAt = time.Now()
		e.changed.Broadcast()
	})
	return &reader{ctx: ctx, e: e, s: s, next: next}
}

// Recv implements engine.Stream.
func (r *reader) Recv() (engine.Token, error) {
	e, s := r.e, r.s
	e.mu.Lock()
	defer e.mu.Unlock()
	for r.next >= uint64(len(s.tokens)) && !s.done {
		if e.killed || s.removed || r.ctx.Err() != nil {
			return engine.Token{}, engine.ErrLost
		}
		e.changed.Wait()
	}
	if e.killed {
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
	s.removed = true
	delete(e.streams, id)
	e.changed.Broadcast()
	return nil
}

// List implements engine.Engine.
func (e *Engine) List(context.Context) ([]engine.RunningStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
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

// ReadStatus implements engine.Engine.
func (e *Engine) ReadStatus(context.Context) (engine.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return engine.Status{}, engine.ErrLost
	}
	status := engine.Status{
		MemoryCapacity: e.cfg.Memory, Preemptions: e.preemptions, ResumesFromPrefix: e.cfg.Resumes,
		Models: slices.Clone(e.models), Adapters: slices.Clone(e.adapters),
	}
	for _, s := range e.streams {
		if s.done {
			continue
		}
		status.Running++
		status.MemoryUsed += s.memory()
	}
	return status, nil
}

// Order implements engine.Engine.
func (e *Engine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.killed {
		return engine.ErrLost
	}
	if e.cfg.ChecksTerm && o.Term < e.highestTerm {
		return engine.ErrStaleTerm
	}
	e.highestTerm = max(e.highestTerm, o.Term)
	e.orders = append(e.orders, o)
	if o.Adapter != "" {
		e.adapters = setPresent(e.adapters, o.Adapter, o.Load)
		return nil
	}
	e.models = setPresent(e.models, o.Model, o.Load)
	return nil
}

func setPresent(names []string, name string, present bool) []string {
	names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	if present {
		names = append(names, name)
	}
	return names
}

// ExpectedToken returns token i of a generation at an engine that can resume, for checks
// of what a caller received.
func ExpectedToken(generationID string, i int) []byte {
	return tokenText(hash(generationID), i)
}
