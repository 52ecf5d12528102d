package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/gatewaymetrics"
	"kingcupplank.example/kingcup/internal/peers"
)

// controlEvery is how often a gateway logs what its control costs: six lines a minute.
const controlEvery = 10 * time.Second

// controlCosts counts what a gateway spends on the store and on its peers: what must not
// grow with their number. It is safe for concurrent use; mu is a leaf.
type controlCosts struct {
	recorder *gatewaymetrics.Recorder

	mu sync.Mutex
	// calls are those of the followers to the store, by table and reason; sent the bytes
	// to peers, by cause.
	calls map[string]int
	sent  map[peers.Cause]int
}

func newControlCosts(rec *gatewaymetrics.Recorder) *controlCosts {
	return &controlCosts{recorder: rec, calls: make(map[string]int), sent: make(map[peers.Cause]int)}
}

// called counts a call of a follower to the store.
func (c *controlCosts) called(table, reason string) {
	if c.recorder != nil {
		c.recorder.StoreReason(table, reason)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[table+": "+reason]++
}

// restored counts a table that has come back from a copy.
func (c *controlCosts) restored(table string) {
	if c.recorder != nil {
		c.recorder.StoreRestored(table)
	}
}

// toPeer counts bytes sent to a peer.
func (c *controlCosts) toPeer(cause peers.Cause, bytes int) {
	if c.recorder != nil {
		c.recorder.PeerSent(string(cause), bytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[cause] += bytes
}

// take returns what was counted since the last call.
func (c *controlCosts) take() logrus.Fields {
	c.mu.Lock()
	defer c.mu.Unlock()
	fields := logrus.Fields{"store_calls": c.calls, "peer_bytes": c.sent}
	c.calls, c.sent = make(map[string]int), make(map[peers.Cause]int)
	return fields
}

// logControl logs the costs of control until ctx ends.
func (g *group) logControl(ctx context.Context) {
	t := time.NewTicker(controlEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.log.WithFields(g.costs.take()).WithFields(logrus.Fields{"peers_known": g.links.KnownCount() - 1, "peers_heard": len(g.links.LiveStates())}).Info("costs of control")
		}
	}
}
