package flow

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In each period a server belongs to exactly one contender, and to each one in
// proportion to what waits there.
func TestTurnsShareServersInProportion(t *testing.T) {
	contenders := []Contender{{Name: "a", Waiting: 1}, {Name: "b", Waiting: 1}, {Name: "c", Waiting: 4}}
	won := make(map[string]int)
	const periods = 6000
	for period := range int64(periods) {
		owners := 0
		for _, c := range contenders {
			turns := &Turns{Self: c.Name, Period: period, Contenders: contenders}
			if turns.IsOwnTurn("s") {
				owners++
				won[c.Name]++
			}
		}
		require.Equal(t, 1, owners)
	}
	require.InEpsilon(t, periods/6, won["a"], 0.1)
	require.InEpsilon(t, periods/6, won["b"], 0.1)
	require.InEpsilon(t, 4*periods/6, won["c"], 0.1)
}

// Short urgent requests and long ones wait at several processes. An urgent one shares
// servers with urgent ones only, and a long one leaves each urgent one a server; one
// that is late goes behind all that can be on time.
func TestUrgentRequestsGoFirstElsewhereToo(t *testing.T) {
	urgent, long, late := &Waiter{Priority: 0, OnTimeDeadline: seconds(9)}, &Waiter{Priority: 1, OnTimeDeadline: seconds(9)}, &Waiter{Priority: 0, OnTimeDeadline: seconds(1)}
	now := seconds(2)
	self := Contender{Name: "self", Waiting: 1}
	others := []Contender{
		{Name: "a", Waiting: 3, WaitingAtRank: 2, Rank: urgent.Rank(now)},
		{Name: "b", Waiting: 1, WaitingAtRank: 1, Rank: long.Rank(now)},
		{Name: "c", Waiting: 1, WaitingAtRank: 1, Rank: late.Rank(now)},
	}
	t1 := NewTurns(self, others, urgent.Rank(now), 1)
	require.Len(t, t1.Contenders, 2)
	require.Zero(t, t1.Reserved)
	t2 := NewTurns(self, others, long.Rank(now), 1)
	require.Len(t, t2.Contenders, 3)
	require.Equal(t, 2, t2.Reserved)
	require.Equal(t, 3, NewTurns(self, others, late.Rank(now), 1).Reserved)
	require.Nil(t, NewTurns(self, others[1:], urgent.Rank(now), 1))
}

func TestTurnsWithoutOthersAreAlwaysMine(t *testing.T) {
	require.True(t, (*Turns)(nil).IsOwnTurn("s"))
	require.True(t, (&Turns{Self: "a", Contenders: []Contender{{Name: "a", Waiting: 3}}}).IsOwnTurn("s"))
}

// crowd plays processes that each have a queue in front of the same engines and
// hear of each other's sends after a while. An engine takes a prompt if less than
// half a second of prompts is known to wait there.
type crowd struct {
	processes, engines int
	// hears is how long a send takes to be known to the others.
	hears time.Duration
	turns bool
}

// worst returns the most prompts that an engine had to read at once when all
// engines joined empty, and how many of the requests were sent within the time.
func (c crowd) worst(lasts time.Duration) (most, sent int) {
	const tick, period, read = 5 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond
	type send struct {
		process, engine int
		at              time.Duration
	}
	var sends []send
	contenders := make([]Contender, c.processes)
	for i := range contenders {
		contenders[i] = Contender{Name: "p" + strconv.Itoa(i), Waiting: 5}
	}
	known := func(process, engine int, now time.Duration) (n int) {
		for _, s := range sends {
			if s.engine == engine && now-s.at < read && (s.process == process || now-s.at >= c.hears) {
				n++
			}
		}
		return n
	}
	for now := time.Duration(0); now < lasts; now += tick {
		for p := range contenders {
			if int(now/tick)%4 != p%4 {
				continue
			}
			turns := &Turns{Self: contenders[p].Name, Period: int64(now / period), Contenders: contenders}
			for e := range c.engines {
				if c.turns && !turns.IsOwnTurn("e"+strconv.Itoa(e)) {
					continue
				}
				if known(p, e, now) < 1 {
					sends = append(sends, send{p, e, now})
				}
			}
		}
		for e := range c.engines {
			most = max(most, known(-1, e, now+c.hears))
		}
	}
	return most, len(sends)
}

// Six engines join empty while twenty-four processes have queues, and a send is
// known to the others after 20 ms. Without turns an engine is given sixteen prompts
// or more at once, 6 s of reading; with turns two, and the engines have as much to do.
func TestTurnsKeepACrowdFromMeetingAtOneEngine(t *testing.T) {
	c := crowd{processes: 24, engines: 6, hears: 20 * time.Millisecond}
	without, _ := c.worst(2 * time.Second)
	c.turns = true
	with, sent := c.worst(2 * time.Second)
	require.GreaterOrEqual(t, without, 16)
	require.LessOrEqual(t, with, 2)
	require.GreaterOrEqual(t, sent, 6*4, "engines must not be left idle")
}
