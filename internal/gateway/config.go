package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/changewire"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/platform/operator"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/readers"
	"kingcupplank.example/kingcup/revision"
	"kingcupplank.example/kingcup/routing"
)

// configSharing distributes the configuration between the gateways. It implements
// follow.Sharing.
//
// The operator's row holds the whole configuration, and the store can only return it whole.
// If gateways passed the row on, or each of them read it, every change would cost each VM's
// link the whole row. Instead, the gateways that read the store only announce that there is
// a newer version. Each other gateway then fetches the changes since its own version, once,
// from a peer that has them. A gateway that is too far behind fetches a whole version in
// the same way. If no peer answers, the gateway reads the store.
type configSharing struct {
	*group
	replica *routing.Replica
	sink    *operator.Sink

	// mu guards announcers: the peers that last announced pages of the table, newest first.
	// No other lock is taken while mu is locked.
	mu         sync.Mutex
	announcers []announcer
	// encodeMu guards encoded. It is locked before the replica's locks.
	encodeMu sync.Mutex
	encoded  encodedChange
}

// announcer is a peer that has announced that the table is at a revision.
type announcer struct {
	peer     string
	revision revision.Revision
}

// encodedChange is a change encoded for peers. It is kept because several peers usually ask
// for the same one.
type encodedChange struct {
	base, version uint64
	head          *peerv1.Change
	parts         [][]byte
}

// maxAskedPeers is how many peers are asked before the store is read: as many as there are
// gateways that read the store.
const maxAskedPeers = readers.Count

// table returns the name of the table that holds the configuration.
func (s *configSharing) table() string { return operator.Table }

// IsReader implements follow.Sharing.
func (s *configSharing) IsReader(reached bool) bool {
	return tableSharing{s.group, operator.Table}.IsReader(reached)
}

// StoreAnswered implements follow.Sharing.
func (s *configSharing) StoreAnswered() { tableSharing{s.group, operator.Table}.StoreAnswered() }

// MayCallStore implements follow.Sharing.
func (s *configSharing) MayCallStore(reached bool, withoutTable time.Duration) bool {
	return tableSharing{s.group, operator.Table}.MayCallStore(reached, withoutTable)
}

// Share implements follow.Sharing. For changes, only the new revision is announced.
func (s *configSharing) Share(p follow.SharedPage) {
	if len(p.Rows) > 0 {
		p.Since, p.Rows = p.Revision, nil
	}
	tableSharing{s.group, operator.Table}.Share(p)
}

// IsPeerReading implements follow.Sharing.
func (s *configSharing) IsPeerReading() bool {
	return slices.ContainsFunc(s.links.LiveStates(), func(p *peerv1.State) bool { return p.GetReadingConfig() && !p.GetStopping() })
}

// recordAnnouncer puts a peer that announced a page up to a revision at the front of announcers.
func (s *configSharing) recordAnnouncer(peer string, at revision.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcers = slices.DeleteFunc(s.announcers, func(a announcer) bool { return a.peer == peer })
	s.announcers = slices.Insert(s.announcers, 0, announcer{peer, at})
	s.announcers = s.announcers[:min(len(s.announcers), maxAskedPeers)]
}

// Fetch implements follow.Sharing.
func (s *configSharing) Fetch(ctx context.Context, since revision.Revision) (follow.Page, error) {
	err := follow.ErrNoPeer
	for _, peer := range s.fetchCandidates(since) {
		var page follow.Page
		version := s.replica.Version()
		if page, err = s.fetchFrom(ctx, peer); err == nil && !since.Before(page.Revision) && s.replica.Version() == version {
			err = errPeerNotAhead
		}
		if err == nil {
			s.setConfigChecked("taken from a peer")
			return page, nil
		}
		s.log.WithError(err).WithFields(logrus.Fields{"peer": peer, "config": s.replica.Version()}).Info("cannot fetch the configuration from a peer")
	}
	return follow.Page{}, err
}

