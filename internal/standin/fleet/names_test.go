package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a server that accepts a request for a server of another platform stand-in which
// had the same port before.
func TestServerIDsOfTwoFleetsDiffer(t *testing.T) {
	first, second := New(), New()
	t.Cleanup(first.Close)
	t.Cleanup(second.Close)
	for range 3 {
		_, err := first.Add(DeskService, "", Behavior{})
		require.NoError(t, err)
		_, err = second.Add(DeskService, "", Behavior{})
		require.NoError(t, err)
	}
	seen := make(map[string]bool)
	for _, s := range append(first.Servers(), second.Servers()...) {
		require.False(t, seen[s.ID], s.ID)
		require.Contains(t, s.ID, processTag)
		seen[s.ID] = true
	}
}
