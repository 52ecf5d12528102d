package flow

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In each period every server is assigned to exactly one contender, and each contender
// gets servers in proportion to its number of waiting requests.
func TestTurnsShareServersInProportion(t *testing.T) {
	contenders := []Contender{{Name: "a", Waiting: 1}, {Name: "b", Waiting: 1}, {Name: "c", Waiting: 4}}
	wins := make(map[string]int)
	const periods = 6000
	for period := range int64(periods) {
		owners := 0
		for _, c := range contenders {
			turns := &Turns{Self: c.Name, Period: period, Contenders: contenders}
			if turns.IsOwnTurn("s") {
				owners++
				wins[c.Name]++
			}
		}
		require.Equal(t, 1, owners)
	}
	require.InEpsilon(t, periods/6, wins["a"], 0.1)
	require.InEpsilon(t, periods/6, wins["b"], 0.1)
	require.InEpsilon(t, 4*periods/6, wins["c"], 0.1)
}

// Urgent, less urgent and late requests wait at several processes. An urgent request must
// compete for servers with urgent ones only, and a less urgent request must leave one
// server to each urgent one. A late request goes behind all that can be on time.
func TestServersAreReservedForMoreUrgentRequestsElsewhere(t *testing.T) {
	urgent, lessUrgent, late := &Waiter{Priority: 0, OnTimeDeadline: seconds(9)}, &Waiter{Priority: 1, OnTimeDeadline: seconds(9)}, &Waiter{Priority: 0, OnTimeDeadline: seconds(1)}
	now := seconds(2)
	self := Contender{Name: "self", Waiting: 1}
	others := []Contender{
		{Name: "a", Waiting: 3, WaitingAtRank: 2, Rank: urgent.Rank(now)},
		{Name: "b", Waiting: 1, WaitingAtRank: 1, Rank: lessUrgent.Rank(now)},
		{Name: "c", Waiting: 1, WaitingAtRank: 1, Rank: late.Rank(now)},
	}
	urgentTurns := NewTurns(self, others, urgent.Rank(now), 1)
	require.Len(t, urgentTurns.Contenders, 2)
	require.Zero(t, urgentTurns.Reserved)
	lessUrgentTurns := NewTurns(self, others, lessUrgent.Rank(now), 1)
	require.Len(t, lessUrgentTurns.Contenders, 3)
	require.Equal(t, 2, lessUrgentTurns.Reserved)
	require.Equal(t, 3, NewTurns(self, others, late.Rank(now), 1).Reserved)
	require.Nil(t, NewTurns(self, others[1:], urgent.Rank(now), 1))
}

func TestEveryServerIsOwnTurnWithoutOtherContenders(t *testing.T) {
	require.True(t, (*Turns)(nil).IsOwnTurn("s"))
	require.True(t, (&Turns{Self: "a", Contenders: []Contender{{Name: "a", Waiting: 3}}}).IsOwnTurn("s"))
}

// simulation has several processes that each have a queue in front of the same engines. A
// process sends a prompt to an engine if no unread prompt is known to it there.
type simulation struct {
	processes, engines int
	// delay is the time until the other processes know of a send.
	delay time.Duration
	// turns, if set, limits each process to the engines that are its own turn.
	turns bool
}

// run starts with empty engines. It returns the largest number of unread prompts that an
// engine had at one time, and the number of prompts that were sent.
func (c simulation) run(duration time.Duration) (maxPending, sent int) {
	const tick, period, readTime = 5 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond
	type send struct {
		process, engine int
		at              time.Duration
	}
	var sends []send
	contenders := make([]Contender, c.processes)
	for i := range contenders {
		contenders[i] = Contender{Name: "p" + strconv.Itoa(i), Waiting: 5}
	}
	// pending returns the number of unread prompts at an engine that a process knows of.
	pending := func(process, engine int, now time.Duration) (n int) {
		for _, s := range sends {
			if s.engine == engine && now-s.at < readTime && (s.process == process || now-s.at >= c.delay) {
				n++
			}
		}
		return n
	}
	for now := time.Duration(0); now < duration; now += tick {
		for p := range contenders {
			if int(now/tick)%4 != p%4 {
				continue
			}
			turns := &Turns{Self: contenders[p].Name, Period: int64(now / period), Contenders: contenders}
			for e := range c.engines {
				if c.turns && !turns.IsOwnTurn("e"+strconv.Itoa(e)) {
					continue
				}
				if pending(p, e, now) < 1 {
					sends = append(sends, send{p, e, now})
				}
			}
		}
		for e := range c.engines {
			maxPending = max(maxPending, pending(-1, e, now+c.delay))
		}
	}
	return maxPending, len(sends)
}

// Six engines join empty while twenty-four processes have queues, and a send is known to
// the other processes after 20 ms. Without turns an engine receives sixteen prompts or more
// at once, which take 6 s to read. With turns it receives at most two, and no engine is
// left idle.
func TestTurnsPreventManyProcessesFromFillingOneEngine(t *testing.T) {
	c := simulation{processes: 24, engines: 6, delay: 20 * time.Millisecond}
	without, _ := c.run(2 * time.Second)
	c.turns = true
	with, sent := c.run(2 * time.Second)
	require.GreaterOrEqual(t, without, 16)
	require.LessOrEqual(t, with, 2)
	require.GreaterOrEqual(t, sent, 6*4, "engines must not be left idle")
}
