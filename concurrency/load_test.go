package concurrency

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet is a number of gateways and servers.
type fleet struct{ gateways, servers, slots int }

// fleets have fewer slots than gateways.
var fleets = []fleet{{4, 1, 3}, {8, 1, 6}, {22, 1, 6}, {22, 3, 6}, {100, 3, 6}, {500, 12, 6}, {2000, 48, 6}}

func (f fleet) String() string {
	return fmt.Sprintf("%d gateways, %d servers of %d slots", f.gateways, f.servers, f.slots)
}

// perSecond returns the requests per second that the servers can answer.
func (f fleet) perSecond() float64 {
	return float64(f.servers*f.slots) / simService.Seconds()
}

const (
	// surgeAt is when the load rises from usualLoad of the capacity. The standing queue must have
	// ended maxQueueTime later.
	surgeAt, usualLoad = 2 * time.Second, 0.6
	maxQueueTime       = time.Second
	// steadyFrom is when the load counts as steady.
	steadyFrom = 4 * time.Second
	surgeUntil = 8 * time.Second
)

// seeds returns the number of loads that are played: fewer for large fleets, which take seconds.
func (f fleet) seeds() uint64 {
	if f.gateways <= 100 {
		return 5
	}
	return 1
}

// surge plays a load that rises to a multiple of the capacity.
func (f fleet) surge(load float64, seed uint64, newAdmit func(time.Duration) simAdmission) (all, steady simResult) {
	s := newSim(f.gateways, f.servers, f.slots, seed, newAdmit)
	s.retry = true
	s.rate = func(now time.Duration) float64 {
		if now < surgeAt {
			return usualLoad * f.perSecond()
		}
		return load * f.perSecond()
	}
	before := s.run(steadyFrom)
	all = s.run(surgeUntil)
	return all, all.since(before)
}

// since returns the counts of what happened after an earlier result.
func (r simResult) since(o simResult) simResult {
	r.arrived -= o.arrived
	r.admitted -= o.admitted
	r.onTime -= o.onTime
	r.late -= o.late
	r.refused -= o.refused
	r.refusedHeld -= o.refusedHeld
	r.delayed -= o.delayed
	r.lost -= o.lost
	r.answered -= o.answered
	r.retryAfter = r.retryAfter[len(o.retryAfter):]
	return r
}

// faults lists what callers and servers must not see in a surge.
func (f fleet) faults(all, steady simResult) (faults []string) {
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	inFlight := meanOf(all.inFlight, steadyFrom, surgeUntil) / float64(f.servers*f.slots)
	check(inFlight >= 1 && inFlight <= 1.5, "%.1f requests in flight at six slots", 6*inFlight)
	used := meanOf(all.answers, steadyFrom, surgeUntil) / simTick.Seconds() / f.perSecond()
	check(used >= 0.8, "%.2f of the capacity used", used)
	onTime := float64(steady.onTime) / float64(steady.answered)
	check(onTime >= 0.9, "%.2f of the admitted on time", onTime)
	queue := longestAbove(all.inFlight, 1.5*float64(f.servers*f.slots), surgeAt)
	check(queue <= maxQueueTime, "a queue stands for %v", queue)
	held := float64(steady.refusedHeld) / float64(max(1, steady.refused))
	check(held <= 0.01, "%.3f of the refused are held before", held)
	check(steady.refused > 0, "nobody is refused")
	if len(steady.retryAfter) > 0 {
		check(slices.Min(steady.retryAfter) > 0 && slices.Max(steady.retryAfter) <= simPatience/HonoredDivisor, "retry times from %v to %v", slices.Min(steady.retryAfter), slices.Max(steady.retryAfter))
	}
	return faults
}

