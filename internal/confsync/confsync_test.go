package confsync

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/conf"
	"kingcupplank.example/kingcup/internal/standin"
	"kingcupplank.example/kingcup/internal/standin/tables"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/storage/objectclient"
)

// slowObjects serves the objects of a table over HTTP, with the bandwidth of link.
func slowObjects(t *testing.T, table *tables.Table, link *standin.Link) *objectclient.Client {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		value, err := table.Get(r.Context(), strings.TrimPrefix(r.URL.Path, "/objects/"))
		if err != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		flush := http.NewResponseController(w)
		for len(value) > 0 {
			n := min(len(value), 4<<10)
			link.Transfer(n)
			if _, err := w.Write(value[:n]); err != nil {
				return
			}
			flush.Flush()
			value = value[n:]
		}
	}))
	t.Cleanup(s.Close)
	return objectclient.New(strings.TrimPrefix(s.URL, "http://"))
}

// Guards against a timeout on reading a snapshot: if reading it takes longer than the
// interval between two polls of the store, every attempt would be aborted and started again,
// and the process would never get a version.
func TestSnapshotOverSlowLinkIsReadToItsEnd(t *testing.T) {
	const poll = 250 * time.Millisecond
	table := tables.New()
	writer, replica := conf.NewReplica(), conf.NewReplica()
	store := conf.NewStore(table, table)
	const changes = conf.MaxTableDeltas + 2*conf.VersionsPerSnapshot
	for v := uint64(1); v <= changes; v++ {
		d := &kingcupv1.Delta{
			Version: v, ChangeId: fmt.Sprint(v),
			Puts: []*kingcupv1.Row{{Row: &kingcupv1.Row_Team{Team: &kingcupv1.Team{Name: strings.Repeat("t", 200) + fmt.Sprint(v), Weight: 1}}}},
		}
		require.NoError(t, store.Commit(t.Context(), d))
		require.NoError(t, writer.Apply(d))
	}
	require.NoError(t, store.SaveSnapshot(t.Context(), writer.State()))
	require.NoError(t, store.Prune(t.Context(), changes))
	const linkMbps = 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(Config{PollInterval: poll, StaleAfter: time.Minute}, replica, conf.NewStore(table, slowObjects(t, table, standin.NewLink(linkMbps))), log)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go s.Run(ctx)
	start := time.Now()
	require.Eventually(t, func() bool { return replica.Version() == changes }, 10*time.Second, 10*time.Millisecond)
	require.Greater(t, time.Since(start), 2*poll, "the link is slow enough")
}
