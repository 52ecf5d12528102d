package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/membership"
	"kingcupplank.example/kingcup/revision"
)

// membersTable is the table with one row per gateway and one row per quarantine record.
const membersTable = "gateways"

const (
	// membersFeedTimeout is how long a call waits for changes of the table. It may be long:
	// a new gateway sends its state to the peers that it links to, and the others need its
	// row only to count gateways and cells.
	membersFeedTimeout = 5 * time.Second
	// minMembersInterval is the minimum time between two calls for changes. When all
	// gateways start at once, each of them has a row written.
	minMembersInterval = 500 * time.Millisecond
)

// memberRow is the row of a gateway.
type memberRow struct {
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	LinkMbps      float64 `json:"link_mbps,omitempty"`
}

// errRowKey rejects a row whose key names no gateway.
var errRowKey = errors.New("the key of the row names no gateway")

// decodeMember decodes the row of a gateway. It rejects a row whose address is not an IP
// address and port: every gateway would keep dialing it in vain.
func decodeMember(data []byte) (memberRow, error) {
	var m memberRow
	if err := json.Unmarshal(data, &m); err != nil {
		return m, err
	}
	_, err := netip.ParseAddrPort(m.Address)
	return m, err
}

func decodeMemberRow(row follow.Row) (peers.Member, error) {
	name, ok := membership.Name(row.Key)
	if !ok {
		return peers.Member{}, errRowKey
	}
	m, err := decodeMember(row.Value)
	if err != nil {
		return peers.Member{}, err
	}
	return peers.Member{Name: name, Address: m.Address, FailureDomain: m.FailureDomain, LinkMbps: m.LinkMbps, RowKey: row.Key, Revision: row.Revision}, nil
}

// decodeMembers decodes the rows of gateways. It skips unreadable ones and logs the first of
// them: another writer may leave thousands.
func (g *group) decodeMembers(rows []follow.Row) (out []peers.Member) {
	var unreadable []string
	var firstErr error
	for _, row := range rows {
		m, err := decodeMemberRow(row)
		if err != nil {
			unreadable = append(unreadable, row.Key)
			if firstErr == nil {
				firstErr = err
			}
			continue
		}
		out = append(out, m)
	}
	if firstErr != nil {
		g.log.WithError(firstErr).WithField("row", unreadable[0]).WithField("rows", len(unreadable)).Warn("skipped unreadable rows of gateways")
	}
	return out
}

// removeRow removes the row of a gateway that has been unreachable for too long, unless the row
// has been written again.
func (g *group) removeRow(m peers.Member) {
	if m.Revision.IsZero() {
		return
	}
	if err := g.store.Remove(context.Background(), membersTable, m.RowKey, m.Revision); err != nil {
		g.log.WithError(err).WithField("peer", m.Name).Info("cannot remove the row of an unreachable gateway")
	}
}

// membersSink passes the table of gateways on to the links and to the quarantine. It
// implements follow.Sink.
type membersSink struct{ *group }

// Reset implements follow.Sink. Gateways without a row stay known: the links to them report
// whether they still run.
func (m membersSink) Reset(rows []follow.Row, _ revision.Revision, _ time.Duration) {
	records, gateways := splitRows(rows)
	m.quarantine.applyRows(records, true)
	m.links.SetEstimatedCount(0)
	m.links.AddMembers(m.decodeMembers(gateways))
	m.registrar.reset(slices.ContainsFunc(gateways, m.isOwnRow))
}

// Apply implements follow.Sink.
func (m membersSink) Apply(rows []follow.Row, _ time.Duration) {
	records, gateways := splitRows(rows)
	m.quarantine.applyRows(records, false)
	var deleted []string
	var written []follow.Row
	for _, row := range gateways {
		if row.Deleted {
			deleted = append(deleted, row.Key)
			continue
		}
		written = append(written, row)
	}
	m.removeMembers(deleted)
	if len(written) > 0 {
		m.links.AddMembers(m.decodeMembers(written))
	}
	if slices.ContainsFunc(written, m.isOwnRow) {
		m.registrar.setRegistered(true)
	}
}

// removeMembers removes the gateways whose rows have been deleted. A gateway that has another
// row, as one has that was updated from an earlier release, stays.
func (m membersSink) removeMembers(keys []string) {
	var names []string
	for _, key := range keys {
		name, ok := membership.Name(key)
		if !ok {
			continue
		}
		if name == m.self.Name && key == membership.Key(name) {
			m.registrar.setRegistered(false)
		}
		if known, ok := m.links.Member(name); ok && known.RowKey == key {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		m.links.RemoveMembers(names)
	}
}

// isOwnRow reports whether a row is this gateway's and up to date.
func (g *group) isOwnRow(row follow.Row) bool {
	if row.Key != membership.Key(g.self.Name) {
		return false
	}
	m, err := decodeMember(row.Value)
	return err == nil && m == g.ownRow()
}

// ownRow returns this gateway's row.
func (g *group) ownRow() memberRow {
	return memberRow{Address: g.self.Address, FailureDomain: g.self.FailureDomain, LinkMbps: g.linkMbps}
}

// Confirm implements follow.Sink.
func (m membersSink) Confirm(time.Duration) {}
