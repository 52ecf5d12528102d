package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/changewire"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/wait"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/revision"
)

// errTableUnknown says that this gateway has not read the table.
var errTableUnknown = errors.New("this gateway has not read the table")

// rowsPerPart is the number of rows in a part of a response: some 5 KB after compression
// with deflate, like a part of the configuration.
const rowsPerPart = 100

// changeEncoder encodes the rows of a table for peers. The last result is kept, since most
// peers that fetch at the same time lack the same rows: encoding 3,000 servers takes 0.2 s
// on a VM with a seventh of a core. It is safe for concurrent use; mu is locked before the
// followers' locks.
type changeEncoder struct {
	mu             sync.Mutex
	since, changed revision.Revision
	whole          bool
	parts          [][]byte
}

// changesSince returns the changes of a follower's table after a revision, as the head and
// the parts of a response.
func (t *changeEncoder) changesSince(f *follow.Follower, since revision.Revision) (*peerv1.Change, [][]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	page, ok := f.ChangesSince(since)
	if !ok {
		return nil, nil, errTableUnknown
	}
	if page.Whole {
		since = revision.Revision{}
	}
	if t.parts == nil || t.changed != page.Changed || t.since != since || t.whole != page.Whole {
		parts, err := encodeRows(page.Rows)
		if err != nil {
			return nil, nil, err
		}
		t.since, t.changed, t.whole, t.parts = since, page.Changed, page.Whole, parts
	}
	return &peerv1.Change{
		Base: since.Wire(), Revision: page.Revision.Wire(), Changed: page.Changed.Wire(),
		ClockMs: page.Clock.Milliseconds(), OutageMs: page.Outage.Milliseconds(), Parts: uint32(len(t.parts)),
	}, t.parts, nil
}

func encodeRows(rows []follow.Row) ([][]byte, error) {
	parts := make([][]byte, 0, len(rows)/rowsPerPart+1)
	for chunk := range slices.Chunk(rows, rowsPerPart) {
		part, err := changewire.EncodeRows(rowMessages(chunk))
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
		wait.YieldCPU()
	}
	return parts, nil
}

func rowMessages(rows []follow.Row) []*peerv1.Row {
	out := make([]*peerv1.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, &peerv1.Row{Key: r.Key, Value: r.Value, Revision: r.Revision.Wire(), Deleted: r.Deleted})
	}
	return out
}

func rowsFromMessages(rows []*peerv1.Row) []follow.Row {
	out := make([]follow.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, follow.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: revision.FromWire(r.GetRevision()), Deleted: r.GetDeleted()})
	}
	return out
}

// rowsReader collects the rows of a response. It implements peers.AnswerHandler.
type rowsReader struct{ page follow.Page }

// Head implements peers.AnswerHandler.
func (t *rowsReader) Head(head *peerv1.Change) error {
	t.page = follow.Page{
		Revision: revision.FromWire(head.GetRevision()), Changed: revision.FromWire(head.GetChanged()), Whole: head.GetBase() == 0,
		Clock: time.Duration(head.GetClockMs()) * time.Millisecond, Outage: time.Duration(head.GetOutageMs()) * time.Millisecond,
	}
	return nil
}

// Part implements peers.AnswerHandler.
func (t *rowsReader) Part(part []byte) error {
	rows, err := changewire.DecodeRows(part)
	if err != nil {
		return err
	}
	t.page.Rows = append(t.page.Rows, rowsFromMessages(rows)...)
	return nil
}

// Fetch implements follow.Sharing.
func (s tableSharing) Fetch(ctx context.Context, since revision.Revision) (follow.Page, error) {
	err := follow.ErrNoPeer
	for _, peer := range s.peersAhead(s.table, since.IsZero()) {
		reader := &rowsReader{}
		err = s.links.Fetch(ctx, peer, &peerv1.Fetch{Table: s.table, Since: since.Wire(), LinkMbps: s.linkMbps}, reader)
		if err == nil && !since.Before(reader.page.Revision) {
			err = errPeerNotAhead
		}
		if err == nil {
			return reader.page, nil
		}
		s.log.WithError(err).WithField("peer", peer).WithField("table", s.table).Info("cannot fetch rows from a peer")
	}
	return follow.Page{}, err
}

