package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/readers"
	"kingcupplank.example/kingcup/retry"
)

// membersTable holds a row for each gateway, by the name of its VM, and one for each request
// that is not sent to servers.
const membersTable = "gateways"

const (
	// membersPatience bounds the wait for each page of the rows of all gateways.
	membersPatience = 3 * time.Second
	// membersWait is how long a call for changes of the members waits. One that is new
	// tells those that it links to of itself; the rest need it for their count of gateways
	// and cells only.
	membersWait = 5 * time.Second
	// membersGap is the least time between two of them: when all start at once, each
	// writes a row.
	membersGap = 500 * time.Millisecond
	// firstReaders is how many gateways read the tables for themselves when all start.
	firstReaders = 2 * readers.Count
	// rewriteWithin spreads the gateways that write their rows again.
	rewriteWithin = 800 * time.Millisecond
)

var joinBackoff = retry.Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}

// memberRow is what a gateway writes of itself.
type memberRow struct {
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	LinkMbps      float64 `json:"link_mbps,omitempty"`
}

// decodeMember reads the row of a gateway. One with an address that is none would be
// dialed in vain for as long as gateways remember each other.
func decodeMember(data []byte) (memberRow, error) {
	var m memberRow
	if err := json.Unmarshal(data, &m); err != nil {
		return m, err
	}
	_, err := netip.ParseAddrPort(m.Address)
	return m, err
}

// join reads the rows of all gateways and has this one's among them.
func (g *group) join(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; tries++ {
		err := g.announce(ctx)
		if err == nil {
			g.log.WithField("peers", g.links.KnownCount()-1).Info("joined the gateways")
			return
		}
		g.log.WithError(err).WithField("try", tries+1).Warn("cannot join the gateways yet")
		wait.For(ctx, joinBackoff.Delay(tries, rand.Float64()))
	}
}

// announce reads the rows of all gateways and writes this one's, unless it stands there from
// before a restart: hundreds of VMs that lose power together would write for a second, one
// after the other, what is there already. Two gateways that start at once and do not see
// each other's rows hear of them as the table is followed.
func (g *group) announce(ctx context.Context) error {
	begun := clock.SinceBoot()
	page, err := g.store.Table(membersTable).Snapshot(ctx, membersPatience)
	if err != nil {
		return err
	}
	g.seedClock(page.Clock, begun)
	_, gateways := splitRows(page.Rows)
	g.role.startsFirst(g.decodeMembers(gateways))
	g.followers[membersTable].Seed(page, begun)
	g.role.joined.Store(true)
	row := g.row()
	if slices.ContainsFunc(page.Rows, func(r follow.Row) bool { return r.Key == g.self.Name && isRow(r, row) }) {
		return nil
	}
	return g.putRow(ctx)
}

func isRow(r follow.Row, row memberRow) bool {
	m, err := decodeMember(r.Value)
	return err == nil && m == row
}

// decodeMembers reads the rows of gateways; those that cannot be read are passed over.
func (g *group) decodeMembers(rows []follow.Row) (out []peers.Member) {
	for _, row := range rows {
		m, err := decodeMember(row.Value)
		if err != nil {
			g.log.WithError(err).WithField("row", row.Key).Warn("row of a gateway is unreadable, it is passed over")
			continue
		}
		out = append(out, peers.Member{Name: row.Key, Address: m.Address, FailureDomain: m.FailureDomain, LinkMbps: m.LinkMbps, Revision: row.Revision})
	}
	return out
}

// forgotten removes the row of a gateway that is gone, unless it has been written
// anew.
func (g *group) forgotten(m peers.Member) {
	if m.Revision.IsZero() {
		return
	}
	if err := g.store.Remove(context.Background(), membersTable, m.Name, m.Revision); err != nil {
		g.log.WithError(err).WithField("peer", m.Name).Info("row of a forgotten gateway stays")
	}
}

// members has the links follow the table of gateways. It implements follow.Sink.
type members struct{ *group }

// Reset implements follow.Sink. Gateways that are linked and have no row any more are told
// by their links.
func (m members) Reset(rows []follow.Row, _ time.Duration) {
	requests, gateways := splitRows(rows)
	m.suspects.read(requests, true)
	m.links.AddMembers(m.decodeMembers(gateways))
	if m.role.joined.Load() && !slices.ContainsFunc(gateways, func(r follow.Row) bool { return r.Key == m.self.Name }) {
		time.AfterFunc(time.Duration(rand.Float64()*float64(rewriteWithin)), m.rewrite)
	}
}

// rewrite writes this gateway's row again: the store has come back from a copy that does
// not have it, and gateways that start would not hear of this one.
func (g *group) rewrite() {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	if err := g.putRow(ctx); err != nil {
		g.log.WithError(err).Warn("own row is not written again")
		return
	}
	g.log.Info("own row is written again")
}

// putRow writes this gateway's row.
func (g *group) putRow(ctx context.Context) error {
	data, err := json.Marshal(g.row())
	if err != nil {
		return err
	}
	return g.store.Put(ctx, membersTable, g.self.Name, data)
}

func (g *group) row() memberRow {
	return memberRow{Address: g.self.Address, FailureDomain: g.self.FailureDomain, LinkMbps: g.linkMbps}
}

// Apply implements follow.Sink.
func (m members) Apply(rows []follow.Row, _ time.Duration) {
	requests, gateways := splitRows(rows)
	m.suspects.read(requests, false)
	var gone []string
	var written []follow.Row
	for _, row := range gateways {
		if row.Deleted {
			gone = append(gone, row.Key)
			continue
		}
		written = append(written, row)
	}
	if len(gone) > 0 {
		m.links.RemoveMembers(gone)
	}
	if len(written) > 0 {
		m.links.AddMembers(m.decodeMembers(written))
	}
}

// Confirm implements follow.Sink.
func (m members) Confirm(time.Duration) {}
