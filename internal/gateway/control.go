package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/gatewaymetrics"
	"kingcupplank.example/kingcup/internal/netmeter"
	"kingcupplank.example/kingcup/internal/peers"
)

// controlLogInterval is how often a gateway logs its control traffic: six lines a minute.
const controlLogInterval = 10 * time.Second

// controlStats counts a gateway's control traffic: calls to the store and bytes sent to
// peers. This traffic must not grow with the number of gateways. It is safe for concurrent
// use; no other lock is taken while mu is locked.
type controlStats struct {
	recorder *gatewaymetrics.Recorder

	mu sync.Mutex
	// storeCalls counts the followers' calls to the store, by table and reason. peerBytes
	// counts the bytes sent to peers, by cause.
	storeCalls map[string]int
	peerBytes  map[peers.Cause]int
}

func newControlStats(rec *gatewaymetrics.Recorder) *controlStats {
	return &controlStats{recorder: rec, storeCalls: make(map[string]int), peerBytes: make(map[peers.Cause]int)}
}

// countStoreCall counts a call of a follower to the store.
func (c *controlStats) countStoreCall(table, reason string) {
	if c.recorder != nil {
		c.recorder.StoreReason(table, reason)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeCalls[table+": "+reason]++
}

// countRestore counts a restore of the store from an older copy that was detected in a
// table.
func (c *controlStats) countRestore(table string) {
	if c.recorder != nil {
		c.recorder.StoreRestored(table)
	}
}

// countPeerBytes counts bytes sent to a peer.
func (c *controlStats) countPeerBytes(cause peers.Cause, bytes int) {
	if c.recorder != nil {
		c.recorder.PeerSent(string(cause), bytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerBytes[cause] += bytes
}

// flush returns the counts since the last call, as log fields, and resets them.
func (c *controlStats) flush() logrus.Fields {
	c.mu.Lock()
	defer c.mu.Unlock()
	fields := logrus.Fields{"store_calls": c.storeCalls, "peer_bytes": c.peerBytes}
	c.storeCalls, c.peerBytes = make(map[string]int), make(map[peers.Cause]int)
	return fields
}

// logControlStats logs the control traffic every controlLogInterval until ctx ends.
func (g *group) logControlStats(ctx context.Context) {
	t := time.NewTicker(controlLogInterval)
	defer t.Stop()
	before := make(map[netmeter.Counterpart]netmeter.Bytes)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.log.WithFields(g.stats.flush()).WithFields(linkFields(g.meter, before)).WithFields(logrus.Fields{"peers_known": g.links.KnownCount() - 1, "peers_heard": len(g.links.LiveStates())}).Info("control traffic")
		}
	}
}

// linkFields returns the bytes exchanged with each counterpart since the values in before, as log fields, and
// updates before.
func linkFields(m *netmeter.Meter, before map[netmeter.Counterpart]netmeter.Bytes) logrus.Fields {
	sent, received := make(map[netmeter.Counterpart]uint64), make(map[netmeter.Counterpart]uint64)
	for _, with := range netmeter.Counterparts {
		now := m.Bytes(with)
		sent[with], received[with] = now.Sent-before[with].Sent, now.Received-before[with].Received
		before[with] = now
	}
	return logrus.Fields{"link_sent": sent, "link_received": received}
}
