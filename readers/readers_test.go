package readers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func names(rs []Reader) (out []string) {
	for _, r := range rs {
		out = append(out, r.Name)
	}
	return out
}

func reader(name, domain string, mbps float64) Reader {
	return Reader{Name: name, FailureDomain: domain, LinkMbps: mbps}
}

// VMs with thin links read the store for VMs with wide ones, because their names came
// first: a configuration that had grown stood on their links before callers' bytes, and
// when their failure domain was cut off all views had a gap.
func TestWideLinksOfTwoDomainsRead(t *testing.T) {
	live := []Reader{reader("a", "z1", 10), reader("b", "z1", 200), reader("c", "z1", 200), reader("d", "z2", 200), reader("e", "z2", 10)}
	require.Equal(t, []string{"b", "d"}, names(Choose(live)))
	require.Equal(t, []string{"b", "c"}, names(Choose([]Reader{reader("a", "z2", 10), reader("b", "z1", 200), reader("c", "z1", 200)})))
	require.Equal(t, []string{"a"}, names(Choose([]Reader{reader("a", "z1", 0)})))
	require.Empty(t, Choose(nil))
}

// Every gateway picks by what it has heard, in any order: they must agree, or the store
// is called by more than the readers.
func TestReadersDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var live []Reader
		for i := range rapid.IntRange(0, 8).Draw(t, "gateways") {
			live = append(live, reader(string(rune('a'+i)), rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "domain"), float64(rapid.IntRange(0, 2).Draw(t, "link"))))
		}
		want := names(Choose(live))
		require.Equal(t, want, names(Choose(rapid.Permutation(live).Draw(t, "order"))))
		require.Len(t, want, min(Count, len(live)))
	})
}

// fleet plays many processes that tell each other of readers over partial links.
type fleet struct {
	rng   *rand.Rand
	roles []*Role
	// links lists whom each process tells.
	links [][]int
	dead  []bool
	// unreached processes are turned away by the store.
	unreached []bool
	answered  []time.Duration
	// called counts, by process, the calls of those that had not read before.
	tried []int
	now   time.Duration
}

const (
	// step is the time between two looks of a process, as a follower's.
	step = 100 * time.Millisecond
	// degree is how many others a process tells, three times a second each.
	degree = 32
)

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), dead: make([]bool, n), unreached: make([]bool, n), answered: make([]time.Duration, n), tried: make([]int, n), now: time.Hour}
	for i := range n {
		mbps := 20.0
		if i%6 == 0 {
			mbps = 200
		}
		f.roles = append(f.roles, NewRole(reader(fmt.Sprintf("vm-%03d", i), fmt.Sprint("z", i%8), mbps)))
		links := f.rng.Perm(n)
		links = slices.DeleteFunc(links, func(j int) bool { return j == i })
		f.links = append(f.links, links[:min(degree, len(links))])
	}
	return f
}

// play lets d pass: each process looks at its role each step, and tells a third of its
// links what it knows.
func (f *fleet) play(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for i, r := range f.roles {
			if f.dead[i] {
				continue
			}
			f.look(i, r)
			for _, j := range f.links[i] {
				if !f.dead[j] && f.rng.IntN(3) == 0 {
					f.roles[j].AddReports(r.Readers(f.now, f.answered[i]), f.now)
				}
			}
		}
	}
}

func (f *fleet) look(i int, r *Role) {
	was := r.IsReading()
	reached := !(was && f.unreached[i])
	reads := r.ShouldRead(Inputs{Now: f.now, StoreReached: reached, ProcessCount: float64(f.alive()), Random: f.rng.Float64()})
	if reads && !was {
		f.tried[i]++
	}
	if reads && !f.unreached[i] {
		f.answered[i] = f.now
	}
}

func (f *fleet) alive() (n int) {
	for _, d := range f.dead {
		if !d {
			n++
		}
	}
	return n
}

func (f *fleet) reading() (out []Reader) {
	for i, r := range f.roles {
		if r.IsReading() && !f.dead[i] {
			out = append(out, r.self)
		}
	}
	return out
}

