package objectclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/storage"
)

// Guards against a process that waits forever for an object store that stalls in the middle of a
// response.
func TestStalledResponseTimesOut(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		w.Write([]byte("part"))
		http.NewResponseController(w).Flush()
		<-release
	}))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(release) })
	start := time.Now()
	_, err := New(strings.TrimPrefix(s.URL, "http://")).Get(t.Context(), "object")
	require.ErrorIs(t, err, storage.ErrUnavailable)
	require.Less(t, time.Since(start), 2*stallTimeout)
}

// Guards against a slow but progressing response that continues beyond the deadline of the context.
func TestContextDeadlineAppliesToSlowResponses(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		for range 50 {
			w.Write([]byte("b"))
			http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}))
	t.Cleanup(s.Close)
	const timeout = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	start := time.Now()
	_, err := New(strings.TrimPrefix(s.URL, "http://")).Get(ctx, "object")
	require.ErrorIs(t, err, storage.ErrUnavailable)
	require.Less(t, time.Since(start), 2*time.Second)
}
