package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/claim"
	"kingcupplank.example/kingcup/internal/wire"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	"kingcupplank.example/kingcup/storage"
	"kingcupplank.example/kingcup/subset"
	"kingcupplank.example/kingcup/vmlist"
)

// claimWriters is how many entries write claims for all, once there are twice as
// many entries. Each of 330 entries sees about one claim a second; only where
// many meet can they share a transaction.
const claimWriters = 8

// chooseWriters picks the entries that write claims, the same at every entry
// whose list is the same.
func chooseWriters(listed map[string]vmlist.VM) []string {
	var names []string
	for _, vm := range listed {
		if vm.Role == vmlist.RoleEntry && !vm.Leaving {
			names = append(names, vm.Name)
		}
	}
	if len(names) < 2*claimWriters {
		return nil
	}
	return slices.Clone(ranked("claims", names)[:claimWriters])
}

// ranked sorts names by their rendezvous weight with key, highest first.
func ranked(key string, names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		if subset.Score(key, a) > subset.Score(key, b) {
			return -1
		}
		return 1
	})
	return names
}

// writer routes a claim's row to the entry that groups it.
func (e *Entry) writer(key string) claim.Putter {
	e.mu.Lock()
	writers := e.writers
	e.mu.Unlock()
	if len(writers) == 0 {
		return nil
	}
	best := writers[0]
	for _, name := range writers[1:] {
		if subset.Score(key, name) > subset.Score(key, best) {
			best = name
		}
	}
	if best == e.cfg.Identity.Name {
		return e.claims.Forwarded()
	}
	return &remoteWriter{e: e, name: best}
}

// remoteWriter writes claims through another entry.
type remoteWriter struct {
	e    *Entry
	name string
}

// Put implements claim.Putter. If the other entry can't be reached or does not
// answer, the row is written from here. The other write may have been applied or
// may still be: then one of the two meets a conflict, and the claim tells its own
// row by the nonce.
func (w *remoteWriter) Put(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	done, err := w.ask(ctx, &innerv1.ClaimPut{Key: key, Revision: revision, Value: value})
	switch {
	case err != nil:
		return w.e.claims.Forwarded().Put(ctx, key, revision, value)
	case done.GetConflict():
		return 0, &storage.ConflictError{Keys: []string{key}}
	case done.GetUnavailable():
		return 0, storage.ErrUnavailable
	}
	return done.GetRevision(), nil
}

func (w *remoteWriter) ask(ctx context.Context, put *innerv1.ClaimPut) (*innerv1.ClaimDone, error) {
	st, _, err := w.e.open(ctx, w.name, &innerv1.Open{Kind: &innerv1.Open_ClaimPut{ClaimPut: put}})
	if err != nil {
		return nil, err
	}
	defer st.close()
	reply := &innerv1.Reply{}
	st.SetReadDeadline(time.Now().Add(w.e.cfg.AcceptTimeout))
	if err := st.Recv(reply); err != nil {
		return nil, err
	}
	if reply.GetClaimDone() == nil {
		return nil, errors.New("entry does not write claims")
	}
	return reply.GetClaimDone(), nil
}

// handleClaimPut writes a claim's row for another entry.
func (e *Entry) handleClaimPut(ctx context.Context, put *innerv1.ClaimPut, st *wire.Stream) {
	if !claim.IsRowKey(put.GetKey()) {
		return
	}
	revision, err := e.claims.Forwarded().Put(ctx, put.GetKey(), put.GetRevision(), put.GetValue())
	done := &innerv1.ClaimDone{Revision: revision}
	var conflict *storage.ConflictError
	switch {
	case errors.As(err, &conflict):
		done.Conflict = true
	case errors.Is(err, storage.ErrUnavailable):
		done.Unavailable = true
	case err != nil:
		// Without an answer the sender takes the write for unsettled, which
		// is what it is.
		return
	}
	st.Send(&innerv1.Reply{Kind: &innerv1.Reply_ClaimDone{ClaimDone: done}})
}
