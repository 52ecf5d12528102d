package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/cordon"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/netmeter"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/platform/directory"
	"kingcupplank.example/kingcup/platform/operator"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/revision"
	"kingcupplank.example/kingcup/routing"
)

// tableStore is the part of the store's client that the group uses.
type tableStore interface {
	Put(ctx context.Context, table string, data map[string][]byte) error
	Range(ctx context.Context, table, from, to string, limit int, timeout time.Duration) (page follow.Page, hasMore bool, err error)
	Remove(ctx context.Context, table, key string, expected revision.Revision) error
	Table(name string) follow.Feed
}

// group is this gateway's view of the other gateways, and what it shares with them. It
// implements peers.Receiver and relay.Peers.
type group struct {
	self     peers.Member
	store    tableStore
	registry *backends.Registry
	config   *configSharing
	// cordons are the cordoned failure domains.
	cordons *cordon.Set
	// linkMbps is this VM's bandwidth in Mbit/s, 0 if it is not known.
	linkMbps float64
	log      logrus.FieldLogger
	links    *peers.Manager
	stats    *controlStats
	meter    *netmeter.Meter
	stopping atomic.Bool
	// configChecked says that the configuration has been compared with the peers' since the
	// start.
	configChecked atomic.Bool
	role          *readerRole
	registrar     *registrar
	quarantine    *sharedQuarantine
	origins       *sharedOrigins
	retries       *sharedRetries
	// followers, by table, receive the pages that peers read. encoders, by table, encode
	// the responses to peers' fetches for the tables whose rows are kept.
	followers map[string]*follow.Follower
	encoders  map[string]*changeEncoder
	// fetchHandler answers peers' fetches. It is serveFetch except in tests.
	fetchHandler atomic.Pointer[fetchHandlerFunc]

	// mu guards queues, the requests that wait here by service, and teamUsage, what the
	// teams with the highest usage have used by service, lightUsage the part of it by light
	// generations. No other lock is taken while mu is locked.
	mu                    sync.Mutex
	queues                map[string]flow.Contender
	teamUsage, lightUsage map[string]usageSnapshot
	// demands are the demands for services here. invalidDemandLogged is when a peer's report that
	// is out of range was last logged. Both are guarded by mu.
	demands             map[string]demandSnapshot
	invalidDemandLogged time.Duration

	positions positionSchedule
	// invalidLoads bounds the log lines about loads of peers that are out of range.
	invalidLoads rate.Sometimes
}

func newGroup(self peers.Member, store tableStore, registry *backends.Registry, replica *routing.Replica, linkMbps float64, maxLinks int, isFirstStart bool, stats *controlStats, meter *netmeter.Meter, isCrowded func() bool, log logrus.FieldLogger) *group {
	g := &group{
		self: self, store: store, registry: registry, linkMbps: linkMbps, stats: stats, meter: meter, log: log, followers: make(map[string]*follow.Follower),
		queues: make(map[string]flow.Contender), teamUsage: make(map[string]usageSnapshot), lightUsage: make(map[string]usageSnapshot),
		demands: make(map[string]demandSnapshot), invalidLoads: rate.Sometimes{Interval: invalidLoadsInterval},
	}
	g.encoders = map[string]*changeEncoder{directory.Table: {}, membersTable: {}}
	g.role = newReaderRole(g)
	g.registrar = newRegistrar(g)
	g.quarantine = newSharedQuarantine(g)
	g.origins = newSharedOrigins(g)
	g.retries = newSharedRetries(self, isFirstStart)
	g.setFetchHandler(g.serveFetch)
	g.cordons = cordon.New(g.applyCordons)
	g.config = &configSharing{group: g, replica: replica, sink: operator.NewSink(replica, g.cordons, clock.SinceBoot, wait.YieldCPU, log)}
	var d net.Dialer
	dial := meter.Dial(d.DialContext, netmeter.Peers)
	g.links = peers.New(self, peers.Deps{
		Dial:  func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) },
		State: g.ownState, Receiver: g, Answer: g.handleFetch, Log: log, OnForgotten: g.removeRow,
		OnSent: stats.countPeerBytes, IsCrowded: isCrowded, MaxLinks: maxLinks, OnPlaced: g.applyCell, InitialSuspects: g.quarantine.initialRecords,
	})
	return g
}

// applyCell updates the registry with the cell of this gateway.
func (g *group) applyCell(place cells.Place) {
	if g.registry.SetCell(place) {
		g.log.WithFields(logrus.Fields{"cell": place.OwnCell, "cells": place.CellCount}).Info("the cell of this gateway has changed")
	}
}

