package relay

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/standby"
)

const (
	// standbyCheckInterval is how often the servers that keep copies of this gateway are checked
	// for requests of other gateways that want the memory. A prompt takes ten times as long.
	standbyCheckInterval = 20 * time.Millisecond
	// standbyLinesPerSecond and standbyLinesBurst bound the log lines about dropped copies.
	standbyLinesPerSecond, standbyLinesBurst = 2, 20
)

// StandbyEvent is what happens to a standby copy.
type StandbyEvent string

// The events.
const (
	StandbyMade StandbyEvent = "made"
	// StandbyRefreshed: a copy has received what its run had made since.
	StandbyRefreshed StandbyEvent = "refreshed"
	// StandbyRefused: there was no room for a copy.
	StandbyRefused StandbyEvent = "refused"
	// StandbyFailed: the call that makes or refreshes a copy failed.
	StandbyFailed StandbyEvent = "failed"
	// StandbyDropped: its memory was wanted.
	StandbyDropped StandbyEvent = "dropped"
	// StandbyLost: its engine left, was cordoned or crashed.
	StandbyLost StandbyEvent = "lost"
	// StandbyUsed: a stream was resumed from it.
	StandbyUsed StandbyEvent = "used"
	// StandbyMissing: a stream broke that has no copy, or could not be resumed from it.
	StandbyMissing StandbyEvent = "missing"
)

// standbyCopies are the evictable standby copies of this gateway. It is safe for concurrent
// use; no other lock is taken while its mu is locked, and it may be locked while a run's mu is.
type standbyCopies struct {
	mu sync.Mutex
	// byServer has the runs of the copies at each server.
	byServer map[incarnation]map[*backends.Reservation]*run
	// copying is the number of copies that are being made or refreshed.
	copying int
	// excessSince is the time since when the memory in use at a server has been too high.
	excessSince map[incarnation]time.Duration
	// checking is set while a check is scheduled.
	checking bool
	// lines bounds the log lines, leftOut counts the copies dropped without one.
	lines   *rate.Limiter
	leftOut int
}

func newStandbyCopies() *standbyCopies {
	return &standbyCopies{
		byServer:    make(map[incarnation]map[*backends.Reservation]*run),
		excessSince: make(map[incarnation]time.Duration), lines: rate.NewLimiter(standbyLinesPerSecond, standbyLinesBurst),
	}
}

// startCopy counts a call that copies a run. It returns false if there are enough already.
func (s *standbyCopies) startCopy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copying >= standby.MaxCopying {
		return false
	}
	s.copying++
	return true
}

func (s *standbyCopies) endCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copying--
}

// add records a complete copy.
func (s *standbyCopies) add(reservation *backends.Reservation, u *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := incarnationOf(reservation.Server)
	if s.byServer[at] == nil {
		s.byServer[at] = make(map[*backends.Reservation]*run)
	}
	s.byServer[at][reservation] = u
}

// remove removes a copy, which is then not evictable any more. It returns its run, nil if the copy is not
// listed.
func (s *standbyCopies) remove(reservation *backends.Reservation) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := incarnationOf(reservation.Server)
	u := s.byServer[at][reservation]
	if u == nil {
		return nil
	}
	delete(s.byServer[at], reservation)
	if len(s.byServer[at]) == 0 {
		delete(s.byServer, at)
		delete(s.excessSince, at)
	}
	return u
}

// at returns the copies at a server with their runs.
func (s *standbyCopies) at(server incarnation) (reservations []*backends.Reservation, runs []*run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for reservation, u := range s.byServer[server] {
		reservations, runs = append(reservations, reservation), append(runs, u)
	}
	return reservations, runs
}

// servers returns the servers that keep copies.
func (s *standbyCopies) servers() (out []incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := range s.byServer {
		out = append(out, at)
	}
	return out
}

// excessDuration returns for how long there has been an excess at a server. tokens is the present
// one.
func (s *standbyCopies) excessDuration(at incarnation, tokens int, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, known := s.excessSince[at]
	switch {
	case tokens <= 0 || s.byServer[at] == nil:
		delete(s.excessSince, at)
		return 0
	case !known:
		s.excessSince[at] = now
		return 0
	}
	return now - since
}

