package gateway

import (
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/cordon"
	"kingcupplank.example/kingcup/internal/clock"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/revision"
)

// applyCordons updates the registry's set of cordoned failure domains.
func (g *group) applyCordons(domains []string) {
	uncordoned := g.registry.SetCordoned(domains, clock.SinceBoot())
	g.log.WithFields(logrus.Fields{"cordoned": domains, "back": uncordoned}).Info("set of cordoned failure domains has changed")
}

// cordonMessages returns all cordons for a response to a peer that is behind. Each response
// has all of them, as there are fewer cordons than failure domains.
func (g *group) cordonMessages() (out []*peerv1.Cordon) {
	for _, r := range g.cordons.List() {
		out = append(out, &peerv1.Cordon{Domain: r.Domain, Revision: r.Revision.Wire()})
	}
	return out
}

// adoptCordons replaces the cordons with those in a response of a peer that is ahead.
func (g *group) adoptCordons(head *peerv1.Change) {
	var list []cordon.Request
	for _, c := range head.GetCordoned() {
		if c.GetDomain() == "" {
			g.log.WithField("revision", c.GetRevision()).Error("skipped a cordon without a failure domain from a peer")
			continue
		}
		list = append(list, cordon.Request{Domain: c.GetDomain(), Revision: revision.FromWire(c.GetRevision())})
	}
	g.cordons.Replace(list, revision.FromWire(head.GetRevision()), clock.SinceBoot())
}
