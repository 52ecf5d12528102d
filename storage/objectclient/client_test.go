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

// Guards against a process that waits for an object store which has fallen silent within an
// answer.
func TestAnswerThatFallsSilentIsGivenUp(t *testing.T) {
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		w.Write([]byte("part"))
		http.NewResponseController(w).Flush()
		<-end
	}))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(end) })
	begun := time.Now()
	_, err := New(strings.TrimPrefix(s.URL, "http://")).Get(t.Context(), "object")
	require.ErrorIs(t, err, storage.ErrUnavailable)
	require.Less(t, time.Since(begun), 2*stallTimeout)
}

// Guards against a store whose bytes trickle holding a caller beyond its deadline.
func TestDeadlineOfTheCallerHolds(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000")
		for range 50 {
			w.Write([]byte("b"))
			http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}))
	t.Cleanup(s.Close)
	const allowed = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), allowed)
	defer cancel()
	begun := time.Now()
	_, err := New(strings.TrimPrefix(s.URL, "http://")).Get(ctx, "object")
	require.ErrorIs(t, err, storage.ErrUnavailable)
	require.Less(t, time.Since(begun), 2*time.Second)
}