// startCheck reports whether a check has to be scheduled.
func (s *standbyCopies) startCheck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := !s.checking
	s.checking = true
	return start
}

// continueCheck reports whether there are copies to be checked again.
func (s *standbyCopies) continueCheck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checking = len(s.byServer) > 0
	return s.checking
}

// scheduleStandbyCheck checks the servers that keep copies in standbyCheckInterval, and again while
// there are any.
func (r *Relay) scheduleStandbyCheck() {
	if r.standbys.startCheck() {
		time.AfterFunc(standbyCheckInterval, r.checkStandbys)
	}
}

// checkStandbys drops copies at servers where requests of other gateways want the memory, and those
// at servers that no longer take runs.
func (r *Relay) checkStandbys() {
	dropped := 0
	for _, at := range r.standbys.servers() {
		if n := r.dropLostStandbys(at); n > 0 {
			dropped += n
			continue
		}
		dropped += r.dropStandbysAt(at, false)
	}
	if dropped > 0 {
		r.Peers.NotifyLoads()
	}
	if r.standbys.continueCheck() {
		time.AfterFunc(standbyCheckInterval, r.checkStandbys)
	}
}

// dropLostStandbys drops the copies at a server that no longer takes runs. It returns their number.
func (r *Relay) dropLostStandbys(at incarnation) (dropped int) {
	reservations, _ := r.standbys.at(at)
	if len(reservations) == 0 || r.Registry.CanKeepCopy(reservations[0].Server, r.Now()) {
		return 0
	}
	for _, reservation := range reservations {
		if r.dropStandby(reservation, StandbyLost) {
			dropped++
		}
	}
	return dropped
}

// evictStandbys drops copies of this gateway at a server on which it has just placed a request. The
// caller must notify the peers afterwards: they learn of the request and of the freed memory from
// the same message.
func (r *Relay) evictStandbys(reservation *backends.Reservation) {
	r.dropStandbysAt(incarnationOf(reservation.Server), true)
}

// dropStandbysAt drops copies at a server while its memory in use is too high. first is set if this
// gateway is to drop its copies before others. It returns the number of dropped copies.
func (r *Relay) dropStandbysAt(at incarnation, first bool) (dropped int) {
	reservations, runs := r.standbys.at(at)
	if len(reservations) == 0 {
		return 0
	}
	tokens, preceding := reservations[0].StandbyExcess(standby.DropMemoryUse)
	excess := standby.Excess{Tokens: tokens, PrecedingTokens: preceding, For: r.standbys.excessDuration(at, tokens, r.Now())}
	if tokens <= 0 {
		return 0
	}
	if first {
		excess.PrecedingTokens = 0
	}
	candidates := make([]standby.Copy, len(reservations))
	for i := range candidates {
		candidates[i] = standby.Copy{Events: runs[i].countEvents(), Tokens: reservations[i].CountedTokens()}
	}
	for _, i := range standby.Drops(excess, candidates) {
		if r.dropStandby(reservations[i], StandbyDropped) {
			dropped++
		}
	}
	if dropped > 0 {
		r.logDropped(at, dropped, tokens)
	}
	return dropped
}

// dropStandby drops a copy, unless its run is over or resumes from it. It does not block.
func (r *Relay) dropStandby(reservation *backends.Reservation, why StandbyEvent) bool {
	u := r.standbys.remove(reservation)
	if u == nil {
		return false
	}
	c := u.removeStandby(reservation)
	if c == nil {
		return false
	}
	if why == StandbyDropped {
		u.delayStandby(r.Now() + standby.RetryAfterDrop)
	}
	r.Observer.StandbyCopy(why)
	reservation.Release(backends.ResultInconclusive, r.Now())
	go r.dropCopy(*c)
	return true
}

// logDropped logs that copies were dropped, at a bounded rate.
func (r *Relay) logDropped(at incarnation, dropped, excess int) {
	s := r.standbys
	s.mu.Lock()
	allowed := s.lines.Allow()
	leftOut := s.leftOut
	if s.leftOut += dropped; allowed {
		s.leftOut = 0
	}
	s.mu.Unlock()
	if allowed {
		r.Log.WithFields(logrus.Fields{"server": at.id, "copies": dropped, "tokens_over": excess, "left_out": leftOut}).Info("standby copies dropped, requests need the memory")
	}
}
