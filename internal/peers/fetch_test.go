package peers

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// answers is what a peer says to a question.
type answers func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error)

// pair links two managers; the second answers as told.
func pair(t *testing.T, answer answers) *Manager {
	a, earsA, _ := begin(t, "a")
	b, earsB, _ := begin(t, "b")
	b.Answer = answer
	a.AddMembers([]Member{b.self})
	require.Eventually(t, func() bool { return earsA.hears("b") && earsB.hears("a") }, soon, time.Millisecond)
	return a
}

// taken records an answer.
type taken struct {
	head  *peerv1.Change
	parts [][]byte
}

func (r *taken) Head(c *peerv1.Change) error {
	r.head = c
	return nil
}

func (r *taken) Part(p []byte) error {
	r.parts = append(r.parts, p)
	return nil
}

// A gateway that is behind has a large change from a peer. All parts come in, in order,
// behind their head.
func TestFetchBringsTheWholeAnswer(t *testing.T) {
	var parts [][]byte
	for i := range 20 {
		parts = append(parts, bytes.Repeat([]byte{byte(i)}, 5000))
	}
	a := pair(t, func(ask *peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
		return &peerv1.Change{Base: ask.GetVersion(), Version: 9, Parts: uint32(len(parts))}, parts, nil
	})
	var got taken
	require.NoError(t, a.Fetch(t.Context(), "b", &peerv1.Fetch{Version: 4}, &got))
	require.EqualValues(t, 4, got.head.GetBase())
	require.EqualValues(t, 9, got.head.GetVersion())
	require.Equal(t, parts, got.parts)
}

// The asker has a thin link with callers' streams on it: an answer is sent in small parts
// at the pace that leaves room for them.
func TestAnswerIsPacedToTheAskersLink(t *testing.T) {
	const mbps, size, count = 4.0, 5000, 20
	a := pair(t, func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
		parts := make([][]byte, count)
		for i := range parts {
			parts[i] = make([]byte, size)
		}
		return &peerv1.Change{Parts: count}, parts, nil
	})
	begun := time.Now()
	require.NoError(t, a.Fetch(t.Context(), "b", &peerv1.Fetch{LinkMbps: mbps}, &taken{}))
	require.Greater(t, time.Since(begun).Seconds(), (size*count-2*burst)/(linkShare*mbps*1e6/8))
}

// The peer does not answer, or its answer stops short of what its head says. The asker
// must know soon, to ask another or the store.
func TestAnswerThatStopsIsGivenUp(t *testing.T) {
	hang := make(chan struct{})
	silent := pair(t, func(ask *peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
		if ask.GetVersion() == 1 {
			return &peerv1.Change{Parts: 2}, [][]byte{{1}}, nil
		}
		<-hang
		return nil, nil, ErrNoLink
	})
	// The managers end before what they wait for would.
	t.Cleanup(func() { close(hang) })
	for version := range uint64(2) {
		begun := time.Now()
		require.Error(t, silent.Fetch(t.Context(), "b", &peerv1.Fetch{Version: version}, &taken{}))
		require.Less(t, time.Since(begun), 2*answerTimeout)
	}
	require.ErrorIs(t, silent.Fetch(t.Context(), "unknown", &peerv1.Fetch{}, &taken{}), ErrNoLink)
}

// A head that announces more than any configuration has is no answer.
func TestAnswerOfAnySizeIsRefused(t *testing.T) {
	a := pair(t, func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
		return &peerv1.Change{Parts: maxParts + 1}, nil, nil
	})
	require.ErrorIs(t, a.Fetch(t.Context(), "b", &peerv1.Fetch{}, &taken{}), errAnswerSize)
}
