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

// configSharing lets the gateways have the configuration from each other. It implements
// follow.Sharing.
//
// The operator's row holds the whole configuration, and the store gives it to nobody in
// parts: passed on as it is, or read by every gateway, each change costs every link the
// whole. So the readers only announce that there is a newer version; each gateway fetches
// what has changed since its own, once, from one that has it. A whole version is fetched
// the same way by one that is too far behind. The store is read when no peer answers.
type configSharing struct {
	*group
	replica *routing.Replica
	sink    *operator.Sink

	// mu guards announcers, the peers that announced pages last, newest first. It is a
	// leaf.
	mu         sync.Mutex
	announcers []string
	// encoding guards encoded; the replica's locks come behind it.
	encoding sync.Mutex
	encoded  encodedChange
}

// encodedChange is a change as several peers are about to ask for it.
type encodedChange struct {
	base, version uint64
	head          *peerv1.Change
	parts         [][]byte
}

// askedPeers is how many peers are asked before the store: both readers.
const askedPeers = readers.Count

// table is the name of the table that holds the configuration.
func (s *configSharing) table() string { return operator.Table }

// IsReader implements follow.Sharing.
func (s *configSharing) IsReader(reached bool) bool {
	return sharing{s.group, operator.Table}.IsReader(reached)
}

// MayCallStore implements follow.Sharing.
func (s *configSharing) MayCallStore(without time.Duration) bool {
	return sharing{s.group, operator.Table}.MayCallStore(without)
}

// Share implements follow.Sharing: of changes only their revision is announced.
func (s *configSharing) Share(p follow.SharedPage) {
	if len(p.Rows) > 0 {
		p.Since, p.Rows = p.Revision, nil
	}
	sharing{s.group, operator.Table}.Share(p)
}

// IsPeerReading implements follow.Sharing.
func (s *configSharing) IsPeerReading() bool {
	return slices.ContainsFunc(s.links.LiveStates(), func(p *peerv1.State) bool { return p.GetReadingConfig() && !p.GetStopping() })
}

// announced notes a peer that follows the store.
func (s *configSharing) announced(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcers = slices.DeleteFunc(s.announcers, func(p string) bool { return p == peer })
	s.announcers = slices.Insert(s.announcers, 0, peer)
	s.announcers = s.announcers[:min(len(s.announcers), askedPeers)]
}

// Fetch implements follow.Sharing.
func (s *configSharing) Fetch(ctx context.Context, since revision.Revision) (follow.Page, error) {
	err := follow.ErrNoPeer
	for _, peer := range s.candidates(since.IsZero()) {
		var page follow.Page
		version := s.replica.Version()
		if page, err = s.fetchFrom(ctx, peer); err == nil && !since.Before(page.Revision) && s.replica.Version() == version {
			err = errNotFurther
		}
		if err == nil {
			s.setAgreed("taken from a peer")
			return page, nil
		}
		s.log.WithError(err).WithFields(logrus.Fields{"peer": peer, "config": s.replica.Version()}).Info("configuration is not fetched from a peer")
	}
	return follow.Page{}, err
}

// candidates are the live peers to ask: those that announced last, then some that say that
// they have a newer version, or are further. One that announced may be behind by now: it has
// ended to read the store.
// A peer that has fallen silent would cost an answer's timeout. starts says that nothing is
// known here.
func (s *configSharing) candidates(starts bool) (out []string) {
	s.mu.Lock()
	announcers := slices.Clone(s.announcers)
	s.mu.Unlock()
	live := make(map[string]bool)
	for _, p := range s.links.LiveStates() {
		live[p.GetFrom().GetName()] = true
	}
	for _, name := range announcers {
		if live[name] {
			out = append(out, name)
		}
	}
	newer, _ := s.namedVersions()
	for _, name := range append(newer[:min(len(newer), askedPeers)], s.ahead(operator.Table, starts)...) {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

func (s *configSharing) fetchFrom(ctx context.Context, peer string) (follow.Page, error) {
	begun, from := time.Now(), s.replica.Version()
	taker := &changeTaker{replica: s.replica}
	if err := s.links.Fetch(ctx, peer, &peerv1.Fetch{Version: from, LinkMbps: s.linkMbps}, taker); err != nil {
		return follow.Page{}, err
	}
	head := taker.head
	s.adoptCordons(head)
	page := follow.Page{Revision: revision.FromWire(head.GetRevision()), Changed: revision.FromWire(head.GetChanged()), Clock: time.Duration(head.GetClockMs()) * time.Millisecond}
	if head.GetVersion() == from {
		return page, nil
	}
	taken, err := s.replica.Commit(taker.update)
	if err != nil {
		return follow.Page{}, err
	}
	if taken {
		s.log.WithFields(logrus.Fields{
			"version": head.GetVersion(), "revision": head.GetRevision(), "peer": peer, "base": head.GetBase(),
			"rows": taker.update.Size(), "bytes": taker.bytes, "took_ms": time.Since(begun).Milliseconds(),
		}).Info("configuration in force")
	}
	return page, nil
}

// changeTaker builds a version as its change comes in. It implements peers.Taker.
type changeTaker struct {
	replica *routing.Replica
	head    *peerv1.Change
	update  *routing.Update
	bytes   int
}

// Head implements peers.Taker.
func (t *changeTaker) Head(head *peerv1.Change) error {
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

// Part implements peers.Taker.
func (t *changeTaker) Part(part []byte) error {
	t.bytes += len(part)
	if t.update == nil {
		return changewire.ErrMalformed
	}
	return changewire.ApplyPart(t.update, part)
}

// Errors of an answer.
var (
	errNotNewer   = errors.New("asked for changes of a version that is not known here")
	errUnreadable = errors.New("the newest version could not be read here")
	errNotFurther = errors.New("the peer is not further than this gateway")
)

// answer implements peers.Deps.Answer.
func (s *configSharing) answer(ask *peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
	// The position comes first: the version read behind it is complete up to there.
	position, ok := s.followers[operator.Table].LastPosition()
	if !ok {
		return nil, nil, errNoTable
	}
	if s.sink.IsNewestUnreadable() {
		return nil, nil, errUnreadable
	}
	if s.replica.Version() < ask.GetVersion() {
		return nil, nil, errNotNewer
	}
	e, err := s.encode(ask.GetVersion())
	if err != nil {
		return nil, nil, err
	}
	return &peerv1.Change{
		Base: e.head.GetBase(), Version: e.head.GetVersion(), Revision: position.Revision.Wire(), Changed: position.Changed.Wire(), ClockMs: position.Clock.Milliseconds(),
		Access: e.head.GetAccess(), Parts: e.head.GetParts(), Cordoned: s.cordonsOf(),
	}, e.parts, nil
}

// encode gives what leads from a version to the newest; most peers have the same one.
func (s *configSharing) encode(version uint64) (encodedChange, error) {
	s.encoding.Lock()
	defer s.encoding.Unlock()
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