// ownState returns the state that this gateway sends to its peers.
func (g *group) ownState() *peerv1.State {
	s := &peerv1.State{
		From:     &peerv1.Member{Name: g.self.Name, Address: g.self.Address, FailureDomain: g.self.FailureDomain},
		Stopping: g.stopping.Load(), StoreReached: g.storeReached(),
		ConfigVersion: g.checkedVersion(), LinkMbps: g.linkMbps, ReadingConfig: g.followers[operator.Table].IsReading(),
		Positions: g.duePositions(), Readers: g.role.readerMessages(), Registrar: g.registrar.askedPeer(),
		Retries: g.retries.message(),
	}
	paces := g.registry.Paces(clock.SinceBoot())
	for id, l := range g.registry.Loads() {
		s.Loads = append(s.Loads, &peerv1.Load{
			Server: id, Running: uint32(l.Running), Tokens: uint64(max(0, l.ExpectedTokens)),
			Prompt: uint64(max(0, l.PromptTokens)), Copying: uint64(max(0, l.CopyTokens)), Born: l.StartTime, Standby: uint64(max(0, l.Standby)),
			PauseUs: uint32(paces[id].Pause.Microseconds()), Held: uint64(max(0, l.Held())), Dip: paces[id].Dip,
		})
	}
	for id, st := range g.registry.Statuses(clock.SinceBoot()) {
		s.Losses = append(s.Losses, statusMessage(id, st))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, q := range g.queues {
		s.Queues = append(s.Queues, &peerv1.Queue{Service: service, Waiting: uint32(q.Waiting), Rank: uint32(q.Rank), First: uint32(q.WaitingAtRank), Tokens: uint64(max(0, q.Tokens))})
	}
	s.Demands = g.demandMessages(clock.SinceBoot())
	for service, used := range g.teamUsage {
		light := g.lightAmounts(service, clock.SinceBoot())
		for _, u := range used.decayedAt(clock.SinceBoot()) {
			s.Usages = append(s.Usages, &peerv1.Usage{Service: service, Team: u.Team, Amount: float32(u.Amount), LightAmount: float32(light[u.Team])})
		}
	}
	return s
}

// forwardStatuses logs the changes of servers' rate limits that a peer has reported. If its
// report changed any status, it sends this gateway's state to the peers at once, so that
// they learn of the change too.
func (g *group) forwardStatuses(peer string, statuses map[string]backends.ServerStatus, changes []backends.StatusChange) {
	for _, ch := range changes {
		if !ch.RateLimitChanged {
			continue
		}
		limit := statuses[ch.ID].RateLimit
		g.log.WithFields(logrus.Fields{
			"server": ch.ID, "born": ch.StartTime, "service": ch.Service, "peer": peer,
			"named": limit.Limited, "per_second": limit.PerSecond, "age_ms": limit.Age.Milliseconds(),
		}).Info("peer reported a server's rate limit")
	}
	if len(changes) > 0 {
		g.links.SendStateNow()
	}
}

func statusMessage(server string, st backends.ServerStatus) *peerv1.Loss {
	out := &peerv1.Loss{Server: server, InARow: uint32(st.ConsecutiveLosses), Ended: st.Down, Leaving: st.Leaving, Resting: st.BackingOff, Born: st.StartTime}
	if st.RateLimit.Known {
		out.Limit = &peerv1.Limit{Named: st.RateLimit.Limited, PerSecond: st.RateLimit.PerSecond, AgeMs: st.RateLimit.Age.Milliseconds()}
	}
	return out
}

// invalidLoadsInterval is the interval between two log lines about invalid loads: a peer sends its
// loads several times a second.
const invalidLoadsInterval = 10 * time.Second

// maxReportAge bounds the age of a rate limit in a peer's report.
const maxReportAge = 24 * time.Hour

func statusFromMessage(l *peerv1.Loss) backends.ServerStatus {
	out := backends.ServerStatus{ConsecutiveLosses: int(l.GetInARow()), Down: l.GetEnded(), Leaving: l.GetLeaving(), BackingOff: l.GetResting(), StartTime: l.GetBorn()}
	if t := l.GetLimit(); t != nil {
		out.RateLimit = backends.RateLimitReport{Known: true, Limited: t.GetNamed(), PerSecond: t.GetPerSecond(), Age: time.Duration(min(t.GetAgeMs(), maxReportAge.Milliseconds())) * time.Millisecond}
	}
	return out
}

// storeReached reports whether the last call of every follower to the store succeeded.
func (g *group) storeReached() bool {
	for _, f := range g.followers {
		if !f.StoreReached() {
			return false
		}
	}
	return true
}

// State implements peers.Receiver.
func (g *group) State(peer string, s *peerv1.State) {
	if s == nil {
		g.retries.silent(peer)
		g.registry.SetRemoteLoads(peer, nil)
		g.registry.SetRemoteStatuses(peer, nil, clock.SinceBoot())
		return
	}
	statuses := make(map[string]backends.ServerStatus, len(s.GetLosses()))
	for _, l := range s.GetLosses() {
		statuses[l.GetServer()] = statusFromMessage(l)
	}
	g.forwardStatuses(peer, statuses, g.registry.SetRemoteStatuses(peer, statuses, clock.SinceBoot()))
	loads := make(map[string]backends.Load, len(s.GetLoads()))
	paces := make(map[string]backends.Pace)
	for _, l := range s.GetLoads() {
		if us := l.GetPauseUs(); us > 0 {
			paces[l.GetServer()] = backends.Pace{Pause: time.Duration(us) * time.Microsecond, Dip: l.GetDip(), StartTime: l.GetBorn()}
		}
		loads[l.GetServer()] = backends.Load{
			Running: int(l.GetRunning()), ExpectedTokens: int(l.GetTokens()), PromptTokens: int(l.GetPrompt()), CopyTokens: int(l.GetCopying()), StartTime: l.GetBorn(),
			Standby: g.standbyTokens(peer, l), Growth: growthFromMessage(l),
		}
	}
	g.registry.SetRemoteLoads(peer, loads)
	g.registry.SetRemotePaces(paces, clock.SinceBoot())
	g.retries.receive(peer, s.GetRetries())
	g.role.receive(s.GetReaders())
	g.registrar.receive(s)
	g.applyPositions(s.GetPositions())
	g.noteConfigVersion(s)
}

// standbyTokens returns the memory of standby copies in a peer's report. More than the reported load
// would hide the requests of other gateways.
func (g *group) standbyTokens(peer string, l *peerv1.Load) int {
	const maxTokens = 1 << 40
	tokens := min(l.GetTokens(), maxTokens)
	if l.GetStandby() > tokens {
		g.invalidLoads.Do(func() {
			g.log.WithFields(logrus.Fields{"peer": peer, "server": l.GetServer(), "tokens": l.GetTokens(), "standby": l.GetStandby()}).Warn("peer reported more standby copies than load")
		})
	}
	return int(min(l.GetStandby(), tokens))
}

// growthFromMessage returns the part of a peer's load that its runs don't hold yet. It is 0 if the peer
// does not say what they hold, or if that is more than they are expected to need.
func growthFromMessage(l *peerv1.Load) int {
	if held := l.GetHeld(); held > 0 && held < l.GetTokens() {
		return int(l.GetTokens() - held)
	}
	return 0
}

// Suspects implements peers.Receiver.
func (g *group) Suspects(peer string, s *peerv1.Suspects) {
	g.quarantine.receive(peer, s.GetSuspects())
}

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
	page.Rows = rowsFromMessages(p.GetRows())
	if p.GetTable() == operator.Table {
		g.config.recordAnnouncer(peer, page.Revision)
	}
	f.ReceivePage(follow.SharedPage{Page: page, Since: revision.FromWire(p.GetSince())})
}

