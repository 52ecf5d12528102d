package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func request(name string) ID { return NewID("team-"+name, "POST", "h", "/p", []byte(name)) }

// A request under which three servers have ended within the window is refused from the
// third end on, for the term, and is tried again after it.
func TestThirdEndConvicts(t *testing.T) {
	p := Default()
	b, id := NewTracker(p), request("a")
	require.Empty(t, b.Crashed(1, time.Second, []ID{id}).Quarantined)
	require.False(t, b.NearThreshold(id))
	require.Empty(t, b.Crashed(1, 2*time.Second, []ID{id}).Quarantined, "the same life counts once")
	require.Empty(t, b.Crashed(2, 3*time.Second, []ID{id}).Quarantined)
	require.True(t, b.NearThreshold(id))
	require.Equal(t, []ID{id}, b.Crashed(3, 4*time.Second, []ID{id}).Quarantined)
	left, held := b.Quarantined(id, 5*time.Second)
	require.True(t, held)
	require.Equal(t, p.Term-time.Second, left)
	_, held = b.Quarantined(request("b"), 5*time.Second)
	require.False(t, held, "another request")
	_, held = b.Quarantined(id, 4*time.Second+p.Term)
	require.False(t, held, "the term is over")
}

// Ends that are further apart than the window are no sign of a harmful request.
func TestOldEndsDoNotCount(t *testing.T) {
	p := Default()
	b, id := NewTracker(p), request("a")
	for i := range 6 {
		at := time.Duration(i) * (p.Window/2 + time.Minute)
		require.Empty(t, b.Crashed(uint64(i), at, []ID{id}).Quarantined)
	}
}

// An answer from beginning to end shows that servers do not end under a request. What was
// seen before it does not count any more, also when a process tells of it later.
func TestAnsweredRequestIsAbsolved(t *testing.T) {
	b, id := NewTracker(Default()), request("a")
	b.Crashed(1, 1*time.Second, []ID{id})
	old := b.Record(id)
	b.Crashed(2, 2*time.Second, []ID{id})
	b.Crashed(3, 3*time.Second, []ID{id})
	require.Equal(t, []ID{id}, b.Clear(id, 4*time.Second).Released)
	require.Empty(t, b.Merge([]Record{old}).Changed, "older than the answer")
	b.Crashed(4, 5*time.Second, []ID{id})
	require.Empty(t, b.Crashed(5, 6*time.Second, []ID{id}).Quarantined)
	require.Equal(t, []ID{id}, b.Crashed(6, 7*time.Second, []ID{id}).Quarantined)
}

// A request that many make runs on each server that ends under either of two harmful ones,
// and is held before them. The ends must count against those all the same, or they would go
// on; and what is held for the ends under others is in doubt, and tried.
func TestHeldRequestsExplainNothing(t *testing.T) {
	b, popular := NewTracker(Default()), request("popular")
	harmful := []ID{request("x"), request("y")}
	var held []ID
	for s := range uint64(6) {
		at := time.Duration(1+s) * time.Second
		held = append(held, b.Crashed(s, at, []ID{popular, harmful[s%2]}).Quarantined...)
	}
	require.Equal(t, popular, held[0])
	require.ElementsMatch(t, append(harmful, popular), held)
	require.True(t, triedFrom(b, popular, time.Minute))
}

// A request ran beside a harmful one on two servers that ended, and on a third that ended by
// chance. It is held, in doubt, and served again once it has shown that it is harmless.
func TestRequestBesideAHarmfulOneIsTried(t *testing.T) {
	b, harmful, beside := NewTracker(Default()), request("harmful"), request("beside")
	b.Crashed(1, 1*time.Second, []ID{harmful, beside})
	b.Crashed(2, 2*time.Second, []ID{harmful, beside})
	b.Crashed(3, 3*time.Second, []ID{harmful})
	require.Equal(t, []ID{beside}, b.Crashed(4, 4*time.Second, []ID{beside}).Quarantined)
	require.True(t, triedFrom(b, beside, 10*time.Second))
	require.Equal(t, []ID{beside}, b.Clear(beside, 12*time.Second).Released)
}

// Two requests that ran on the same three servers cannot be told apart; both are refused, or
// the harmful one might go on.
func TestRequestsWithTheSameEndsAreAllHeld(t *testing.T) {
	b, x, y := NewTracker(Default()), request("x"), request("y")
	b.Crashed(1, 1*time.Second, []ID{x, y})
	b.Crashed(2, 2*time.Second, []ID{x, y})
	require.ElementsMatch(t, []ID{x, y}, b.Crashed(3, 3*time.Second, []ID{x, y}).Quarantined)
}

// Attempts that were under way end further servers after the verdict. These are no ends under
// a trial: the one that is harmless must be tried all the same.
func TestEndsAfterTheVerdictAreNoTrials(t *testing.T) {
	b, harmful, beside := NewTracker(Default()), request("harmful"), request("beside")
	for i := uint64(1); i <= 2*keptEnds; i++ {
		b.Crashed(i, time.Duration(i)*time.Second, []ID{harmful, beside})
	}
	for _, id := range []ID{harmful, beside} {
		require.True(t, triedFrom(b, id, time.Minute))
	}
}

