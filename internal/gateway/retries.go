package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kingcupplank.example/kingcup/internal/admin"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/peers"
	"kingcupplank.example/kingcup/internal/relay"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/retry"
)

// sharedRetries is what the gateways tell each other of their retries. No other lock is taken while mu is
// locked.
type sharedRetries struct {
	// budgets returns the uses of this gateway's budgets; it is nil until the relay has been created.
	budgets atomic.Pointer[func() map[string]retry.Use]

	mu     sync.Mutex
	peers  *retry.Peers
	window time.Duration
}

func newSharedRetries(self peers.Member, isFirstStart bool) *sharedRetries {
	process := retry.Process{Gateway: self.Name, ID: rand.Uint64()}
	return &sharedRetries{window: retry.DefaultWindow, peers: retry.NewPeers(process, isFirstStart, clock.SinceBoot())}
}

// RetryView implements relay.Peers.
func (g *group) RetryView(service string, s retry.Settings) retry.View {
	m := retry.Members{Unknown: !g.role.joined.Load()}
	m.Others, m.Estimated = g.links.KnownNames()
	r := g.retries
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Window > 0 {
		r.window = s.Window
	}
	return r.peers.View(service, m, r.window, clock.SinceBoot())
}

// message returns what the peers are to be told.
func (r *sharedRetries) message() *peerv1.Retries {
	var uses map[string]retry.Use
	if budgets := r.budgets.Load(); budgets != nil {
		uses = (*budgets)()
	}
	r.mu.Lock()
	report := r.peers.Report(uses, r.window, clock.SinceBoot())
	r.mu.Unlock()
	out := &peerv1.Retries{Process: report.ID, Complete: report.Complete, Uses: useMessages(report.Uses)}
	for _, e := range report.Ended {
		out.Ended = append(out.Ended, &peerv1.EndedProcess{Gateway: e.Gateway, Process: e.ID, Uses: useMessages(e.Uses), RemainingMs: uint32(max(0, e.Remaining.Milliseconds())), Silent: e.Silent})
	}
	return out
}

// receive records what a peer has told.
func (r *sharedRetries) receive(peer string, m *peerv1.Retries) {
	if m == nil {
		return
	}
	report := retry.Report{Process: retry.Process{Gateway: peer, ID: m.GetProcess()}, Complete: m.GetComplete(), Uses: usesFromMessages(m.GetUses())}
	for _, e := range m.GetEnded() {
		report.Ended = append(report.Ended, retry.Ended{
			Process: retry.Process{Gateway: e.GetGateway(), ID: e.GetProcess()}, Uses: usesFromMessages(e.GetUses()), Remaining: time.Duration(e.GetRemainingMs()) * time.Millisecond, Silent: e.GetSilent(),
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers.Heard(report, r.window, clock.SinceBoot())
}

// silent records that no state has arrived from a peer for too long.
func (r *sharedRetries) silent(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers.Silent(peer, r.window, clock.SinceBoot())
}

func useMessages(uses map[string]retry.Use) (out []*peerv1.RetryUse) {
	for service, u := range uses {
		if u != (retry.Use{}) {
			out = append(out, &peerv1.RetryUse{Service: service, Extra: float32(u.Extra), Requests: float32(u.Requests)})
		}
	}
	return out
}

func usesFromMessages(list []*peerv1.RetryUse) map[string]retry.Use {
	out := make(map[string]retry.Use, len(list))
	for _, u := range list {
		out[u.GetService()] = retry.Use{Extra: float64(u.GetExtra()), Requests: float64(u.GetRequests())}
	}
	return out
}

// adminRetries lists the retry budgets for the admin address.
type adminRetries struct{ relay *relay.Relay }

// Budgets implements admin.Retries.
func (a adminRetries) Budgets() (out []admin.RetryBudget) {
	statuses := a.relay.RetryStatuses()
	for _, service := range slices.Sorted(maps.Keys(statuses)) {
		s := statuses[service]
		out = append(out, admin.RetryBudget{Service: service, Requests: s.Requests, Retries: s.Retries, Share: s.Share, Used: s.Used, Left: s.Left})
	}
	return out
}
