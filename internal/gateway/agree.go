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
	// agreePoll is how often a gateway that has started asks its peers.
	agreePoll = 50 * time.Millisecond
	// agreePatience bounds the wait for peers of which none answers: they may all have ended.
	agreePatience = 500 * time.Millisecond
)

// ConfigCurrent implements relay.Others.
func (g *group) ConfigCurrent() bool { return g.agreed.Load() }

// agree compares the configuration with the peers' before keys are trusted: a store that has
// come back older shows a gateway that starts keys that were taken away.
func (g *group) agree(ctx context.Context) {
	begun := time.Now()
	var known time.Time
	for !g.agreed.Load() && wait.For(ctx, agreePoll) {
		if g.config.replica.Version() == 0 || !g.followers[membersTable].HasTable() && time.Since(begun) < tablesPatience {
			continue
		}
		if known.IsZero() {
			known = time.Now()
		}
		switch newer, heard := g.namedVersions(); {
		case len(newer) > 0:
			g.askConfig(ctx, newer)
		case g.links.KnownCount() == 1:
			g.setAgreed("no peer is known")
		case heard:
			g.setAgreed("peers name no newer version")
		case g.askConfig(ctx, g.links.LinkedPeers()):
			g.setAgreed("answered by a peer")
		case time.Since(known) > agreePatience:
			g.setAgreed("no peer answers")
		}
	}
}

func (g *group) setAgreed(why string) {
	if g.agreed.CompareAndSwap(false, true) {
		g.log.WithField("version", g.config.replica.Version()).WithField("why", why).Info("configuration is compared with the peers'")
	}
}

// ownVersion is the version that peers are told of, 0 before the own one is compared with theirs.
func (g *group) ownVersion() uint64 {
	if !g.agreed.Load() {
		return 0
	}
	return g.config.replica.Version()
}

// namedVersions lists the peers that name a newer version in force than this gateway's, and
// reports whether any names one.
func (g *group) namedVersions() (newer []string, heard bool) {
	own := g.config.replica.Version()
	for _, s := range g.links.LiveStates() {
		heard = heard || s.GetConfigVersion() > 0
		if s.GetConfigVersion() > own {
			newer = append(newer, s.GetFrom().GetName())
		}
	}
	return newer, heard
}

// askConfig has some of the peers bring the configuration up to theirs, and reports whether
// one has answered.
func (g *group) askConfig(ctx context.Context, names []string) bool {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return slices.ContainsFunc(names[:min(len(names), askedPeers)], func(peer string) bool {
		_, err := g.config.fetchFrom(ctx, peer)
		if err != nil {
			g.log.WithError(err).WithField("peer", peer).Info("configuration is not compared with a peer's")
		}
		return err == nil
	})
}

// configNamed takes the version that a peer has in force. Where it is newer than the own one
// the difference is fetched, whatever the positions: those of two gateways that have read the
// same copy of a store are equal, and only one of them knows what was before.
func (g *group) configNamed(s *peerv1.State) {
	if s.GetConfigVersion() > g.config.replica.Version() {
		g.followers[operator.Table].SetBehind()
	}
}
