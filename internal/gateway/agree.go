package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"kingcupplank.example/kingcup/internal/wait"
	"kingcupplank.example/kingcup/platform/operator"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

const (
	// configCheckPoll is the interval at which a starting gateway asks its peers for their
	// configuration version.
	configCheckPoll = 50 * time.Millisecond
	// configCheckTimeout bounds the wait for peers when none of them answers: all of them
	// may have stopped.
	configCheckTimeout = 500 * time.Millisecond
)

// ConfigCurrent implements relay.Peers.
func (g *group) ConfigCurrent() bool { return g.configChecked.Load() }

// checkConfig compares the configuration with the peers' before this gateway trusts API
// keys. A store that was restored from an older copy shows a starting gateway keys that
// have been revoked since.
func (g *group) checkConfig(ctx context.Context) {
	begun := time.Now()
	var loadedAt time.Time
	for !g.configChecked.Load() && wait.For(ctx, configCheckPoll) {
		if g.config.replica.Version() == 0 || !g.followers[membersTable].HasTable() && time.Since(begun) < membersTimeout {
			continue
		}
		if loadedAt.IsZero() {
			loadedAt = time.Now()
		}
		switch newer, known := g.compareVersions(); {
		case len(newer) > 0:
			g.fetchConfigFromAny(ctx, newer)
		case g.links.KnownCount() == 1:
			g.setConfigChecked("no peer is known")
		case known:
			g.setConfigChecked("peers name no newer version")
		case g.fetchConfigFromAny(ctx, g.links.LinkedPeers()):
			g.setConfigChecked("answered by a peer")
		case time.Since(loadedAt) > configCheckTimeout:
			g.setConfigChecked("no peer answers")
		}
	}
}

// setConfigChecked notes that the configuration has been compared with the peers'. The
// first call logs the reason.
func (g *group) setConfigChecked(reason string) {
	if g.configChecked.CompareAndSwap(false, true) {
		g.log.WithField("version", g.config.replica.Version()).WithField("why", reason).Info("configuration has been compared with the peers'")
	}
}

// checkedVersion returns the configuration version to report to peers. It is 0 until the
// own version has been compared with theirs.
func (g *group) checkedVersion() uint64 {
	if !g.configChecked.Load() {
		return 0
	}
	return g.config.replica.Version()
}

// compareVersions lists the peers that report a newer configuration version than this
// gateway's. known says whether any peer reports a version at all.
func (g *group) compareVersions() (newer []string, known bool) {
	own := g.config.replica.Version()
	for _, s := range g.links.LiveStates() {
		known = known || s.GetConfigVersion() > 0
		if s.GetConfigVersion() > own {
			newer = append(newer, s.GetFrom().GetName())
		}
	}
	return newer, known
}

// fetchConfigFromAny fetches the configuration from up to maxAskedPeers of the named peers,
// in random order, until one succeeds. It reports whether one did.
func (g *group) fetchConfigFromAny(ctx context.Context, candidates []string) bool {
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.ContainsFunc(candidates[:min(len(candidates), maxAskedPeers)], func(peer string) bool {
		_, err := g.config.fetchFrom(ctx, peer)
		if err != nil {
			g.log.WithError(err).WithField("peer", peer).Info("cannot fetch the configuration from a peer to compare it")
		}
		return err == nil
	})
}

// noteConfigVersion handles the configuration version that a peer reports. If it is newer
// than the own one, the difference is fetched, even if the two positions in the table are
// equal: two gateways that have read the same restored store are at the same position, but
// only one of them may know the newer version from before the restore.
func (g *group) noteConfigVersion(s *peerv1.State) {
	if s.GetConfigVersion() > g.config.replica.Version() {
		g.followers[operator.Table].SetBehind()
	}
}
