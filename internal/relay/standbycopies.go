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
	// StandbyRefused: there was no room for a copy.
	StandbyRefused StandbyEvent = "refused"
	// StandbyDropped: its memory was wanted.
	StandbyDropped StandbyEvent = "dropped"
	// StandbyUsed: a stream was resumed from it.
	StandbyUsed StandbyEvent = "used"
	// StandbyMissing: a stream broke that has no copy, or could not be resumed from it.
	StandbyMissing StandbyEvent = "missing"
)

// standbyCopy is a standby copy that gives way to requests.
type standbyCopy struct {
	reservation *backends.Reservation
	// handle is the copy's handle at its server.
	handle string
	// run is nil until the response has begun.
	run *run
}

// standbyCopies are the standby copies of this gateway that give way. It is safe for concurrent
// use; no other lock is taken while its mu is locked.
type standbyCopies struct {
	mu       sync.Mutex
	byServer map[incarnation]map[*backends.Reservation]*standbyCopy
	// starting counts the copies of runs without a response yet.
	starting map[incarnation]int
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
		byServer: make(map[incarnation]map[*backends.Reservation]*standbyCopy), starting: make(map[incarnation]int),
		excessSince: make(map[incarnation]time.Duration), lines: rate.NewLimiter(standbyLinesPerSecond, standbyLinesBurst),
	}
}

// add records a copy of a run whose request is about to be sent.
func (s *standbyCopies) add(reservation *backends.Reservation, handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := incarnationOf(reservation.Server)
	if s.byServer[at] == nil {
		s.byServer[at] = make(map[*backends.Reservation]*standbyCopy)
	}
	s.byServer[at][reservation] = &standbyCopy{reservation: reservation, handle: handle}
	s.starting[at]++
}

// begin records that the response of a copy's run has begun. It returns false if the copy has been
// dropped.
func (s *standbyCopies) begin(reservation *backends.Reservation, u *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := incarnationOf(reservation.Server)
	c := s.byServer[at][reservation]
	if c == nil {
		return false
	}
	s.endStart(at)
	c.run = u
	return true
}

// endStart takes one copy off those that are starting; mu must be locked.
func (s *standbyCopies) endStart(at incarnation) {
	if s.starting[at]--; s.starting[at] <= 0 {
		delete(s.starting, at)
	}
}

// remove removes a copy, which then no longer gives way. It returns nil if it is not listed.
func (s *standbyCopies) remove(reservation *backends.Reservation) *standbyCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := incarnationOf(reservation.Server)
	c := s.byServer[at][reservation]
	if c == nil {
		return nil
	}
	if c.run == nil {
		s.endStart(at)
	}
	delete(s.byServer[at], reservation)
	if len(s.byServer[at]) == 0 {
		delete(s.byServer, at)
		delete(s.excessSince, at)
	}
	return c
}

// busy returns the ids of the servers to which no further copy may be started now.
func (s *standbyCopies) busy() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, n := range s.starting {
		if n >= standby.MaxStarting {
			ids = append(ids, at.id)
		}
	}
	return ids
}

// at returns the copies at a server.
func (s *standbyCopies) at(server incarnation) (out []standbyCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.byServer[server] {
		out = append(out, *c)
	}
	return out
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

// checkStandbys drops copies at servers where requests of other gateways want the memory.
func (r *Relay) checkStandbys() {
	dropped := 0
	for _, at := range r.standbys.servers() {
		dropped += r.dropStandbysAt(at, false)
	}
	if dropped > 0 {
		r.Peers.Notify()
	}
	if r.standbys.continueCheck() {
		time.AfterFunc(standbyCheckInterval, r.checkStandbys)
	}
}

// giveWay drops copies of this gateway at a server on which it has just placed a request. The
// caller must notify the peers afterwards: they learn of the request and of the freed memory from
// the same message.
func (r *Relay) giveWay(reservation *backends.Reservation) {
	r.dropStandbysAt(incarnationOf(reservation.Server), true)
}

// dropStandbysAt drops copies at a server while its memory in use is too high. first is set if this
// gateway is to drop its copies before others. It returns the number of dropped copies.
func (r *Relay) dropStandbysAt(at incarnation, first bool) (dropped int) {
	copies := r.standbys.at(at)
	if len(copies) == 0 {
		return 0
	}
	tokens, preceding := copies[0].reservation.StandbyExcess(standby.DropMemoryUse)
	excess := standby.Excess{Tokens: tokens, PrecedingTokens: preceding, For: r.standbys.excessDuration(at, tokens, r.Now())}
	if tokens <= 0 {
		return 0
	}
	if first {
		excess.PrecedingTokens = 0
	}
	candidates := make([]standby.Copy, len(copies))
	for i, c := range copies {
		candidates[i].Tokens = c.reservation.CountedTokens()
		if c.run != nil {
			candidates[i].Events = c.run.countEvents()
		}
	}
	for _, i := range standby.Drops(excess, candidates) {
		if r.dropStandby(copies[i].reservation) {
			dropped++
		}
	}
	if dropped > 0 {
		r.logDropped(at, dropped, tokens)
	}
	return dropped
}

// dropStandby drops a copy, unless its run is over or resumes from it.
func (r *Relay) dropStandby(reservation *backends.Reservation) bool {
	c := r.standbys.remove(reservation)
	if c == nil || c.run != nil && !c.run.forgetStandby(reservation) {
		return false
	}
	r.Observer.StandbyCopy(StandbyDropped)
	reservation.Release(backends.ResultInconclusive, r.Now())
	go r.dropCopy(standbyOf(reservation, c.handle))
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
