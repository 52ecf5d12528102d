package backends

import (
	"math"
	"time"

	"kingcupplank.example/kingcup/concurrency"
	"kingcupplank.example/kingcup/pace"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/prefill"
)

// Server is a backend server as the directory lists it.
type Server struct {
	// ID identifies the server. A server that restarts may keep its id.
	ID string
	// StartTime is when this incarnation of the server started, in Unix milliseconds of the
	// server's own clock, 0 if unknown. A later incarnation with the same id has none of the
	// earlier one's state.
	StartTime     int64
	Service       string
	Address       string
	FailureDomain string
	// SoftwareVersion is the version of the server's software, empty if unknown. There is no order
	// between versions.
	SoftwareVersion string
	// Slots is how many requests the server runs at once.
	Slots int
	// Leaving is set once the server has announced that it will end.
	Leaving bool
	// ColdFor is how much longer the server is slow after its start.
	ColdFor time.Duration
	// Unreadable marks an entry that can't be decoded. Only its ID is known, and the server must
	// not be used.
	Unreadable bool
}

// SameIncarnation reports whether both describe the same incarnation of a server. An unknown
// StartTime or SoftwareVersion matches any other.
func (s Server) SameIncarnation(o Server) bool {
	return s.ID == o.ID && (s.StartTime == o.StartTime || s.StartTime == 0 || o.StartTime == 0) &&
		(s.SoftwareVersion == o.SoftwareVersion || s.SoftwareVersion == "" || o.SoftwareVersion == "")
}

// HasSameSoftware reports whether both servers run the same version of their software. An unknown
// version is the same as no other.
func (s Server) HasSameSoftware(o Server) bool {
	return s.SoftwareVersion != "" && s.SoftwareVersion == o.SoftwareVersion
}

// server is a backend server with what this process knows of it. It is guarded by Registry.mu.
type server struct {
	Server
	// hash determines the server's cell.
	hash uint64
	// gone is set when the entry has vanished or another server answers at the server's address.
	gone bool
	// selfReported is set when the server itself has reported that it is leaving, in a report or
	// a response. This is forwarded to peers, whose copies of the entry may not contain it.
	selfReported bool
	// replaced is set when another server has answered at the server's address. An entry of the
	// same incarnation then doesn't bring the server back.
	replaced bool
	// excluded is set while the server must not be used because its entry can't be read or comes
	// from an old copy of the directory.
	excluded bool
	// excludedUntil is when a server that an old copy of the directory has brought back is used
	// again, 0 if there is no such time.
	excludedUntil time.Duration
	// missingUntil is when a missing entry counts as gone, 0 if the entry is not missing.
	missingUntil time.Duration
	// coldUntil is when the server is no longer cold. pacer records what was sent to it while it
	// accepted only a bounded rate.
	coldUntil time.Duration
	pacer     pacing.Pacer
	// avoidUntil is when the server is no longer ranked last for being full or unreachable.
	avoidUntil time.Duration
	ownLoad    Load
	// answers are the times of its answers to requests without an engine. listedAt is when this
	// incarnation became known, or was listed again.
	answers  concurrency.Answers
	listedAt time.Duration
	// ownPace is estimated from the streams of this process, remotePace from those of another.
	ownPace, remotePace pace.Estimator
	// ownDip is detected from the streams of this process; remoteDipUntil is when a dip that another
	// process has reported ends.
	ownDip         prefill.Dip
	remoteDipUntil time.Duration
	// failures is the failure rate as of failuresAt, an exponentially weighted average.
	failures   float64
	failuresAt time.Duration
	// losses counts the consecutive requests that were lost, the last one at lastLossAt.
	losses     int
	lastLossAt time.Duration
	// avoidances counts how often in succession the server was avoided for its losses.
	// lossAvoidUntil is when it is tried again.
	avoidances     int
	lossAvoidUntil time.Duration
	// rateLimit is the rate limit that the server sends. invalidSeen is set once the server has
	// sent an invalid header.
	rateLimit   rateLimit
	invalidSeen bool
	// backoffUntil is the end of the backoff that the server has asked this process for.
	backoffUntil time.Duration
	// downUntil is when a server that refused connections is tried again.
	downUntil time.Duration
}

// recordLoss records a request that got no answer.
func (s *server) recordLoss(now time.Duration) {
	s.losses, s.lastLossAt = s.consecutiveLosses(now)+1, now
	s.recordAnswer(1, lossGain, now)
}

// consecutiveLosses returns the number of consecutive losses, 0 if the last one is too long ago.
func (s *server) consecutiveLosses(now time.Duration) int {
	if now-s.lastLossAt >= lossAvoidTime {
		return 0
	}
	return s.losses
}

// avoid has the server avoided for some time, which doubles if the last time was recent.
func (s *server) avoid(now time.Duration) {
	if s.lossAvoidUntil == 0 || now-s.lossAvoidUntil > relapseTime {
		s.avoidances = 0
	}
	s.lossAvoidUntil = now + lossAvoidTime<<min(s.avoidances, maxAvoidDoublings)
	s.avoidances++
}

// markDown records that the server refuses connections. Attempts that began before it was known
// to be down change nothing.
func (s *server) markDown(now time.Duration) {
	if now < s.downUntil {
		return
	}
	s.avoid(now)
	s.downUntil = s.lossAvoidUntil
}

// markLeaving records that the server itself has reported that it is leaving. It appends a due call
// of onLeaving to events if the server was not known to be leaving.
func (s *server) markLeaving(events []leaveEvent, reason LeaveReason) []leaveEvent {
	if s.gone {
		return events
	}
	s.selfReported = true
	if s.Leaving {
		return events
	}
	s.Leaving = true
	return append(events, leaveEvent{s.Server, reason})
}

// failureRate returns the failure rate, decayed by its age.
func (s *server) failureRate(now time.Duration) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now-s.failuresAt)/float64(failureHalfLife))
}

// recordAnswer adds an answer, or the lack of one, to the failure rate. failed is 1 for a failure
// and 0 otherwise, gain is the weight of the answer.
func (s *server) recordAnswer(failed, gain float64, now time.Duration) {
	s.failures = s.failureRate(now)*(1-gain) + failed*gain
	s.failuresAt = now
}

// update applies an entry of the same incarnation. A server whose entry had vanished and is back
// accepts requests again, unless it has reported that it is leaving.
func (o *server) update(events []leaveEvent, s Server, now time.Duration) []leaveEvent {
	beginsToLeave := s.Leaving && !o.Leaving && !o.gone
	s.Leaving = s.Leaving || o.Leaving
	if s.StartTime == 0 {
		s.StartTime = o.StartTime
	}
	o.Server = s
	if o.gone || o.listedAt == 0 {
		o.listedAt = now
	}
	o.gone = o.gone && (o.replaced || s.Leaving)
	o.excluded, o.excludedUntil = false, 0
	o.missingUntil = 0
	o.coldUntil = now + s.ColdFor
	if beginsToLeave {
		events = append(events, leaveEvent{s, LeaveDraining})
	}
	return events
}
