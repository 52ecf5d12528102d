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

// faultKind is something that goes wrong at a place for a while.
type faultKind int

const (
	killAgentFault faultKind = iota
	killEngineFault
	killEntryFault
	cutFault
	stallFault
	outageFault
	loseAnswersFault
	leaveFault
	numFaults
)

type fault struct {
	Kind  faultKind
	Place int
	After time.Duration
	For   time.Duration
}

func (s *system) inject(f fault) {
	time.Sleep(f.After)
	n := f.Place % 2
	address := s.nodes[n].opts.InnerAddress
	switch f.Kind {
	case killAgentFault:
		s.killAgent(n)
		time.Sleep(f.For)
		s.startAgent(s.nodes[n])
	case killEngineFault:
		s.killEngine(n)
	case killEntryFault:
		s.killEntry(n)
		time.Sleep(f.For)
		s.startEntry(n)
	case cutFault:
		s.net.Disconnect(address)
		time.Sleep(f.For)
		s.net.Restore(address)
	case stallFault:
		s.net.Stall(address)
		time.Sleep(f.For)
		s.net.Restore(address)
	case outageFault:
		s.table.SetOutage(true)
		time.Sleep(f.For)
		s.table.SetOutage(false)
	case loseAnswersFault:
		s.table.LoseCommitResponses(f.Place%3, 1+f.Place%2)
		s.service.LoseResponses(f.Place % 2)
	case leaveFault:
		s.nodes[n].agent.Agent.Leave()
	}
}

// together runs callers through faults that come one after the other, each
// while the ones before may still last, and checks every promise at the end.
func together(t *testing.T, seed uint64, faults []fault) error {
	s := newSystem(t, setup{entries: 2, servers: 2, resumes: true, seed: seed})
	defer s.close()
	var all []*seen
	var waits []<-chan struct{}
	const callers, tokens = 8, 120
	for i := range callers {
		req := request(fmt.Sprintf("g%d", i), tokens)
		req.NonIdempotent = i%4 == 0
		at, done := s.generate(s.client(client.DefaultOptions()), req)
		all, waits = append(all, at), append(waits, done)
	}
	calls := make(chan error, callers)
	for i := range callers {
		go func() { calls <- s.bookTwice(fmt.Sprintf("c%d", i)) }()
	}
	for _, f := range faults {
		s.inject(f)
	}
	for range callers {
		if err := <-calls; err != nil {
			return err
		}
	}
	for i, done := range waits {
		<-done
		if err := s.checkGeneration(all[i], fmt.Sprintf("g%d", i), tokens, i%4 == 0); err != nil {
			return err
		}
	}
	return s.checkCalls(callers)
}

func (s *system) checkGeneration(at *seen, id string, tokens int, once bool) error {
	fresh := len(s.freshRuns(id))
	if once && fresh > 1 {
		return errors.Errorf("%s: non-idempotent and ran %d times", id, fresh)
	}
	if at.err == nil {
		return errors.Wrap(checkWhole(at, tokens), id)
	}
	if failure.IsNotRun(at.err) && fresh > 0 {
		return errors.Errorf("%s: told not run, ran %d times", id, fresh)
	}
	return errors.Wrap(checkLineage(at), id)
}

// bookTwice calls at one entry and repeats at the other one.
func (s *system) bookTwice(key string) error {
	first := s.bookOutcome(0, key)
	time.Sleep(200 * time.Millisecond)
	second := s.bookOutcome(1, key)
	ran := s.service.RunCount(team, key)
	answered := first.outcome == kingcupv1.Outcome_OUTCOME_ANSWERED
	switch {
	case answered && second.outcome == kingcupv1.Outcome_OUTCOME_ANSWERED && !second.replayed:
		return errors.Errorf("%s: answered twice as new", key)
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

// Up to five faults of any kinds come together and twice, while generations and
// non-idempotent calls are under way. Whatever each caller is told must be true,
// every stream is whole or a clean prefix of one generation, and nothing
// non-idempotent runs twice.
func TestFaultsTogether(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:  faultKind(rapid.IntRange(0, int(numFaults)-1).Draw(t, "kind")),
			Place: rapid.IntRange(0, 5).Draw(t, "place"),
			After: time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond,
			For:   time.Duration(rapid.IntRange(1, 6000).Draw(t, "for")) * time.Millisecond,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(draw, 1, 5).Draw(rt, "faults")
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		virtual(t, func(t *testing.T) { err = together(t, seed, faults) })
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}
