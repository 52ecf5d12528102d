package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"kingcupplank.example/kingcup/client"
	"kingcupplank.example/kingcup/failure"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// faultKind is a kind of fault that inject can cause.
type faultKind int

const (
	killAgentFault faultKind = iota
	killEngineFault
	killEntryFault
	disconnectFault
	stallFault
	outageFault
	loseResponsesFault
	leaveFault
	numFaults
)

type fault struct {
	Kind   faultKind
	Target int
	After  time.Duration
	Length time.Duration
}

func (s *system) inject(f fault) {
	time.Sleep(f.After)
	n := f.Target % 2
	address := s.backendServers[n].opts.InnerAddress
	switch f.Kind {
	case killAgentFault:
		s.killAgent(n)
		time.Sleep(f.Length)
		s.startAgent(s.backendServers[n])
	case killEngineFault:
		s.killEngine(n)
	case killEntryFault:
		s.killEntry(n)
		time.Sleep(f.Length)
		s.startEntry(n)
	case disconnectFault:
		s.net.Disconnect(address)
		time.Sleep(f.Length)
		s.net.Restore(address)
	case stallFault:
		s.net.Stall(address)
		time.Sleep(f.Length)
		s.net.Restore(address)
	case outageFault:
		s.table.SetOutage(true)
		time.Sleep(f.Length)
		s.table.SetOutage(false)
	case loseResponsesFault:
		s.table.LoseCommitResponses(f.Target%3, 1+f.Target%2)
		s.service.LoseResponses(f.Target % 2)
	case leaveFault:
		s.backendServers[n].agent.Agent.Leave()
	}
}

// runWithFaults runs concurrent callers while it injects the faults one after the other, and checks
// all guarantees at the end. Earlier faults may still have effects when the next one is injected.
func runWithFaults(t *testing.T, seed uint64, faults []fault) error {
	s := newSystem(t, setup{entries: 2, servers: 2, resumes: true, seed: seed})
	defer s.close()
	var streams []*observedStream
	var dones []<-chan struct{}
	const callers, tokens = 8, 120
	for i := range callers {
		req := request(fmt.Sprintf("g%d", i), tokens)
		req.NonIdempotent = i%4 == 0
		got, done := s.generate(s.client(client.DefaultOptions()), req)
		streams, dones = append(streams, got), append(dones, done)
	}
	calls := make(chan error, callers)
	for i := range callers {
		go func() { calls <- s.callTwice(fmt.Sprintf("c%d", i)) }()
	}
	for _, f := range faults {
		s.inject(f)
	}
	for range callers {
		if err := <-calls; err != nil {
			return err
		}
	}
	for i, done := range dones {
		<-done
		if err := s.checkGeneration(streams[i], fmt.Sprintf("g%d", i), tokens, i%4 == 0); err != nil {
			return err
		}
	}
	return s.checkCalls(callers)
}

func (s *system) checkGeneration(got *observedStream, id string, tokens int, nonIdempotent bool) error {
	fresh := len(s.freshRuns(id))
	if nonIdempotent && fresh > 1 {
		return errors.Errorf("%s: non-idempotent and ran %d times", id, fresh)
	}
	if got.err == nil {
		return errors.Wrap(checkComplete(got, tokens), id)
	}
	if failure.IsNotRun(got.err) && fresh > 0 {
		return errors.Errorf("%s: reported as not run, ran %d times", id, fresh)
	}
	return errors.Wrap(checkSameGeneration(got), id)
}

// callTwice sends a non-idempotent call to one entry and repeats it at the other.
func (s *system) callTwice(key string) error {
	first := s.callForOutcome(0, key)
	time.Sleep(200 * time.Millisecond)
	second := s.callForOutcome(1, key)
	ran := s.service.RunCount(team, key)
	answered := first.outcome == kingcupv1.Outcome_OUTCOME_ANSWERED
	switch {
	case answered && second.outcome == kingcupv1.Outcome_OUTCOME_ANSWERED && !second.replayed:
		return errors.Errorf("%s: answered twice without being replayed", key)
	case answered && ran != 1:
		return errors.Errorf("%s: answered and ran %d times", key, ran)
	}
	return nil
}

func (s *system) checkCalls(n int) error {
	time.Sleep(time.Minute)
	for i := range n {
		key := fmt.Sprintf("c%d", i)
		if ran := s.service.RunCount(team, key); ran > 1 {
			return errors.Errorf("%s: ran %d times", key, ran)
		}
	}
	return nil
}

// Up to five faults of any kind, also repeated ones, are injected while generations and
// non-idempotent calls are in progress. Every outcome that a caller gets must be true, every stream
// must be complete or a prefix of one generation, and no non-idempotent request may run twice.
func TestConcurrentFaults(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:   faultKind(rapid.IntRange(0, int(numFaults)-1).Draw(t, "kind")),
			Target: rapid.IntRange(0, 5).Draw(t, "place"),
			After:  time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond,
			Length: time.Duration(rapid.IntRange(1, 6000).Draw(t, "for")) * time.Millisecond,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(draw, 1, 5).Draw(rt, "faults")
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		inVirtualTime(t, func(t *testing.T) { err = runWithFaults(t, seed, faults) })
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}
