package gateway

import (
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/cordon"
	"kingcupplank.example/kingcup/internal/clock"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/revision"
)

// cordonsChanged has the registry know which failure domains get nothing.
func (g *group) cordonsChanged(domains []string) {
	back := g.registry.SetCordoned(domains, clock.SinceBoot())
	g.log.WithFields(logrus.Fields{"cordoned": domains, "back": back}).Info("cordoned failure domains")
}

// cordonsOf is what peers that are behind are told of cordons, all of them each time: there
// are fewer than failure domains.
func (g *group) cordonsOf() (out []*peerv1.Cordon) {
	for _, r := range g.cordons.List() {
		out = append(out, &peerv1.Cordon{Domain: r.Domain, Revision: r.Revision.Wire()})
	}
	return out
}

// adoptCordons takes what a peer that is further has in force.
func (g *group) adoptCordons(head *peerv1.Change) {
	var list []cordon.Request
	for _, c := range head.GetCordoned() {
		if c.GetDomain() == "" {
			g.log.WithField("revision", c.GetRevision()).Error("peer tells of a cordon without a failure domain, it is passed over")
			continue
		}
		list = append(list, cordon.Request{Domain: c.GetDomain(), Revision: revision.FromWire(c.GetRevision())})
	}
	g.cordons.Replace(list, revision.FromWire(head.GetRevision()), clock.SinceBoot())
}
