package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const mb = 1 << 20

// receiveAll opens a client that has sent n bytes, in steps of its buffer.
func receiveAll(tb *Table, n int64, now time.Duration) (*Client, bool) {
	c, _ := tb.Open(now)
	if c == nil {
		return nil, false
	}
	tb.Receive(c, int(n), now)
	ok, _ := tb.Charge(c, n, now)
	if !ok {
		tb.Close(c)
	}
	return c, ok
}

// Guards against limits that a single client meets, whatever the memory.
func TestLoneLargeRequestIsTaken(t *testing.T) {
	for _, memory := range []int64{16 * mb, 112 * mb, 1024 * mb} {
		_, ok := receiveAll(NewTable(LimitsFor(memory, 0)), 8*mb, 0)
		require.True(t, ok)
	}
}

// Guards against a crowd of large requests that stop short of their end and hold the memory for good.
func TestStoppedRequestsYieldToNewOnes(t *testing.T) {
	tb := NewTable(LimitsFor(128*mb, 0))
	for range 40 {
		receiveAll(tb, 4*mb, 0)
	}
	require.LessOrEqual(t, tb.largeBytes, int64(16*mb))
	_, ok := receiveAll(tb, 4*mb, 100*time.Millisecond)
	require.False(t, ok, "the others may still be sending")
	_, ok = receiveAll(tb, 4*mb, 2*time.Second)
	require.True(t, ok)
}

// Guards against a crowd that keeps its place by a few bytes a second.
func TestSlowSendersYield(t *testing.T) {
	tb := NewTable(LimitsFor(128*mb, 0))
	var slow []*Client
	for range 4 {
		c, ok := receiveAll(tb, 4*mb, 0)
		require.True(t, ok)
		slow = append(slow, c)
	}
	now := time.Duration(0)
	for range 50 {
		now += 100 * time.Millisecond
		for _, c := range slow {
			tb.Receive(c, 10, now)
		}
	}
	_, ok := receiveAll(tb, 4*mb, now)
	require.True(t, ok)
	require.Equal(t, 3, countOf(slow, func(c *Client) bool { return !c.HasYielded() }))
}

func countOf(clients []*Client, is func(*Client) bool) (n int) {
	for _, c := range clients {
		if is(c) {
			n++
		}
	}
	return n
}

// Guards against an honest client that is displaced by a newcomer while it sends.
func TestSteadySenderIsKept(t *testing.T) {
	tb := NewTable(LimitsFor(128*mb, 0))
	c, _ := receiveAll(tb, 4*mb, 0)
	for range 10 {
		receiveAll(tb, 4*mb, 0)
	}
	now := time.Duration(0)
	for range 50 {
		now += 100 * time.Millisecond
		tb.Receive(c, 2<<10, now)
		receiveAll(tb, 4*mb, now)
		require.False(t, c.HasYielded())
	}
}

// Guards against ordinary requests that wait behind, or are refused for, a crowd of large ones that send all the time.
func TestSmallRequestsAreTakenBesideLargeOnes(t *testing.T) {
	tb := NewTable(LimitsFor(112*mb, 2000))
	for range 500 {
		receiveAll(tb, 4*mb, 0)
	}
	for range 500 {
		c, ok := receiveAll(tb, 12<<10, 0)
		require.True(t, ok)
		require.True(t, tb.Complete(c, 0))
	}
}

// Guards against a complete request that is given up for another one.
func TestCompleteRequestsDoNotYield(t *testing.T) {
	tb := NewTable(LimitsFor(64*mb, 0))
	c, ok := receiveAll(tb, 8*mb, 0)
	require.True(t, ok)
	require.True(t, tb.Complete(c, 0))
	for i := range 100 {
		receiveAll(tb, 4*mb, time.Duration(i)*time.Minute)
		require.False(t, c.HasYielded())
	}
	tb.Finish(c, time.Hour)
	_, ok = receiveAll(tb, 4*mb, time.Hour)
	require.True(t, ok, "its memory is free again")
}

// Guards against silent connections that keep others from connecting.
func TestSilentConnectionsYieldToNewOnes(t *testing.T) {
	const connections = 100
	tb := NewTable(Limits{Connections: connections})
	for range connections {
		c, _ := tb.Open(0)
		require.NotNil(t, c)
	}
	c, _ := tb.Open(DefaultPatience / 2)
	require.Nil(t, c, "they may be about to send")
	c, yielded := tb.Open(DefaultPatience)
	require.NotNil(t, c)
	require.Len(t, yielded, 1)
}

// Guards against memory that is charged to nobody or twice, and limits that are exceeded by more than one lone request.
func TestAccountIsExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := Limits{Connections: 20, Bytes: 4 * mb, LargeBytes: 2 * mb}
		tb := NewTable(limits)
		var clients []*Client
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond
			if len(clients) == 0 || rapid.Bool().Draw(rt, "open") {
				if c, _ := tb.Open(now); c != nil {
					clients = append(clients, c)
				}
			} else {
				c := clients[rapid.IntRange(0, len(clients)-1).Draw(rt, "client")]
				n := int64(rapid.SampledFrom([]int{10, 5000, 70000, mb, 3 * mb}).Draw(rt, "bytes"))
				switch rapid.IntRange(0, 4).Draw(rt, "call") {
				case 0, 1:
					tb.Receive(c, int(n), now)
					tb.Charge(c, n, now)
				case 2:
					tb.Complete(c, now)
				case 3:
					tb.Finish(c, now)
				case 4:
					tb.Release(c, n)
				}
			}
			var bytes, large, largest int64
			for c := range tb.clients {
				bytes += ClientBytes + c.held
				largest = max(largest, c.held)
				if c.isLarge() {
					large += c.held
				}
			}
			require.Equal(rt, bytes, tb.bytes)
			require.Equal(rt, large, tb.largeBytes)
			require.LessOrEqual(rt, tb.bytes-largest, limits.Bytes)
			require.LessOrEqual(rt, tb.largeBytes-largest, limits.LargeBytes)
			require.LessOrEqual(rt, tb.Len(), limits.Connections)
		}
	})
}