// Count implements relay.Peers.
func (g *group) Count() int { return g.links.KnownCount() }

// AcceptingRequests implements relay.Peers.
func (g *group) AcceptingRequests() bool {
	return slices.ContainsFunc(g.links.LiveStates(), func(s *peerv1.State) bool { return !s.GetStopping() })
}

// Notify implements relay.Peers.
func (g *group) Notify() { g.links.SendStateNow() }

// NotifyLoads implements relay.Peers.
func (g *group) NotifyLoads() { g.links.SendLoadsSoon() }

// announceStop sends the peers a state which says that this gateway is stopping.
func (g *group) announceStop() {
	g.stopping.Store(true)
	g.links.SendStateNow()
}

// tableSharing distributes a table between the gateways, so that only some of them read it
// from the store. It implements follow.Sharing.
type tableSharing struct {
	*group
	table string
}

// IsPeerReading implements follow.Sharing.
func (s tableSharing) IsPeerReading() bool { return false }

// maxShareTime bounds the time that sending a page may occupy a VM's link. Callers' data
// waits behind a page: 64 KB for 28 peers take 1.5 s of a link of 10 Mbit/s.
const maxShareTime = 50 * time.Millisecond

// rowOverhead is the size of a row in a page without its value, in bytes.
const rowOverhead = 64

// exceedsLinks reports whether a page would occupy a link for longer than maxShareTime:
// this VM's link, over which the page goes to every peer, or the link of any peer. A fast
// link sends in an instant what a slow link receives in seconds. That exceeds the write
// timeout of a frame, and the connection to that peer would be closed.
func (g *group) exceedsLinks(page follow.SharedPage) bool {
	size := 0
	for _, r := range page.Rows {
		size += len(r.Value) + rowOverhead
	}
	if exceedsLink(size*g.links.LinkCount(), g.linkMbps) {
		return true
	}
	return slices.ContainsFunc(g.links.LiveStates(), func(s *peerv1.State) bool { return exceedsLink(size, s.GetLinkMbps()) })
}

// exceedsLink reports whether sending size bytes over a link of mbps Mbit/s takes longer
// than maxShareTime. It is false if the bandwidth is not known.
func exceedsLink(size int, mbps float64) bool {
	return mbps > 0 && 8*float64(size) > mbps*1e6*maxShareTime.Seconds()
}

// Share implements follow.Sharing. If a page is too long for a link, only its revision is
// sent; the peers notice the gap and get the rows by other means.
func (s tableSharing) Share(p follow.SharedPage) {
	s.role.announceRole()
	page := &peerv1.Page{
		Table: s.table, Since: p.Since.Wire(), Revision: p.Revision.Wire(),
		ClockMs: p.Clock.Milliseconds(), OutageMs: p.Outage.Milliseconds(),
	}
	if s.exceedsLinks(p) {
		page.Since = p.Revision.Wire()
		p.Rows = nil
	}
	page.Rows = rowMessages(p.Rows)
	s.links.BroadcastPage(page)
}
