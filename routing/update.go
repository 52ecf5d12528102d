package routing

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/pkg/errors"
)

// Update builds a version from a change whose routes arrive in parts. Applying a large change at
// once would delay the streams of a VM with little processor time. Nothing of the version is in
// force before it is committed. It is not safe for concurrent use.
type Update struct {
	// Change is what has arrived so far. Teams, KeysRequired, Services and Limits are set before
	// the commit. Routes are added by Add.
	*Change
	base   *Config
	routes *iradix.Txn[*Route]
}

// begin starts an update by a change. Errors: ErrBaseMismatch.
func (c *Config) begin(ch *Change) (*Update, error) {
	if ch.Base == 0 {
		c = empty()
	}
	if c.Version != ch.Base {
		return nil, errors.Wrapf(ErrBaseMismatch, "base is %d, version in force is %d", ch.Base, c.Version)
	}
	return &Update{Change: ch, base: c, routes: c.routes.Txn()}, nil
}

// Add applies a part of the route changes. drop is applied before set.
func (u *Update) Add(drop []RouteID, set []*Route) {
	u.DropRoutes = append(u.DropRoutes, drop...)
	u.SetRoutes = append(u.SetRoutes, set...)
	u.insert(drop, set)
}

func (u *Update) insert(drop []RouteID, set []*Route) {
	for _, id := range drop {
		u.routes.Delete(routeKey(id.Host, id.Prefix))
	}
	for _, r := range set {
		u.routes.Insert(routeKey(r.Host, r.Prefix), r)
	}
}

// config returns the version that the update results in.
func (u *Update) config() *Config {
	next := &Config{
		Version: u.Version, Limits: u.Limits, keysRequired: u.KeysRequired, services: make(map[string]*Service, len(u.Services)),
	}
	for _, s := range u.Services {
		next.services[s.Name] = s
	}
	next.routes = u.routes.Commit()
	next.teams, next.keys = u.base.applyTeams(u.Change)
	return next
}
