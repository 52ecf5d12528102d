package gateway

import (
	"slices"

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

// putCordons adds all cordons to the head of a response to a peer that is behind. Each response
// has all of them, as there are fewer cordons than failure domains.
func (g *group) putCordons(head *peerv1.Change) {
	list, at := g.cordons.List()
	head.CordonRevision = at.Wire()
	for _, r := range list {
		head.Cordoned = append(head.Cordoned, &peerv1.Cordon{Domain: r.Domain, Revision: r.Revision.Wire()})
	}
}

// adoptCordons replaces the cordons with those in a peer's response, unless these are older. A
// peer that is behind may be asked, since only its response shows that it is.
func (g *group) adoptCordons(head *peerv1.Change) {
	var list []cordon.Request
	for _, c := range head.GetCordoned() {
		if c.GetDomain() == "" {
			g.log.WithField("revision", c.GetRevision()).Error("skipped a cordon without a failure domain from a peer")
			continue
		}
		list = append(list, cordon.Request{Domain: c.GetDomain(), Revision: revision.FromWire(c.GetRevision())})
	}
	at := revision.FromWire(head.GetCordonRevision())
	if at.IsZero() {
		// A peer of an earlier release sends no revision of its list, which is at least as new
		// as its table.
		at = revision.FromWire(head.GetRevision())
	}
	if own, ownAt := g.cordons.List(); !g.cordons.Replace(list, at, clock.SinceBoot()) && !slices.Equal(own, list) {
		g.log.WithFields(logrus.Fields{"revision": at.String(), "own": ownAt.String()}).Info("cordons of a peer are older than the own ones, kept these")
	}
}

// countCordons returns the number of cordoned failure domains, as a metric.
func (g *group) countCordons() float64 {
	list, _ := g.cordons.List()
	return float64(len(list))
}