// peersAhead lists up to maxAskedPeers peers, in random order, that have changes of a table
// that this gateway lacks. isEmpty says that this gateway has nothing of the table yet. If
// no peer is known to be ahead then, any linked peer is listed: those that this gateway has
// linked to may not send it their states yet.
func (g *group) peersAhead(table string, isEmpty bool) (out []string) {
	f := g.followers[table]
	for _, s := range g.links.LiveStates() {
		for _, p := range s.GetPositions() {
			if p.GetTable() == table && f.IsBehind(positionFromMessage(p)) {
				out = append(out, s.GetFrom().GetName())
			}
		}
	}
	if len(out) == 0 && isEmpty {
		out = g.links.LinkedPeers()
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxAskedPeers)]
}

func positionFromMessage(p *peerv1.Position) follow.Position {
	return follow.Position{Changed: revision.FromWire(p.GetChanged()), Revision: revision.FromWire(p.GetRevision()), Clock: time.Duration(p.GetClockMs()) * time.Millisecond}
}

// positionMessages returns the positions of this gateway's tables for its state. The
// configuration's is left out if its newest version is unreadable: peers would take their
// own version for the newest.
func (g *group) positionMessages() (out []*peerv1.Position) {
	for table, f := range g.followers {
		p, ok := f.Position()
		if !ok || table == g.config.table() && g.config.sink.IsNewestUnreadable() {
			continue
		}
		out = append(out, &peerv1.Position{Table: table, Changed: p.Changed.Wire(), Revision: p.Revision.Wire(), ClockMs: p.Clock.Milliseconds()})
	}
	return out
}

// positionsPerSecond bounds how often this gateway sends the positions of its tables while nothing
// changes, over all peers. They are a third of a state. Each gateway hears some 38 others, so it
// still gets one every 30 ms.
const positionsPerSecond = 32

// positionSchedule decides which states have positions. It is safe for concurrent use.
type positionSchedule struct {
	mu sync.Mutex
	// newest is the revision of the newest change in any table, until is when every link has had
	// a state since that change.
	newest revision.Revision
	until  time.Time
}

// isDue reports whether the next state has positions. All states have them for a period after a
// change, so that every peer learns of it with the next state, and later as many as
// positionsPerSecond allows. random is in [0, 1).
func (s *positionSchedule) isDue(positions []*peerv1.Position, now time.Time, period time.Duration, statesPerSecond, random float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.newest
	for _, p := range positions {
		newest = revision.Later(newest, revision.FromWire(p.GetChanged()))
	}
	if newest != s.newest {
		s.newest, s.until = newest, now.Add(period)
	}
	return now.Before(s.until) || random < positionsPerSecond/statesPerSecond
}

// duePositions returns the positions for the next state, or nil for a state without them.
func (g *group) duePositions() []*peerv1.Position {
	positions := g.positionMessages()
	if !g.positions.isDue(positions, time.Now(), g.links.StatePeriod(), g.links.StatesPerSecond(), rand.Float64()) {
		return nil
	}
	return positions
}

// applyPositions handles the positions of a peer's tables.
func (g *group) applyPositions(positions []*peerv1.Position) {
	for _, p := range positions {
		if f := g.followers[p.GetTable()]; f != nil {
			f.ReceivePosition(positionFromMessage(p))
		}
	}
}

// fetchHandlerFunc answers a peer's fetch with a head and the parts that follow it.
type fetchHandlerFunc func(*peerv1.Fetch) (*peerv1.Change, [][]byte, error)

// handleFetch passes a fetch to the current handler. See peers.Deps.Answer.
func (g *group) handleFetch(req *peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
	return (*g.fetchHandler.Load())(req)
}

// setFetchHandler replaces the handler of fetches.
func (g *group) setFetchHandler(handler fetchHandlerFunc) { g.fetchHandler.Store(&handler) }

// serveFetch answers a fetch from this gateway's copies of the tables. A fetch without a
// table is for the configuration.
func (g *group) serveFetch(req *peerv1.Fetch) (*peerv1.Change, [][]byte, error) {
	if isOriginRequest(req) {
		head, err := g.origins.serve(req)
		return head, nil, err
	}
	if req.GetTable() == "" {
		return g.config.serveFetch(req)
	}
	f := g.followers[req.GetTable()]
	if f == nil {
		return nil, nil, errTableUnknown
	}
	return g.encoders[req.GetTable()].changesSince(f, revision.FromWire(req.GetSince()))
}
