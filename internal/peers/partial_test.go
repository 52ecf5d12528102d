package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// drawnState is a state with some of five servers, three teams and two ended processes.
func drawnState(t *rapid.T) *peerv1.State {
	s := &peerv1.State{
		From: &peerv1.Member{Name: "a", Address: "10.0.0.1:1", FailureDomain: "z"}, LinkMbps: 10, Stopping: rapid.Bool().Draw(t, "stopping"),
		ConfigVersion: rapid.Uint64Range(1, 3).Draw(t, "version"), Retries: &peerv1.Retries{Process: 7},
	}
	for i := range 5 {
		id := fmt.Sprint("i-", i)
		if rapid.Bool().Draw(t, "loaded") {
			s.Loads = append(s.Loads, &peerv1.Load{
				Server: id, Running: rapid.Uint32Range(1, 3).Draw(t, "running"), Tokens: rapid.Uint64Range(0, 5000).Draw(t, "tokens"), Born: 5,
			})
		}
		if rapid.IntRange(0, 3).Draw(t, "loses") == 0 {
			s.Losses = append(s.Losses, &peerv1.Loss{Server: id, Born: 5, InARow: 1, Ended: rapid.Bool().Draw(t, "ended")})
		}
	}
	for i := range 3 {
		if rapid.Bool().Draw(t, "uses") {
			s.Usages = append(s.Usages, &peerv1.Usage{Service: "m", Team: fmt.Sprint("t-", i), Amount: rapid.Float32Range(1, 100).Draw(t, "amount")})
		}
	}
	for i := range 2 {
		if rapid.Bool().Draw(t, "ended") {
			s.Retries.Ended = append(s.Retries.Ended, &peerv1.EndedProcess{Gateway: "b", Process: uint64(i), RemainingMs: rapid.Uint32Range(1, 9000).Draw(t, "remaining")})
		}
	}
	return s
}

func sortedLosses(list []*peerv1.Loss) (out []string) {
	for _, l := range list {
		out = append(out, fmt.Sprint(l.GetServer(), l.GetInARow(), l.GetEnded()))
	}
	slices.Sort(out)
	return out
}

// Guards against a peer that acts on what a gateway has not said, or that has not got what is urgent.
func TestPartialStatesAddUpToTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, received := newSentState(), &receivedState{}
		told := make(map[uint64]uint32)
		now := time.Unix(1000, 0)
		step := func(full *peerv1.State, budget float64, isFirst bool) *peerv1.State {
			now = now.Add(100 * time.Millisecond)
			out, _ := sender.next(full, budget, now)
			if isFirst {
				out.Partial, out.From, out.LinkMbps = false, full.GetFrom(), full.GetLinkMbps()
			}
			wire := proto.Clone(out).(*peerv1.State)
			for _, e := range wire.GetRetries().GetEnded() {
				told[e.GetProcess()] = e.GetRemainingMs()
			}
			got := received.apply(wire, now)
			require.Equal(t, full.GetFrom().GetAddress(), got.GetFrom().GetAddress())
			require.Equal(t, full.GetStopping(), got.GetStopping())
			require.Equal(t, full.GetConfigVersion(), got.GetConfigVersion())
			require.Equal(t, full.GetLinkMbps(), got.GetLinkMbps())
			require.Equal(t, sortedLosses(full.GetLosses()), sortedLosses(got.GetLosses()))
			for _, e := range full.GetRetries().GetEnded() {
				require.GreaterOrEqual(t, told[e.GetProcess()], e.GetRemainingMs())
			}
			return got
		}
		var full *peerv1.State
		for i := range rapid.IntRange(1, 8).Draw(t, "states") {
			full = drawnState(t)
			step(full, rapid.Float64Range(-100, 300).Draw(t, "budget"), i == 0)
		}
		got := step(full, 10_000, false)
		require.Len(t, got.GetLoads(), len(full.GetLoads()))
		require.Len(t, got.GetUsages(), len(full.GetUsages()))
		for _, want := range full.GetLoads() {
			i := slices.IndexFunc(got.GetLoads(), func(l *peerv1.Load) bool { return l.GetServer() == want.GetServer() })
			require.GreaterOrEqual(t, i, 0)
			require.False(t, loadChanged(got.GetLoads()[i], want))
		}
	})
}

// Guards against an old rate limit of a server that looks new as it is repeated by partial states.
func TestLimitsAgeBetweenPartialStates(t *testing.T) {
	received, now := &receivedState{}, time.Unix(1000, 0)
	limit := &peerv1.Limit{Named: true, PerSecond: 5, AgeMs: 100}
	received.apply(&peerv1.State{From: &peerv1.Member{Name: "a"}, Losses: []*peerv1.Loss{{Server: "i", Limit: limit}}}, now)
	got := received.apply(&peerv1.State{Partial: true}, now.Add(2*time.Second))
	require.EqualValues(t, 2100, got.GetLosses()[0].GetLimit().GetAgeMs())
	require.Nil(t, (&receivedState{}).apply(&peerv1.State{Partial: true}, now), "without a whole state before it")
}

// Guards against peers of an older release that get states which they would take for whole ones.
func TestOlderPeersGetWholeStates(t *testing.T) {
	loads := newChangingLoads()
	m, _, _ := crowdedManager(t, loads)
	accepts := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.acceptsPartial["peer-0"]
	}
	require.Eventually(t, accepts, soon, time.Millisecond)
	m.receiveState(&peerv1.State{From: &peerv1.Member{Name: "peer-old", Address: "127.0.0.1:1"}})
	link := &memberLink{Member: Member{Name: "peer-old"}}
	m.resetSender(link)
	for range 2 {
		frame, _, err := m.nextState(link)
		require.NoError(t, err)
		require.Greater(t, len(frame), 30*crowdServers)
	}
}
