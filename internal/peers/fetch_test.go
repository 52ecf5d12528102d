package peers

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// answerFunc answers the requests of a peer.
type answerFunc func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error)

// linkedPair starts two managers a and b, links them, and returns a. b answers by answer.
func linkedPair(t *testing.T, answer answerFunc) *Manager {
	a, receiverA, _ := startManager(t, "a")
	b, receiverB, _ := startManager(t, "b")
	b.Answer = answer
	a.AddMembers([]Member{b.self})
	require.Eventually(t, func() bool { return receiverA.hasState("b") && receiverB.hasState("a") }, soon, time.Millisecond)
	return a
}

// recordedAnswer is an AnswerHandler that records the answer.
type recordedAnswer struct {
	head  *peerv1.Change
	parts [][]byte
}

func (r *recordedAnswer) Head(c *peerv1.Change) error {
	r.head = c
	return nil
}

func (r *recordedAnswer) Part(p []byte) error {
	r.parts = append(r.parts, p)
	return nil
}

// A gateway that is behind fetches a large change from a peer. The head and all parts must
// arrive in order.
func TestFetchReceivesWholeAnswer(t *testing.T) {
	var parts [][]byte
	for i := range 20 {
		parts = append(parts, bytes.Repeat([]byte{byte(i)}, 5000))
	}
	a := linkedPair(t, func(request *peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
		return &peerv1.Change{Base: request.GetVersion(), Version: 9, Parts: uint32(len(parts))}, parts, nil
	})
	var got recordedAnswer
	require.NoError(t, a.Fetch(t.Context(), "b", &peerv1.Fetch{Version: 4}, &got))
	require.EqualValues(t, 4, got.head.GetBase())
	require.EqualValues(t, 9, got.head.GetVersion())
	require.Equal(t, parts, got.parts)
}

// The requesting gateway has a link of low bandwidth that also carries callers' streams. The
// answer must be sent in small parts, at a rate that leaves bandwidth for these streams.
func TestAnswerIsLimitedToRequestersBandwidth(t *testing.T) {
	const mbps, size, count = 4.0, 5000, 20
	a := linkedPair(t, func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
		parts := make([][]byte, count)
		for i := range parts {
			parts[i] = make([]byte, size)
		}
		return &peerv1.Change{Parts: count}, parts, nil
	})
	begin := time.Now()
	require.NoError(t, a.Fetch(t.Context(), "b", &peerv1.Fetch{LinkMbps: mbps}, &recordedAnswer{}))
	require.Greater(t, time.Since(begin).Seconds(), (size*count-2*burstBytes)/(linkShare*mbps*1e6/8))
}

// The peer does not answer, or its answer has fewer parts than its head announces. The
// requesting gateway must time out soon, so that it can ask another peer or the store.
func TestIncompleteAnswerTimesOut(t *testing.T) {
	hang := make(chan struct{})
	a := linkedPair(t, func(request *peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
		if request.GetVersion() == 1 {
			return &peerv1.Change{Parts: 2}, [][]byte{{1}}, nil
		}
		<-hang
		return nil, nil, ErrNoLink
	})
	// Cleanups run in reverse order: hang is closed first, so the managers can stop.
	t.Cleanup(func() { close(hang) })
	for version := range uint64(2) {
		begin := time.Now()
		require.Error(t, a.Fetch(t.Context(), "b", &peerv1.Fetch{Version: version}, &recordedAnswer{}))
		require.Less(t, time.Since(begin), 2*answerTimeout)
	}
	require.ErrorIs(t, a.Fetch(t.Context(), "unknown", &peerv1.Fetch{}, &recordedAnswer{}), ErrNoLink)
}

// An answer whose head announces more parts than any configuration needs must be rejected.
func TestOversizedAnswerIsRejected(t *testing.T) {
	a := linkedPair(t, func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
		return &peerv1.Change{Parts: maxParts + 1}, nil, nil
	})
	require.ErrorIs(t, a.Fetch(t.Context(), "b", &peerv1.Fetch{}, &recordedAnswer{}), errAnswerSize)
}