// A team that sends ten thousand different requests under which servers end takes a bounded
// number of records, and pushes no verdict of another team out.
func TestRecordsAreBounded(t *testing.T) {
	p := Default()
	b, other := NewTracker(p), request("other")
	for s := range uint64(3) {
		b.Crashed(s, time.Duration(1+s), []ID{other})
	}
	for i := range 10000 {
		b.Crashed(uint64(100+i), time.Duration(100+i), []ID{NewID("flood", "POST", "h", "/p", fmt.Append(nil, i))})
	}
	require.LessOrEqual(t, b.Len(), p.PerTeam+1)
	_, held := b.Quarantined(other, 20000)
	require.True(t, held)
	for i := range 3000 {
		b.Crashed(uint64(20000+i), time.Duration(20000+i), []ID{NewID(fmt.Sprint("team", i), "POST", "h", "/p", nil)})
	}
	require.LessOrEqual(t, b.Len(), p.Records)
	_, held = b.Quarantined(other, 30000)
	require.True(t, held)
}

// Records are forgotten when they count no more, also those of a clock that began anew.
func TestRecordsExpire(t *testing.T) {
	p := Default()
	b := NewTracker(p)
	b.Crashed(1, time.Minute, []ID{request("old")})
	b.Crashed(2, 10*p.Window, []ID{request("ahead")})
	b.Crashed(3, p.Window, []ID{request("new")})
	b.Expire(time.Minute + p.Window)
	require.Equal(t, 1, b.Len())
}

// event is what one process sees.
type event struct {
	server uint64
	at     time.Duration
	ran    []ID
	answer bool
	try    bool
}

func drawEvents(t *rapid.T) (out []event) {
	ids := []ID{request("a"), request("b"), request("c"), request("d")}
	n := rapid.IntRange(1, 25).Draw(t, "events")
	for i := range n {
		e := event{
			server: rapid.Uint64Range(1, 9).Draw(t, "server"), at: time.Duration(i+1) * time.Second,
			answer: rapid.IntRange(0, 6).Draw(t, "answer") == 0, try: rapid.IntRange(0, 4).Draw(t, "try") == 0,
		}
		e.ran = rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 1, 3, rapid.ID[ID]).Draw(t, "ran")
		out = append(out, e)
	}
	return out
}

func (e event) happen(b *Tracker) []Record {
	if e.try {
		c, _ := b.StartTrial(e.ran[0], e.at+time.Minute)
		return c.Changed
	}
	if e.answer {
		return b.Clear(e.ran[0], e.at).Changed
	}
	return b.Crashed(e.server, e.at, e.ran).Changed
}

// Processes see different ends and tell each other in any order, several times, and with
// losses that are made up for later: all come to the same records and the same verdicts,
// and hearing an older record changes nothing.
func TestVerdictsDoNotDependOnTheOrderOfTelling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Tracker{NewTracker(Default()), NewTracker(Default()), NewTracker(Default())}
		var told []Record
		for _, e := range drawEvents(t) {
			at := rapid.IntRange(0, len(books)-1).Draw(t, "process")
			told = append(told, e.happen(books[at])...)
			if rapid.Bool().Draw(t, "tells") && len(told) > 0 {
				to := rapid.IntRange(0, len(books)-1).Draw(t, "to")
				books[to].Merge([]Record{told[rapid.IntRange(0, len(told)-1).Draw(t, "record")]})
			}
		}
		seed := rapid.Uint64().Draw(t, "seed")
		for i, b := range books {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			list := slices.Concat(told, told)
			rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			for _, r := range list {
				b.Merge([]Record{r})
			}
		}
		for _, b := range books[1:] {
			require.Equal(t, books[0].records, b.records)
			require.Equal(t, books[0].held, b.held)
		}
		for _, r := range told {
			require.Empty(t, books[0].Merge([]Record{r}).Changed)
		}
	})
}

// Many make the same harmless request at once; it runs on every server that ends under a
// harmful one, and is held with it. Each is let through, a while after the last end. Nothing
// comes of the first trial of the harmless one, and it is tried again; it is answered then,
// and served again. Under the harmful one two servers more end, and it is tried no more.
func TestRequestsHeldTogetherAreTried(t *testing.T) {
	p := Default()
	b, popular, harmful := NewTracker(p), request("popular"), request("harmful")
	for s := range uint64(3) {
		b.Crashed(s, time.Duration(1+s)*time.Second, []ID{popular, harmful})
	}
	at := 3*time.Second + p.TrialAfter
	_, tried := b.StartTrial(popular, at-time.Millisecond)
	require.False(t, tried, "ends may still come in")
	require.True(t, triedFrom(b, popular, at))
	require.False(t, triedWithin(b, popular, at+waitsMost, 2*p.TrialAfter-waitsMost), "a trial is on its way")
	require.True(t, triedFrom(b, harmful, at))
	b.Crashed(8, at+2*time.Second, []ID{harmful})
	at += 5 * p.TrialAfter
	require.True(t, triedFrom(b, popular, at))
	require.True(t, triedFrom(b, harmful, at))
	b.Crashed(9, at+2*time.Second, []ID{harmful})
	require.False(t, triedFrom(b, harmful, at+time.Minute), "servers end under its trials")
	require.Equal(t, []ID{popular}, b.Clear(popular, at+2*time.Second).Released)
	_, held := b.Quarantined(harmful, at+time.Minute)
	require.True(t, held)
	require.False(t, triedFrom(b, harmful, at+time.Minute))
}

