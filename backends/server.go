package backends

import (
	"math"
	"time"

	"kingcupplank.example/kingcup/pacing"
)

// Server is a backend server as the directory lists it.
type Server struct {
	// ID names the server. One that starts again may keep it.
	ID string
	// StartTime is when this life of the server began, in Unix milliseconds of its own
	// clock, 0 if it does not say. A later one under the same id knows nothing of what
	// the server held before.
	StartTime     int64
	Service       string
	Address       string
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving is set once the server has said that it will end.
	Leaving bool
	// ColdFor is how much longer the server is slow after its start.
	ColdFor time.Duration
	// Unreadable marks an entry that names no server to use. Only its ID is known.
	Unreadable bool
}

// SameIncarnation reports whether both describe one start of one server, as far as they say.
func (s Server) SameIncarnation(o Server) bool {
	return s.ID == o.ID && (s.StartTime == o.StartTime || s.StartTime == 0 || o.StartTime == 0)
}

type server struct {
	Server
	// hash places the server in a cell.
	hash uint64
	// gone is set when the entry has vanished or another start of the server
	// answers at its address.
	gone bool
	// reported is set when the server itself says that it leaves, in a report or an answer:
	// others are told, as the directory may not tell them.
	reported bool
	// replaced is set when another server has answered at its address; its entry does
	// not bring it back.
	replaced bool
	// withheld is set while the entry cannot be read.
	withheld bool
	// withheldUntil is when a server that an old copy of the directory has brought back is
	// believed, 0 for none.
	withheldUntil time.Duration
	// suspectUntil is when a vanished entry counts as gone.
	suspectUntil time.Duration
	// coldUntil is when the server is warm, pacer what was sent to it while it took a bounded
	// rate.
	coldUntil  time.Duration
	pacer      pacing.Pacer
	avoidUntil time.Duration
	own        Load
	failures   float64
	judged     time.Duration
	// lost counts the requests lost in a row, the last at lostAt.
	lost   int
	lostAt time.Duration
	// left counts how often the server was left for its losses, leftUntil is when it is
	// tried again.
	left      int
	leftUntil time.Duration
	// limit is what the server says that it takes, unreadableAdvice is set once it has said
	// something of itself that means nothing.
	limit            limit
	unreadableAdvice bool
	// restUntil is until when the server has asked this process for rest.
	restUntil time.Duration
	// endedUntil is until when the server is taken not to listen.
	endedUntil time.Duration
}

// lose notes a request without an answer.
func (s *server) lose(now time.Duration) {
	s.lost, s.lostAt = s.lostInARow(now)+1, now
	s.judge(1, lossGain, now)
}

func (s *server) lostInARow(now time.Duration) int {
	if now-s.lostAt >= lossesFor {
		return 0
	}
	return s.lost
}

// leave has the server left alone for a while, for longer each time that it is soon again.
func (s *server) leave(now time.Duration) {
	if s.leftUntil == 0 || now-s.leftUntil > leftAgain {
		s.left = 0
	}
	s.leftUntil = now + lossesFor<<min(s.left, leftDoublings)
	s.left++
}

// end notes that the server listens no more. Attempts that were made before are no news.
func (s *server) end(now time.Duration) {
	if now < s.endedUntil {
		return
	}
	s.leave(now)
	s.endedUntil = s.leftUntil
}

// report notes that the server is leaving by its own word.
func (s *server) report(left []leave, n LeaveReason) []leave {
	if s.gone {
		return left
	}
	s.reported = true
	if s.Leaving {
		return left
	}
	s.Leaving = true
	return append(left, leave{s.Server, n})
}

// failureRate is the share of failures as it stood, faded by its age.
func (s *server) failureRate(now time.Duration) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now-s.judged)/float64(healthHalfLife))
}

// judge notes one more answer, with its weight.
func (s *server) judge(failed, gain float64, now time.Duration) {
	s.failures = s.failureRate(now)*(1-gain) + failed*gain
	s.judged = now
}

// update takes an entry of the same life. A server whose entry had vanished and is
// back takes requests again; one that has said that it leaves does not.
func (o *server) update(left []leave, s Server, now time.Duration) []leave {
	news := s.Leaving && !o.Leaving && !o.gone
	s.Leaving = s.Leaving || o.Leaving
	if s.StartTime == 0 {
		s.StartTime = o.StartTime
	}
	o.Server = s
	o.gone = o.gone && (o.replaced || s.Leaving)
	o.withheld, o.withheldUntil = false, 0
	o.suspectUntil = 0
	o.coldUntil = now + s.ColdFor
	if news {
		left = append(left, leave{s, NoticeDraining})
	}
	return left
}