// Guards against a standing queue at servers with fewer slots than gateways, of which each allows
// itself a request, and against servers that are idle while callers are refused.
func TestOverloadFillsServersWithoutQueue(t *testing.T) {
	for _, f := range fleets {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range f.seeds() {
				all, steady := f.surge(1.5, seed, newShared)
				t.Logf("in flight at six slots %.1f, used %.2f, on time %.3f, refused %d of %d, held %d, queue for %v", 6*meanOf(all.inFlight, steadyFrom, surgeUntil)/float64(f.servers*f.slots),
					meanOf(all.answers, steadyFrom, surgeUntil)/simTick.Seconds()/f.perSecond(), float64(steady.onTime)/float64(steady.answered), steady.refused, steady.arrived, steady.refusedHeld, longestAbove(all.inFlight, 1.5*float64(f.servers*f.slots), surgeAt))
				require.Empty(t, f.faults(all, steady))
			}
			if f.gateways <= 100 {
				require.NotEmpty(t, f.faults(f.surge(1.5, 1, newUnlimited)), "the load needs a limit")
			}
		})
	}
}

// Guards against the limit refusing or delaying callers below the capacity.
func TestNobodyIsRefusedBelowTheCapacity(t *testing.T) {
	for _, f := range fleets {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			for _, load := range []float64{0.6, 0.75} {
				_, steady := f.surge(load, 2, newShared)
				t.Logf("load %.2f: refused %d, delayed %d of %d", load, steady.refused, steady.delayed, steady.arrived)
				bound := 0.0
				if load > usualLoad {
					// Chance brings about short queues, during which the capacity is exceeded.
					bound = 0.01 * float64(steady.arrived)
				}
				require.LessOrEqual(t, float64(steady.refused), bound)
				require.LessOrEqual(t, float64(steady.delayed), 2*bound)
			}
		})
	}
}

// onTimeParts returns the part of the requests that arrive at the tenth of the gateways with the least
// demand and at the tenth with the most that is answered on time.
func (s *sim) onTimeParts() (least, most float64) {
	type part struct{ weight, arrived, onTime float64 }
	var list []part
	for i, g := range s.gateways {
		weight := s.weights[i]
		if i > 0 {
			weight -= s.weights[i-1]
		}
		list = append(list, part{weight, float64(g.arrived), float64(g.onTime)})
	}
	slices.SortFunc(list, func(a, b part) int { return cmp.Compare(a.weight, b.weight) })
	of := func(list []part) float64 {
		var sum part
		for _, p := range list {
			sum.arrived += p.arrived
			sum.onTime += p.onTime
		}
		return sum.onTime / max(1, sum.arrived)
	}
	n := max(1, len(list)/10)
	return of(list[:n]), of(list[len(list)-n:])
}

// Compares ways to divide the capacity among gateways, at 1.5 times the capacity. The figures are in
// docs/design/20-shared-concurrency.md.
func TestPartsInProportionToDemandUseTheServersBest(t *testing.T) {
	ways := []struct {
		name     string
		newAdmit func(time.Duration) simAdmission
	}{{"none", newUnlimited}, {"equal parts", newEqualParts}, {"tickets", newTickets}, {"parts by demand", newShared}}
	for _, f := range []fleet{{22, 1, 6}, {100, 3, 6}, {500, 12, 6}} {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			used := map[string]float64{}
			for _, w := range ways {
				s := newSim(f.gateways, f.servers, f.slots, 1, w.newAdmit)
				s.rate = func(time.Duration) float64 { return 1.5 * f.perSecond() }
				before := s.run(steadyFrom)
				all := s.run(surgeUntil)
				steady := all.since(before)
				used[w.name] = meanOf(all.answers, steadyFrom, surgeUntil) / simTick.Seconds() / f.perSecond()
				least, most := s.onTimeParts()
				t.Logf("%s: in flight at six slots %.1f, used %.2f, admitted on time %.3f, of all on time %.2f, at gateways with the least demand %.2f, with the most %.2f", w.name, 6*meanOf(all.inFlight, steadyFrom, surgeUntil)/float64(f.servers*f.slots),
					used[w.name], float64(steady.onTime)/float64(max(1, steady.answered)), float64(steady.onTime)/float64(steady.arrived), least, most)
			}
			require.Greater(t, used["parts by demand"], max(used["tickets"], used["equal parts"]))
		})
	}
}
