package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/membership"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/readers"
	"kingcupplank.example/kingcup/retry"
)

const (
	// firstStartSpread is the time over which the gateways begin to register when the whole
	// system starts for the first time. The later ones then find the rows of the earlier ones,
	// which write theirs.
	firstStartSpread = time.Second
	// sampleTimeout bounds the wait for the sample of the table of gateways.
	sampleTimeout = 800 * time.Millisecond
	// registrationPoll is how often a gateway checks its own row and the rows that it writes
	// for others.
	registrationPoll = 50 * time.Millisecond
)

// joinBackoff spaces the tries of a starting gateway to find the others. It has no tables yet
// and refuses its callers, so the tries stay frequent.
var joinBackoff = retry.Backoff{Base: 200 * time.Millisecond, Max: 800 * time.Millisecond}

// storeBackoff spaces the retries of failed writes.
var storeBackoff = retry.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}

// join finds other gateways and keeps this gateway's row in the table until ctx ends.
func (g *group) join(ctx context.Context, isFirstStart bool) {
	if isFirstStart {
		wait.For(ctx, time.Duration(rand.Float64()*float64(firstStartSpread)))
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := g.findPeers(ctx, isFirstStart)
		if err == nil {
			break
		}
		g.log.WithError(err).WithField("try", attempt+1).Warn("cannot find the other gateways, will retry")
		wait.For(ctx, joinBackoff.Delay(attempt, rand.Float64()))
	}
	g.registrar.run(ctx)
}

// findPeers reads the rows of a few other gateways. Whichever of them has the tables passes
// them on.
func (g *group) findPeers(ctx context.Context, isFirstStart bool) error {
	minOthers := membership.MinSample
	if isFirstStart {
		// Most rows are still to come, so the number of gateways can't be estimated yet.
		minOthers = 1
	}
	sample, rows, err := g.readSample(ctx, minOthers)
	if err != nil {
		return err
	}
	members := g.decodeMembers(rows)
	count := sample.EstimateCount()
	if !sample.IsWhole {
		g.links.SetEstimatedCount(count)
	}
	if isFirstStart && len(sample.Others) > 0 {
		g.role.awaitsOthers.Store(true)
	} else {
		g.role.chooseInitialReader(members, sample, rand.Float64())
	}
	g.links.AddMembers(members)
	g.role.joined.Store(true)
	g.log.WithField("peers", len(sample.Others)).WithField("gateways", count).Info("found other gateways")
	return nil
}

// readSample reads the own row and the rows that follow it in the order of their keys, and
// those from the first one on if fewer than minOthers follow.
func (g *group) readSample(ctx context.Context, minOthers int) (membership.Sample, []follow.Row, error) {
	own := membership.Key(g.self.Name)
	rows, hasMore, err := g.readRows(ctx, own, membership.KeyEnd)
	if err != nil {
		return membership.Sample{}, nil, err
	}
	sample := membership.NewSample(g.self.Name, g.otherNames(rows), hasMore)
	if hasMore || len(sample.Others) >= minOthers {
		return sample, rows, nil
	}
	first, hasMore, err := g.readRows(ctx, "", own)
	if err != nil {
		return membership.Sample{}, nil, err
	}
	return sample.Extend(g.otherNames(first), hasMore), append(rows, first...), nil
}

// readRows reads the rows of gateways with keys from from to before to, at most as many as a
// sample has.
func (g *group) readRows(ctx context.Context, from, to string) ([]follow.Row, bool, error) {
	begun := clock.SinceBoot()
	page, hasMore, err := g.store.Range(ctx, membersTable, from, to, membership.SampleSize, sampleTimeout)
	if err != nil {
		return nil, false, err
	}
	g.setStoreClock(page.Clock, begun)
	_, rows := splitRows(page.Rows)
	return rows, hasMore, nil
}

// otherNames returns the names of the gateways in rows without this one. If a row is this
// gateway's, it also records that the table has it.
func (g *group) otherNames(rows []follow.Row) (names []string) {
	for _, row := range rows {
		if g.isOwnRow(row) {
			g.registrar.setRegistered(true)
		}
		if name, ok := membership.Name(row.Key); ok && name != g.self.Name {
			names = append(names, name)
		}
	}
	return names
}

