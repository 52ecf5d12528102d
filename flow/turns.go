package flow

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Contender is a process that has requests waiting for a service.
type Contender struct {
	Name    string
	Waiting int
	// Rank is that of the most urgent of them, and WaitingAtRank the number of those that
	// have it.
	Rank, WaitingAtRank int
}

// NewTurns shares servers out for a request of some rank that waits at self, among
// the others that have requests waiting too. It shares with those that are at least
// as urgent only, and leaves a server to each request elsewhere that is more urgent:
// otherwise those would get no more than their part of the servers that get room,
// and wait as long as all others.
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

// Turns gives each server to one contender for a while. When a server gets room,
// every process with a queue sees it within milliseconds, earlier than it hears
// what the others have sent there. Without turns they all send at once: an engine
// that joined empty was given several seconds of prompts, while its first callers
// were promised less than one.
//
// Contenders get servers in proportion to what waits there. Processes that disagree
// on the contenders or the period now and then send to the same server, or leave
// it to each other for one period; both pass.
type Turns struct {
	// Self is the process that asks.
	Self string
	// Period numbers the spans of time for which turns hold; it is the same
	// everywhere.
	Period     int64
	Contenders []Contender
	// Reserved is the number of servers with room that are left to others.
	Reserved int
}

// IsOwnTurn reports whether it is this process's turn at a server. Without other
// contenders it always is.
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

// score is weighted rendezvous hashing: the highest wins, with a chance in
// proportion to its weight, and the others' order does not depend on who is there.
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
