package flow

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Contender is a process with requests that wait for a service.
type Contender struct {
	Name    string
	Waiting int
	// Rank is the rank of its most urgent waiting request, WaitingAtRank the number of
	// its waiting requests of that rank.
	Rank, WaitingAtRank int
	// Tokens is the memory in tokens that its waiting requests need, 0 if unknown.
	Tokens int
}

// NewTurns returns the turns for a request of the given rank that waits at self. others
// are the other processes with waiting requests. It returns nil if no other process has
// requests that are at least as urgent.
//
// Only processes whose requests are at least as urgent become contenders, and one server
// is reserved for each more urgent request elsewhere. Without the reservation those
// requests would get only their process's share of the servers with free capacity, and
// would wait as long as all others.
func NewTurns(self Contender, others []Contender, rank int, period int64) *Turns {
	t := &Turns{Self: self.Name, Period: period}
	for _, c := range others {
		if c.Rank <= rank {
			t.Contenders = append(t.Contenders, c)
		}
		if c.Rank < rank {
			t.Reserved += c.WaitingAtRank
		}
	}
	if len(t.Contenders) == 0 {
		return nil
	}
	t.Contenders = append(t.Contenders, self)
	return t
}

// Turns assigns each server to one contender for one period of 60 ms: in that period only
// this contender may send to the server. When a server gets free capacity, every process
// with a queue sees it within milliseconds, earlier than it receives the other processes'
// load reports. Without turns they all send at once: an engine that joined empty received
// several seconds of prompts, while its first callers had been promised less than one
// second.
//
// A contender gets servers in proportion to its number of waiting requests. Processes that
// disagree on the contenders or on the period may send to the same server, or leave it
// unused for one period; both are over after that period.
type Turns struct {
	// Self is the name of this process.
	Self string
	// Period is the number of the current period. All processes number periods alike.
	Period     int64
	Contenders []Contender
	// Reserved is the number of servers with free capacity that are left to more urgent
	// requests of other processes.
	Reserved int
}

// IsOwnTurn reports whether a server is assigned to this process in this period. Without
// other contenders it always is.
func (t *Turns) IsOwnTurn(server string) bool {
	if t == nil || len(t.Contenders) < 2 {
		return true
	}
	best, top := "", math.Inf(-1)
	for _, c := range t.Contenders {
		if score := t.score(server, c); score > top || score == top && c.Name < best {
			best, top = c.Name, score
		}
	}
	return best == t.Self
}

// score implements weighted rendezvous hashing. The contender with the highest score wins;
// its chance is in proportion to its weight. The order of any two contenders does not
// depend on the other ones.
func (t *Turns) score(server string, c Contender) float64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(server)
	d.WriteString("\x00")
	d.WriteString(c.Name)
	var buf [20]byte
	d.Write(strconv.AppendInt(buf[:0], t.Period, 36))
	uniform := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return float64(max(1, c.Waiting)) / -math.Log(uniform)
}
