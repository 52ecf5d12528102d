package fleet

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a new incarnation that rejects for good, as the fault of the old one ends with that.
func TestNewIncarnationDoesNotMisbehave(t *testing.T) {
	f := New()
	defer f.Close()
	s, err := f.Add(DeskService, "zone-1", Behavior{})
	require.NoError(t, err)
	status, _, err := Call(t.Context(), s.Address, OncePath)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	recovered := s.RejectAll()
	s.Kill()
	next, err := f.Restart(s)
	require.NoError(t, err)
	recovered()
	status, _, err = Call(t.Context(), next.Address, OncePath)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