// Guards against the caller of a harmless request that is held in doubt being sent away for the
// hour of the verdict, although a trial decides within seconds.
func TestDoubtfulRequestsAreToldToComeBackSoon(t *testing.T) {
	p := Default()
	b, x, y, sole := NewTracker(p), request("x"), request("y"), request("sole")
	for s := range uint64(3) {
		b.Crashed(s, time.Duration(1+s)*time.Second, []ID{x, y})
		b.Crashed(100+s, time.Duration(1+s)*time.Second, []ID{sole})
	}
	left, held := b.Quarantined(x, 3*time.Second)
	require.True(t, held)
	require.Equal(t, p.TrialAfter+p.TrialApart, left)
	require.True(t, triedFrom(b, x, 3*time.Second+p.TrialAfter))
	left, held = b.Quarantined(x, 3*time.Second+p.TrialAfter)
	require.True(t, held)
	require.Less(t, left, 2*p.TrialAfter+2*p.TrialApart)
	left, held = b.Quarantined(sole, 3*time.Second)
	require.True(t, held)
	require.Equal(t, p.Term, left)
}

// Guards against two requests with the same ends being tried at the same time: at one server
// the harmful one would end the trial of the other.
func TestRequestsWithTheSameEndsAreTriedOneAfterTheOther(t *testing.T) {
	p := Default()
	b := NewTracker(p)
	x, y := request("x"), request("y")
	for s := range uint64(3) {
		b.Crashed(s, time.Duration(1+s)*time.Second, []ID{x, y})
	}
	at := 10 * time.Second
	for !firstTried(b, x, y, at) {
		at += time.Millisecond
		require.Less(t, at, 10*time.Second+2*trialTurn)
	}
	first, second := x, y
	if len(b.Record(x).Trials) == 0 {
		first, second = y, x
	}
	require.Empty(t, b.Record(second).Trials)
	for later := at; later < at+p.TrialApart; later += time.Millisecond {
		_, tried := b.StartTrial(second, later)
		require.False(t, tried, "%v after the trial of the other", later-at)
	}
	require.Equal(t, []ID{first}, b.Clear(first, at+p.TrialApart).Released)
	require.True(t, triedFrom(b, second, at+p.TrialApart))
}

func firstTried(b *Tracker, x, y ID, at time.Duration) bool {
	_, tried := b.StartTrial(x, at)
	if !tried {
		_, tried = b.StartTrial(y, at)
	}
	return tried
}

// waitsMost is how long a request that is due waits for its trial beside few others.
const waitsMost = time.Second + mostTurns*trialTurn

// triedFrom reports whether a request that comes again and again is tried in the time that it
// may have to wait for its turn.
func triedFrom(b *Tracker, id ID, from time.Duration) bool {
	return triedWithin(b, id, from, waitsMost)
}

func triedWithin(b *Tracker, id ID, from, lasts time.Duration) bool {
	for at := from; at < from+lasts; at += trialTurn / 5 {
		if _, tried := b.StartTrial(id, at); tried {
			return true
		}
	}
	return false
}

// Two requests that many make run on three servers that end by chance. The one is tried and
// served again; that it is harmless must not leave the other without a trial.
func TestAbsolvedRequestLeavesTheOthersDoubt(t *testing.T) {
	b, x, y := NewTracker(Default()), request("x"), request("y")
	for s := range uint64(3) {
		b.Crashed(s, time.Duration(1+s)*time.Second, []ID{x, y})
	}
	require.True(t, triedFrom(b, x, 10*time.Second))
	require.Equal(t, []ID{x}, b.Clear(x, 12*time.Second).Released)
	require.True(t, triedFrom(b, y, 12*time.Second))
}

// A request that many make is held; the harmful one beside it has ended two servers that it
// did not end alone, and is not held yet. The first must be tried.
func TestDoubtByOneThatIsNotHeldYet(t *testing.T) {
	b, popular, harmful := NewTracker(Default()), request("popular"), request("harmful")
	b.Crashed(1, time.Second, []ID{popular})
	b.Crashed(2, 2*time.Second, []ID{popular, harmful})
	require.Equal(t, []ID{popular}, b.Crashed(3, 3*time.Second, []ID{popular, harmful}).Quarantined)
	require.True(t, triedFrom(b, popular, 10*time.Second))
}

// A request that is held for ends of its own is not tried.
func TestVerdictsWithoutDoubtAreNotTried(t *testing.T) {
	b, harmful := NewTracker(Default()), request("harmful")
	for s := range uint64(3) {
		b.Crashed(s, time.Duration(1+s)*time.Second, []ID{harmful, request(string('a' + rune(s)))})
	}
	require.False(t, triedFrom(b, harmful, time.Minute))
}
