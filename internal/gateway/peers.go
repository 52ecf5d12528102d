package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/cordon"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/platform/directory"
	"kingcupplank.example/kingcup/platform/operator"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/revision"
	"kingcupplank.example/kingcup/routing"
)

// rows is what membership needs of the store.
type rows interface {
	Put(ctx context.Context, table, key string, data []byte) error
	Remove(ctx context.Context, table, key string, at revision.Revision) error
	Table(name string) follow.Feed
}

// group is this gateway among its peers. It implements peers.Receiver and
// relay.Others.
type group struct {
	self     peers.Member
	store    rows
	registry *backends.Registry
	config   *configSharing
	// cordons are the failure domains that get nothing.
	cordons *cordon.Set
	// linkMbps is this VM's bandwidth in Mbit/s, 0 if it is not known.
	linkMbps float64
	log      logrus.FieldLogger
	links    *peers.Manager
	costs    *controlCosts
	stopping atomic.Bool
	// agreed says that the configuration has been compared with the peers' since the start.
	agreed   atomic.Bool
	role     *readerRole
	suspects *suspects
	// followers by table take the pages of peers, answers encode what peers ask for of
	// those whose rows are kept.
	followers map[string]*follow.Follower
	answers   map[string]*tableAnswers
	// answering answers peers: newest, unless a test has others stand for it.
	answering atomic.Pointer[answerFunc]

	// mu guards queues, what waits here by service, and used, what the largest teams
	// have used. It is a leaf.
	mu     sync.Mutex
	queues map[string]flow.Contender
	used   map[string]usages
}

func newGroup(self peers.Member, store rows, registry *backends.Registry, replica *routing.Replica, linkMbps float64, mostLinks int, costs *controlCosts, log logrus.FieldLogger) *group {
	g := &group{self: self, store: store, registry: registry, linkMbps: linkMbps, costs: costs, log: log, followers: make(map[string]*follow.Follower), queues: make(map[string]flow.Contender), used: make(map[string]usages)}
	g.answers = map[string]*tableAnswers{directory.Table: {}, membersTable: {}}
	g.role = newReaderRole(g)
	g.suspects = newSuspects(g)
	g.answerBy(g.newest)
	g.cordons = cordon.New(g.cordonsChanged)
	g.config = &configSharing{group: g, replica: replica, sink: operator.NewSink(replica, g.cordons, clock.SinceBoot, wait.Breathe, log)}
	var d net.Dialer
	g.links = peers.New(self, peers.Deps{
		Dial:  func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) },
		State: g.state, Receiver: g, Answer: g.answer, Log: log, Forgotten: g.forgotten,
		Sent: costs.toPeer, MostLinks: mostLinks, Placed: g.placed, Greet: g.suspects.greet,
	})
	return g
}

// placed has the registry know the place of this gateway among the others.
func (g *group) placed(p cells.Place) {
	if g.registry.SetPlace(p) {
		g.log.WithFields(logrus.Fields{"cell": p.Own, "cells": p.Count}).Info("cell of this gateway")
	}
}