func (f *fleet) tries() (n int) {
	for _, t := range f.tried {
		n += t
	}
	return n
}

// Every process that hears of no reader for itself read the store for itself: at 103 entry
// VMs, each of which hears a third of the others, half of all did, for ever. Two must be
// left within two seconds, of wide links and two failure domains, at any number.
func TestTwoReadWhateverTheNumber(t *testing.T) {
	for _, n := range []int{1, 2, 4, 30, 103, 330} {
		for seed := range uint64(3) {
			f := newFleet(n, seed)
			f.play(2 * time.Second)
			got := f.reading()
			require.Len(t, got, min(n, Count), "%d processes", n)
			if n >= 30 {
				require.Equal(t, 200.0, got[0].LinkMbps)
				require.Equal(t, 200.0, got[1].LinkMbps)
				require.NotEqual(t, got[0].FailureDomain, got[1].FailureDomain)
			}
			f.play(5 * time.Second)
			require.Equal(t, names(got), names(f.reading()), "readers stay")
		}
	}
}

// Both readers lose power at the same moment, and all others see that at the same moment
// too. New ones must be found within two seconds of the last answer, and the store must
// not be called by everyone at once.
func TestLossOfBothReadersIsNoBurst(t *testing.T) {
	for _, n := range []int{30, 103, 330} {
		for seed := range uint64(3) {
			f := newFleet(n, seed)
			f.play(3 * time.Second)
			for i, r := range f.roles {
				f.dead[i] = r.IsReading()
			}
			before := f.tries()
			f.play(AnswerTimeout + 500*time.Millisecond)
			require.NotEmpty(t, f.reading(), "%d processes", n)
			f.play(2 * time.Second)
			require.Len(t, f.reading(), Count)
			require.LessOrEqual(t, f.tries()-before, 30, "%d processes", n)
		}
	}
}

// The store turns everyone away for eight seconds. How often it is called meanwhile must
// not grow with the number of processes, and when it is back it is noticed within half a
// second.
func TestOutageIsTriedAtABoundedRate(t *testing.T) {
	for _, n := range []int{6, 103, 330} {
		f := newFleet(n, 7)
		f.play(3 * time.Second)
		for i := range f.unreached {
			f.unreached[i] = true
		}
		before := f.tries()
		f.play(8 * time.Second)
		require.LessOrEqual(t, f.tries()-before, 8*2*volunteersPerSecond, "%d processes", n)
		for i := range f.unreached {
			f.unreached[i] = false
		}
		f.play(500 * time.Millisecond)
		require.NotEmpty(t, f.reading(), "%d processes", n)
	}
}

// The store turns the two readers away and serves the others. They give their place up,
// and do not take it again while others have it.
func TestReadersThatAreTurnedAwayAreReplaced(t *testing.T) {
	f := newFleet(103, 3)
	f.play(3 * time.Second)
	for i, r := range f.roles {
		f.unreached[i] = r.IsReading()
	}
	f.play(3 * time.Second)
	require.Len(t, f.reading(), Count)
	for i, r := range f.roles {
		require.False(t, f.unreached[i] && r.IsReading())
	}
}

// A process that no other reaches reads for itself at once.
func TestLoneProcessReads(t *testing.T) {
	r := NewRole(reader("a", "z", 10))
	require.True(t, r.ShouldRead(Inputs{Now: time.Minute, StoreReached: true, ProcessCount: 1, Random: 0.99}))
}

// What is told of a reader from before the store's clock began anew looks newer than
// anything: it must not be counted on for ever.
func TestReadersOfAnotherClockAreNotBelieved(t *testing.T) {
	r := NewRole(reader("a", "z", 10))
	r.AddReports([]Reader{{Name: "b", AnsweredAt: time.Hour}, {Name: "c", AnsweredAt: time.Hour}}, time.Minute)
	require.Empty(t, r.Readers(time.Minute, 0))
}