// fetchCandidates returns the live peers to fetch from: first those that have announced a
// revision after since, then some that report a newer version or a position ahead of this
// gateway's. An announcer may itself be behind by now, if it has stopped reading the store.
// Peers whose states no longer arrive are left out, since each would cost a response timeout.
// A zero since means that this gateway has no configuration yet.
func (s *configSharing) fetchCandidates(since revision.Revision) (out []string) {
	s.mu.Lock()
	announcers := slices.Clone(s.announcers)
	s.mu.Unlock()
	live := make(map[string]bool)
	for _, p := range s.links.LiveStates() {
		live[p.GetFrom().GetName()] = true
	}
	for _, a := range announcers {
		if live[a.peer] && since.Before(a.revision) {
			out = append(out, a.peer)
		}
	}
	newer, _ := s.compareVersions()
	for _, name := range append(newer[:min(len(newer), maxAskedPeers)], s.peersAhead(operator.Table, since.IsZero())...) {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// fetchFrom fetches the changes since this gateway's version from a peer and puts them in
// force. It returns a page without rows that holds the peer's position.
func (s *configSharing) fetchFrom(ctx context.Context, peer string) (follow.Page, error) {
	begun, from := time.Now(), s.replica.Version()
	reader := &changeReader{replica: s.replica}
	if err := s.links.Fetch(ctx, peer, &peerv1.Fetch{Version: from, LinkMbps: s.linkMbps}, reader); err != nil {
		return follow.Page{}, err
	}
	head := reader.head
	s.adoptCordons(head)
	page := follow.Page{Revision: revision.FromWire(head.GetRevision()), Changed: revision.FromWire(head.GetChanged()), Clock: time.Duration(head.GetClockMs()) * time.Millisecond}
	if head.GetVersion() == from {
		return page, nil
	}
	if reader.update == nil {
		return follow.Page{}, errors.Wrapf(changewire.ErrMalformed, "no change from version %d to %d", from, head.GetVersion())
	}
	committed, err := s.replica.Commit(reader.update)
	if err != nil {
		return follow.Page{}, err
	}
	if committed {
		s.log.WithFields(logrus.Fields{
			"version": head.GetVersion(), "revision": head.GetRevision(), "peer": peer, "base": head.GetBase(),
			"rows": reader.update.Size(), "bytes": reader.bytes, "took_ms": time.Since(begun).Milliseconds(),
		}).Info("configuration in force")
	}
	return page, nil
}

// changeReader builds a new configuration version from a peer's response while the response
// arrives. It implements peers.AnswerHandler.
type changeReader struct {
	replica *routing.Replica
	head    *peerv1.Change
	update  *routing.Update
	bytes   int
}

// Head implements peers.AnswerHandler.
func (t *changeReader) Head(head *peerv1.Change) error {
	t.head, t.bytes = head, len(head.GetAccess())
	if head.GetVersion() == head.GetBase() {
		return nil
	}
	ch, err := changewire.DecodeHead(head)
	if err != nil {
		return err
	}
	t.update, err = t.replica.Begin(ch)
	return err
}

// Part implements peers.AnswerHandler.
func (t *changeReader) Part(part []byte) error {
	t.bytes += len(part)
	if t.update == nil {
		return changewire.ErrMalformed
	}
	return changewire.ApplyPart(t.update, part)
}

// Errors of a fetch.
var (
	errVersionUnknown   = errors.New("the peer has a newer version than this gateway")
	errConfigUnreadable = errors.New("the newest configuration in the store is unreadable")
	errPeerNotAhead     = errors.New("the peer has nothing newer than this gateway")
)

// serveFetch answers a peer's fetch of the configuration. See peers.Deps.Answer.
func (s *configSharing) serveFetch(req *peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
	// Take the position first: the version read after it is then complete up to that
	// position.
	position, ok := s.followers[operator.Table].LastPosition()
	if !ok {
		return nil, nil, errTableUnknown
	}
	if s.sink.IsNewestUnreadable() {
		return nil, nil, errConfigUnreadable
	}
	if s.replica.Version() < req.GetVersion() {
		return nil, nil, errVersionUnknown
	}
	encoded, err := s.encodeSince(req.GetVersion())
	if err != nil {
		return nil, nil, err
	}
	head := &peerv1.Change{
		Base: encoded.head.GetBase(), Version: encoded.head.GetVersion(), Revision: position.Revision.Wire(), Changed: position.Changed.Wire(), ClockMs: position.Clock.Milliseconds(),
		Access: encoded.head.GetAccess(), Parts: encoded.head.GetParts(),
	}
	s.putCordons(head)
	return head, encoded.parts, nil
}

// encodeSince returns the encoded change from a version to the newest one. The last result
// is kept, since most peers have the same version.
func (s *configSharing) encodeSince(version uint64) (encodedChange, error) {
	s.encodeMu.Lock()
	defer s.encodeMu.Unlock()
	newest := s.replica.Version()
	if s.encoded.head != nil && s.encoded.base == version && s.encoded.version == newest {
		return s.encoded, nil
	}
	ch := s.replica.ChangeSince(version)
	if ch == nil {
		return encodedChange{head: &peerv1.Change{Base: version, Version: version}}, nil
	}
	head, parts, err := changewire.Encode(ch, wait.YieldCPU)
	if err != nil {
		return encodedChange{}, err
	}
	s.encoded = encodedChange{base: version, version: ch.Version, head: head, parts: parts}
	return s.encoded, nil
}