// chooseInitialReader decides whether this gateway is one of those that read the tables first
// when all gateways start at once; the others fetch the tables from these as soon as they are
// linked. Of a whole sample all gateways choose the same ones. Otherwise as many of the VMs with
// the fastest links are drawn on average: slow ones would take seconds.
func (r *readerRole) chooseInitialReader(others []peers.Member, sample membership.Sample, random float64) {
	self := readers.Reader{Name: r.group.self.Name, FailureDomain: r.group.self.FailureDomain, LinkMbps: r.group.linkMbps}
	list := []readers.Reader{self}
	for _, m := range others {
		if m.Name != self.Name {
			list = append(list, readers.Reader{Name: m.Name, FailureDomain: m.FailureDomain, LinkMbps: m.LinkMbps})
		}
	}
	total := len(list)
	if !sample.IsWhole {
		total = sample.EstimateCount()
	}
	r.isInitialReader.Store(readers.IsInitialReader(self, list, total, initialReaders, random))
}

// registrar keeps the rows of gateways in the store's table: this gateway's own, and those that
// peers ask it to write. It is safe for concurrent use; no other lock is taken while mu is
// locked.
type registrar struct {
	group *group
	// registered says that the table has this gateway's row. asked is the peer that is asked
	// to write it, empty for none.
	registered atomic.Bool
	asked      atomic.Pointer[string]

	mu      sync.Mutex
	pending *membership.Registrar[memberRow]
}

func newRegistrar(g *group) *registrar {
	return &registrar{group: g, pending: membership.NewRegistrar[memberRow]()}
}

func (r *registrar) setRegistered(registered bool) {
	if r.registered.Swap(registered) != registered {
		r.group.log.WithField("registered", registered).Info("own row in the table of gateways")
	}
}

// reset records whether a whole table that was read has this gateway's row. Rows that it lacks
// have to be written again.
func (r *registrar) reset(registered bool) {
	r.mu.Lock()
	r.pending.ForgetWritten()
	r.mu.Unlock()
	r.setRegistered(registered)
}

// run keeps the rows up to date until ctx ends.
func (r *registrar) run(ctx context.Context) {
	own := membership.NewRegistration(r.group.self.Name, rand.Float64())
	for failures := 0; wait.For(ctx, registrationPoll); {
		now := clock.SinceBoot()
		action, peer := own.Next(now, r.registered.Load(), r.group.links.RegisteredCount(), r.group.links.Receivers())
		r.ask(peer)
		if action == membership.Write {
			r.addOwn()
		}
		if err := r.writePending(ctx, now); err != nil {
			r.group.log.WithError(err).Warn("cannot write rows of gateways, will retry")
			wait.For(ctx, storeBackoff.Delay(failures, rand.Float64()))
			failures++
			continue
		}
		failures = 0
	}
}

// ask sets the peer that is asked to write this gateway's row, and tells the peers of a change
// at once.
func (r *registrar) ask(peer string) {
	if old := r.asked.Swap(&peer); peer != "" && (old == nil || *old != peer) {
		r.group.links.SendStateNow()
	}
}

// askedPeer returns the peer that is asked to write this gateway's row, empty for none.
func (r *registrar) askedPeer() string {
	if p := r.asked.Load(); p != nil {
		return *p
	}
	return ""
}

// receive adds the row of a peer that asks this gateway to write it.
func (r *registrar) receive(s *peerv1.State) {
	if s.GetRegistrar() != r.group.self.Name {
		return
	}
	from := s.GetFrom()
	row := memberRow{Address: from.GetAddress(), FailureDomain: from.GetFailureDomain(), LinkMbps: s.GetLinkMbps()}
	if known, ok := r.group.links.Member(from.GetName()); ok && known.RowKey == membership.Key(from.GetName()) && known.Address == row.Address {
		return
	}
	r.add(from.GetName(), row)
}

func (r *registrar) addOwn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending.AddOwn(r.group.self.Name, r.group.ownRow(), clock.SinceBoot())
}

func (r *registrar) add(name string, row memberRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending.Add(name, row, clock.SinceBoot())
}

// writePending writes the rows that are due.
func (r *registrar) writePending(ctx context.Context, now time.Duration) error {
	r.mu.Lock()
	batch := r.pending.Take(now)
	r.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	data := make(map[string][]byte, len(batch))
	for name, row := range batch {
		value, err := json.Marshal(row)
		if err != nil {
			return err
		}
		data[membership.Key(name)] = value
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := r.group.store.Put(ctx, membersTable, data); err != nil {
		return err
	}
	r.group.log.WithField("rows", len(data)).Info("wrote rows of gateways")
	return nil
}
