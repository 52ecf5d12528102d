package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func limitedRegistry() (*Registry, Server) {
	r := New("z0", func(string) Traits { return Traits{} }, func(Server, Notice) {})
	s := Server{ID: "s", Service: svc, Born: 1, Slots: 6}
	r.Put(s, 0)
	return r, s
}

// Guards against a limit being forgotten for an answer that was made before the server named it
// and arrives after.
func TestAnswerThatWasOvertakenLiftsNoLimit(t *testing.T) {
	r, s := limitedRegistry()
	require.True(t, r.Advised(s, Advice{Limited: true, Limit: 3}, 1*time.Second, 2*time.Second).Limited)
	require.Equal(t, News{}, r.Advised(s, Advice{Limited: true, Limit: 2}, 1*time.Second, 3*time.Second), "named before")
	for _, begun := range []time.Duration{0, time.Second, 3 * time.Second} {
		require.Equal(t, News{}, r.Advised(s, Advice{}, begun, 4*time.Second), "asked at %v", begun)
		require.Equal(t, 1, r.Limited())
	}
	require.Equal(t, News{Lifted: true}, r.Advised(s, Advice{}, 3100*time.Millisecond, 4*time.Second))
	require.Zero(t, r.Limited())
}

// Guards against a limit that outlives the server that named it.
func TestNewLifeKnowsNoLimit(t *testing.T) {
	r, s := limitedRegistry()
	r.Advised(s, Advice{Limited: true, Limit: 3}, 0, time.Second)
	again := s
	again.Born = 2
	r.Put(again, 2*time.Second)
	require.Zero(t, r.Limited())
	require.Equal(t, News{}, r.Advised(s, Advice{Limited: true}, 0, 3*time.Second), "an answer of the life before")
	require.Zero(t, r.Limited())
}

// Guards against a line for each answer of a server whose headers mean nothing, and against
// such an answer lifting a limit.
func TestUnreadableAdviceIsToldOnceALife(t *testing.T) {
	r, s := limitedRegistry()
	r.Advised(s, Advice{Limited: true, Limit: 3}, 0, time.Second)
	spoilt := Advice{Unreadable: []string{"a header"}}
	require.Equal(t, News{Unreadable: true}, r.Advised(s, spoilt, 2*time.Second, 3*time.Second))
	require.Equal(t, News{}, r.Advised(s, spoilt, 4*time.Second, 5*time.Second))
	require.Equal(t, 1, r.Limited())
}
