package slopes

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"kingcupplank.example/kingcup/engine"
)

// timestampEngine is an engine whose tokens contain the time at which they were generated, so that a
// caller can compute their latency.
type timestampEngine struct {
	step   time.Duration
	tokens uint64
	epoch  time.Time
}

func newTimestampEngine(step time.Duration, tokens uint64, epoch time.Time) *timestampEngine {
	return &timestampEngine{step: step, tokens: tokens, epoch: epoch}
}

type timestampStream struct {
	e      *timestampEngine
	ctx    context.Context
	next   uint64
	at     time.Time
	digest engine.Digest
	text   [8]byte
}

// Generate implements engine.Engine. The first token comes after a random offset of up to one step.
func (e *timestampEngine) Generate(ctx context.Context, _ engine.Request) (engine.Stream, error) {
	return &timestampStream{e: e, ctx: ctx, at: time.Now().Add(rand.N(e.step)), digest: engine.NewDigest()}, nil
}

// Recv implements engine.Stream.
func (s *timestampStream) Recv() (engine.Token, error) {
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

// age returns the time since a token was generated.
func (e *timestampEngine) age(text []byte) time.Duration {
	return time.Since(e.epoch) - time.Duration(binary.LittleEndian.Uint64(text))
}

// Attach implements engine.Engine.
func (e *timestampEngine) Attach(context.Context, string, uint64) (engine.Stream, error) {
	return nil, engine.ErrUnknownStream
}

// Cancel implements engine.Engine.
func (e *timestampEngine) Cancel(context.Context, string, uint32) error { return nil }

// List implements engine.Engine.
func (e *timestampEngine) List(context.Context) ([]engine.RunningStream, error) { return nil, nil }

// Order implements engine.Engine.
func (e *timestampEngine) Order(context.Context, engine.Order) error { return nil }

// ReadStatus implements engine.Engine.
func (e *timestampEngine) ReadStatus(context.Context) (engine.Status, error) {
	return engine.Status{MemoryCapacity: 1 << 40, Models: []string{model}}, nil
}