// state is what this gateway tells of itself.
func (g *group) state() *peerv1.State {
	s := &peerv1.State{
		From:     &peerv1.Member{Name: g.self.Name, Address: g.self.Address, FailureDomain: g.self.FailureDomain},
		Stopping: g.stopping.Load(), StoreReached: g.reached(),
		ConfigVersion: g.ownVersion(), LinkMbps: g.linkMbps, ReadingConfig: g.followers[operator.Table].Reading(),
		Positions: g.positions(), Readers: g.role.list(),
	}
	for id, l := range g.registry.Loads() {
		s.Loads = append(s.Loads, &peerv1.Load{
			Server: id, Running: uint32(l.Running), Tokens: uint64(max(0, l.Tokens)),
			Prompt: uint64(max(0, l.Prompt)), Copying: uint64(max(0, l.Copying)), Born: l.StartTime,
		})
	}
	for id, l := range g.registry.Losses(clock.SinceBoot()) {
		s.Losses = append(s.Losses, lossOf(id, l))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, q := range g.queues {
		s.Queues = append(s.Queues, &peerv1.Queue{Service: service, Waiting: uint32(q.Waiting), Rank: uint32(q.Rank), First: uint32(q.First)})
	}
	for service, used := range g.used {
		for _, u := range used.now(clock.SinceBoot()) {
			s.Usages = append(s.Usages, &peerv1.Usage{Service: service, Team: u.Team, Amount: float32(u.Amount)})
		}
	}
	return s
}

// pass passes on what a peer has told of servers that is news here.
func (g *group) pass(peer string, losses map[string]backends.Loss, news []backends.Told) {
	for _, t := range news {
		if !t.Limit {
			continue
		}
		l := losses[t.ID].Limit
		g.log.WithFields(logrus.Fields{
			"server": t.ID, "born": t.StartTime, "service": t.Service, "peer": peer,
			"named": l.Named, "per_second": l.PerSecond, "age_ms": l.Age.Milliseconds(),
		}).Info("a peer tells of a server's limit")
	}
	if len(news) > 0 {
		g.links.Nudge()
	}
}

func lossOf(server string, l backends.Loss) *peerv1.Loss {
	out := &peerv1.Loss{Server: server, InARow: uint32(l.InARow), Ended: l.Ended, Leaving: l.Leaving, Resting: l.Resting, Born: l.StartTime}
	if l.Limit.Known {
		out.Limit = &peerv1.Limit{Named: l.Limit.Named, PerSecond: l.Limit.PerSecond, AgeMs: l.Limit.Age.Milliseconds()}
	}
	return out
}

// mostAge bounds the age of what a peer tells.
const mostAge = 24 * time.Hour

func lossFrom(l *peerv1.Loss) backends.Loss {
	out := backends.Loss{InARow: int(l.GetInARow()), Ended: l.GetEnded(), Leaving: l.GetLeaving(), Resting: l.GetResting(), StartTime: l.GetBorn()}
	if t := l.GetLimit(); t != nil {
		out.Limit = backends.ToldLimit{Known: true, Named: t.GetNamed(), PerSecond: t.GetPerSecond(), Age: time.Duration(min(t.GetAgeMs(), mostAge.Milliseconds())) * time.Millisecond}
	}
	return out
}

func (g *group) reached() bool {
	for _, f := range g.followers {
		if !f.Reached() {
			return false
		}
	}
	return true
}

// State implements peers.Receiver.
func (g *group) State(peer string, s *peerv1.State) {
	if s == nil {
		g.registry.SetRemote(peer, nil)
		g.registry.SetLosses(peer, nil, clock.SinceBoot())
		return
	}
	losses := make(map[string]backends.Loss, len(s.GetLosses()))
	for _, l := range s.GetLosses() {
		losses[l.GetServer()] = lossFrom(l)
	}
	g.pass(peer, losses, g.registry.SetLosses(peer, losses, clock.SinceBoot()))
	loads := make(map[string]backends.Load, len(s.GetLoads()))
	for _, l := range s.GetLoads() {
		loads[l.GetServer()] = backends.Load{
			Running: int(l.GetRunning()), Tokens: int(l.GetTokens()), Prompt: int(l.GetPrompt()), Copying: int(l.GetCopying()), StartTime: l.GetBorn(),
		}
	}
	g.registry.SetRemote(peer, loads)
	g.role.hear(s.GetReaders())
	g.positionsHeard(s.GetPositions())
	g.configNamed(s)
}

// Suspects implements peers.Receiver.
func (g *group) Suspects(peer string, s *peerv1.Suspects) { g.suspects.hear(peer, s.GetSuspects()) }

// Page implements peers.Receiver.
func (g *group) Page(peer string, p *peerv1.Page) {
	f := g.followers[p.GetTable()]
	if f == nil {
		return
	}
	page := follow.Page{
		Revision: revision.FromWire(p.GetRevision()), Clock: time.Duration(p.GetClockMs()) * time.Millisecond,
		Outage: time.Duration(p.GetOutageMs()) * time.Millisecond,
	}
	page.Rows = rowsFrom(p.GetRows())
	if p.GetTable() == operator.Table {
		g.config.announced(peer)
	}
	f.Offer(follow.Shared{Page: page, Since: revision.FromWire(p.GetSince())})
}

// Known implements relay.Others.
func (g *group) Known() int { return g.links.Known() }

// Taking implements relay.Others.
func (g *group) Taking() bool {
	return slices.ContainsFunc(g.links.Live(), func(s *peerv1.State) bool { return !s.GetStopping() })
}

// Nudge implements relay.Others.
func (g *group) Nudge() { g.links.Nudge() }

// stop tells the peers that this gateway is stopping.
func (g *group) stop() {
	g.stopping.Store(true)
	g.links.Nudge()
}

// sharing lets the gateways read a table for each other. It implements
// follow.Sharing.
type sharing struct {
	*group
	table string
}

// Reading implements follow.Sharing.
func (s sharing) Reading() bool { return false }

// shareTime is the time of a VM's link that passing a page on may take. Beyond it callers
// would wait behind the page: 64 KB for 28 peers take 1.5 s of a link of 10 Mbit/s.
const shareTime = 50 * time.Millisecond

// rowOverhead is what a row takes in a page beside its value, in bytes.
const rowOverhead = 64

// tooLong reports whether a page would hold up this VM's link, which passes it to every
// peer, or a peer's: a wide link takes at once what a thin one takes seconds for, longer
// than a frame may take to be written, and the link would be given up with it.
func (g *group) tooLong(p follow.Shared) bool {
	size := 0
	for _, r := range p.Rows {
		size += len(r.Value) + rowOverhead
	}
	if holdsUp(size*g.links.Links(), g.linkMbps) {
		return true
	}
	return slices.ContainsFunc(g.links.Live(), func(s *peerv1.State) bool { return holdsUp(size, s.GetLinkMbps()) })
}

// holdsUp reports whether bytes take a link of some Mbit/s for too long.
func holdsUp(size int, mbps float64) bool {
	return mbps > 0 && 8*float64(size) > mbps*1e6*shareTime.Seconds()
}

// Share implements follow.Sharing. Of a page that is too long only its revision is
// told; the peers notice the gap and read it from the store.
func (s sharing) Share(p follow.Shared) {
	s.role.answered()
	page := &peerv1.Page{
		Table: s.table, Since: p.Since.Wire(), Revision: p.Revision.Wire(),
		ClockMs: p.Clock.Milliseconds(), OutageMs: p.Outage.Milliseconds(),
	}
	if s.tooLong(p) {
		page.Since = p.Revision.Wire()
		p.Rows = nil
	}
	page.Rows = rowsOf(p.Rows)
	s.links.Spread(page)
}
