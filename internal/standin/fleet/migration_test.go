package fleet

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Engines free a copy of a migration when they are told to, and keep a copy that they receive as its
// run grows. Guards against a gateway that relies on freeing the latter.
func TestOnlyCopiesOfMigrationsCanBeFreed(t *testing.T) {
	s := &Server{copies: map[string]string{"h-r1": "r1"}, standbys: make(map[string]bool)}
	s.addStandbyCopy("r2")
	for _, handle := range []string{"h-r1", "r2"} {
		r := httptest.NewRequest(http.MethodDelete, "/kingcupplank/kv-handle/"+handle, nil)
		r.SetPathValue("handle", handle)
		w := httptest.NewRecorder()
		s.handleDeleteCopy(w, r)
		require.Equal(t, http.StatusOK, w.Code)
	}
	require.Equal(t, map[string]string{"r2": "r2"}, s.copies)
}
