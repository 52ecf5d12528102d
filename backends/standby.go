package backends

import (
	"math"
	"time"

	"kingcupplank.example/kingcup/cells"
)

// withoutStandby returns the load without the evictable standby copies. The number of requests
// is reduced in proportion, as a copy is as large as its run: a server that only keeps copies is
// idle for a request.
func (l Load) withoutStandby() Load {
	if l.Standby <= 0 || l.ExpectedTokens <= 0 {
		return l
	}
	runs := max(0, l.ExpectedTokens-l.Standby)
	l.Running = int(math.Ceil(float64(l.Running) * (float64(runs) / float64(l.ExpectedTokens))))
	// All memory of copies counts as held, so that the growth is that of the runs.
	l.ExpectedTokens, l.Growth, l.Standby = runs, min(l.Growth, runs), 0
	return l
}

// Evictable reports whether the reservation was made for an evictable standby copy.
func (r *Reservation) Evictable() bool { return r.evictable }

// CountedTokens returns the memory that the reservation counts at its server.
func (r *Reservation) CountedTokens() int {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	return r.contribution.ExpectedTokens
}

// KeepStandby counts the memory of a standby copy as a run's from now on: a run resumes from it,
// and it is no longer evictable.
func (r *Reservation) KeepStandby() {
	r.change(func(contribution Load) Load { return Load{Standby: -contribution.Standby} })
}

// StandbyExcess returns the number of tokens by which the known load of the reservation's server,
// with all standby copies, exceeds a fraction of its memory, 0 or less if it does not.
//
// precedingTokens is the memory of the copies that other processes are to drop before this one.
// All processes have the same order for a server. Otherwise each of them would drop its copies
// although those of one process are enough.
func (r *Reservation) StandbyExcess(fraction float64) (tokens, precedingTokens int) {
	reg, s := r.registry, r.target
	reg.mu.Lock()
	defer reg.mu.Unlock()
	memory := reg.traits(s.Service).MemoryTokens
	if memory <= 0 {
		return 0, 0
	}
	tokens = reg.load(s).ExpectedTokens - int(fraction*float64(memory))
	if tokens <= 0 {
		return tokens, 0
	}
	own := dropOrder(reg.self, s.ID)
	for process, loads := range reg.remoteLoads {
		if l := loads[s.ID]; l.Standby > 0 && l.StartTime == s.StartTime && dropOrder(process, s.ID) < own {
			precedingTokens += l.Standby
		}
	}
	return tokens, precedingTokens
}

// dropOrder orders the processes that have standby copies at a server. It differs between servers,
// so that no process loses all of its copies first.
func dropOrder(process, server string) uint64 { return cells.Hash(process + "/" + server) }

// CanKeepCopy reports whether a copy of a run at a server can be of use: the server is listed and
// neither leaving, cordoned nor known to be down.
func (r *Registry) CanKeepCopy(at Server, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(at)
	return s != nil && !s.gone && !s.Leaving && !r.cordoned[s.FailureDomain] && !r.isDown(s, now)
}
