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

// claimWriterCount is the number of entries that write the claims of all
// entries, once there are at least twice as many entries. Each of 330 entries
// receives about one claim per second; claims can share a store transaction
// only if many of them arrive at the same entry.
const claimWriterCount = 8

// chooseClaimWriters returns the entries that write claims, or nil if there are
// too few entries. Entries with the same VM list choose the same writers.
func chooseClaimWriters(vmsByName map[string]vmlist.VM) []string {
	var names []string
	for _, vm := range vmsByName {
		if vm.Role == vmlist.RoleEntry && !vm.Leaving {
			names = append(names, vm.Name)
		}
	}
	if len(names) < 2*claimWriterCount {
		return nil
	}
	return slices.Clone(sortByScore("claims", names)[:claimWriterCount])
}

// sortByScore sorts names in place by their rendezvous score with key, highest
// first.
func sortByScore(key string, names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		if subset.Score(key, a) > subset.Score(key, b) {
			return -1
		}
		return 1
	})
	return names
}

// claimWriter returns the writer for a claim's row: this entry, or a
// remoteClaimWriter for the entry that batches the row's writes. It returns nil in
// a small system, where every entry writes its own claims.
func (e *Entry) claimWriter(key string) claim.Putter {
	e.mu.Lock()
	writers := e.claimWriters
	e.mu.Unlock()
	if len(writers) == 0 {
		return nil
	}
	chosen := writers[0]
	for _, name := range writers[1:] {
		if subset.Score(key, name) > subset.Score(key, chosen) {
			chosen = name
		}
	}
	if chosen == e.cfg.Identity.Name {
		return e.claims.Forwarded()
	}
	return &remoteClaimWriter{e: e, name: chosen}
}

// remoteClaimWriter writes claims through another entry.
type remoteClaimWriter struct {
	e    *Entry
	name string
}

// Put implements claim.Putter. If the other entry can't be reached or does not
// reply, this entry writes the row itself. The other entry's write may have been
// applied or may still be applied. One of the two writes then gets a conflict,
// and the claim recognizes its own row by the nonce.
func (w *remoteClaimWriter) Put(ctx context.Context, key string, revision uint64, value []byte) (uint64, error) {
	done, err := w.sendPut(ctx, &innerv1.ClaimPut{Key: key, Revision: revision, Value: value})
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

func (w *remoteClaimWriter) sendPut(ctx context.Context, put *innerv1.ClaimPut) (*innerv1.ClaimDone, error) {
	st, _, err := w.e.openStream(ctx, w.name, &innerv1.Open{Kind: &innerv1.Open_ClaimPut{ClaimPut: put}})
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
		return nil, errors.New("reply of the claim-writing entry has no claim result")
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
		// The outcome of the write is unknown. The sender concludes the same
		// if it gets no reply.
		return
	}
	st.Send(&innerv1.Reply{Kind: &innerv1.Reply_ClaimDone{ClaimDone: done}})
}
