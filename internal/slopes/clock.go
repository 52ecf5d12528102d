package slopes

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"kingcupplank.example/kingcup/engine"
)

// clockEngine is an engine whose tokens carry the time at which they were made,
// so that a caller can tell how long each was on its way.
type clockEngine struct {
	step   time.Duration
	tokens uint64
	epoch  time.Time
}

func newClockEngine(step time.Duration, tokens uint64, epoch time.Time) *clockEngine {
	return &clockEngine{step: step, tokens: tokens, epoch: epoch}
}

type clockStream struct {
	e      *clockEngine
	ctx    context.Context
	next   uint64
	at     time.Time
	digest engine.Digest
	text   [8]byte
}

// Generate implements engine.Engine. Streams begin at a random phase of a step.
func (e *clockEngine) Generate(ctx context.Context, _ engine.Request) (engine.Stream, error) {
	return &clockStream{e: e, ctx: ctx, at: time.Now().Add(rand.N(e.step)), digest: engine.NewDigest()}, nil
}

// Recv implements engine.Stream.
func (s *clockStream) Recv() (engine.Token, error) {
	if s.next == s.e.tokens {
		return engine.Token{Index: s.next, End: true, FinishReason: "stop", Digest: s.digest.Sum()}, nil
	}
	s.at = s.at.Add(s.e.step)
	t := time.NewTimer(time.Until(s.at))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
		return engine.Token{}, engine.ErrLost
	}
	binary.LittleEndian.PutUint64(s.text[:], uint64(time.Since(s.e.epoch)))
	s.digest.Add(s.text[:])
	s.next++
	return engine.Token{Index: s.next - 1, Text: s.text[:]}, nil
}

// age is how long ago a token was made.
func (e *clockEngine) age(text []byte) time.Duration {
	return time.Since(e.epoch) - time.Duration(binary.LittleEndian.Uint64(text))
}

// Attach implements engine.Engine.
func (e *clockEngine) Attach(context.Context, string, uint64) (engine.Stream, error) {
	return nil, engine.ErrUnknownStream
}

// Cancel implements engine.Engine.
func (e *clockEngine) Cancel(context.Context, string, uint32) error { return nil }

// List implements engine.Engine.
func (e *clockEngine) List(context.Context) ([]engine.RunningStream, error) { return nil, nil }

// Order implements engine.Engine.
func (e *clockEngine) Order(context.Context, engine.Order) error { return nil }

// ReadStatus implements engine.Engine.
func (e *clockEngine) ReadStatus(context.Context) (engine.Status, error) {
	return engine.Status{MemoryCapacity: 1 << 40, Models: []string{model}}, nil
}
