package routing

import (
	"slices"
	"strings"
)

// RouteID identifies a route within a version.
type RouteID struct{ Host, Prefix string }

// Change is the difference between two versions of the configuration.
type Change struct {
	// Base is the version that the change starts from, Version the one that it results in. If
	// Base is 0, the change starts from an empty configuration and contains the whole version.
	Base, Version uint64
	// Limits, Services and KeysRequired are those of Version, in full since they are small.
	Limits       Limits
	Services     []*Service
	KeysRequired bool
	// DropRoutes is applied before SetRoutes.
	DropRoutes []RouteID
	SetRoutes  []*Route
	// DropTeams is applied before SetTeams.
	DropTeams []string
	SetTeams  []*Team
}

// Size returns the number of rows that the change affects.
func (ch *Change) Size() int {
	return len(ch.DropRoutes) + len(ch.SetRoutes) + len(ch.DropTeams) + len(ch.SetTeams)
}

// routesPerPause is how many routes are compared between two calls of pause. That takes 1 ms of
// a whole core.
const routesPerPause = 1024

// diffRoutes adds the changes that lead from the routes of base to a list of routes. If several
// routes of the list have the same host and prefix, the first one is used.
func (ch *Change) diffRoutes(base *Config, routes []*Route, pause func()) {
	listed := make(map[RouteID]bool, len(routes))
	for i, r := range routes {
		if i%routesPerPause == routesPerPause-1 {
			pause()
		}
		id := RouteID{strings.ToLower(r.Host), r.Prefix}
		if listed[id] {
			continue
		}
		listed[id] = true
		if old, ok := base.routes.Get(routeKey(r.Host, r.Prefix)); !ok || !old.equal(r) {
			ch.SetRoutes = append(ch.SetRoutes, r)
		}
	}
	for it, i := base.routes.Root().Iterator(), 0; ; i++ {
		_, old, ok := it.Next()
		if !ok {
			return
		}
		if i%routesPerPause == routesPerPause-1 {
			pause()
		}
		if id := (RouteID{strings.ToLower(old.Host), old.Prefix}); !listed[id] {
			ch.DropRoutes = append(ch.DropRoutes, id)
		}
	}
}

// diffTeams adds the changes that lead from the teams of base to a list of teams.
func (ch *Change) diffTeams(base *Config, teams []*Team) {
	listed := make(map[string]bool, len(teams))
	for _, t := range teams {
		listed[t.Name] = true
		if old, ok := base.teams.Get([]byte(t.Name)); !ok || !old.equal(t) {
			ch.SetTeams = append(ch.SetTeams, t)
		}
	}
	for it := base.teams.Root().Iterator(); ; {
		_, old, ok := it.Next()
		if !ok {
			return
		}
		if !listed[old.Name] {
			ch.DropTeams = append(ch.DropTeams, old.Name)
		}
	}
}

// revokedKeys returns the keys that are valid in base and that the change removes.
func (ch *Change) revokedKeys(base *Config) (keys []string) {
	kept := make(map[string]bool)
	for _, t := range ch.SetTeams {
		for _, key := range t.Keys {
			kept[key] = true
		}
	}
	addRevoked := func(name string) {
		old, ok := base.teams.Get([]byte(name))
		if !ok {
			return
		}
		for _, key := range old.Keys {
			if !kept[key] {
				keys = append(keys, key)
			}
		}
	}
	if ch.Base != 0 {
		for _, name := range ch.DropTeams {
			addRevoked(name)
		}
		for _, t := range ch.SetTeams {
			addRevoked(t.Name)
		}
		return keys
	}
	for it := base.teams.Root().Iterator(); ; {
		_, old, ok := it.Next()
		if !ok {
			return keys
		}
		addRevoked(old.Name)
	}
}

// Compose returns a single change that has the effect of first followed by second.
func Compose(first, second *Change) *Change {
	out := *second
	out.Base = first.Base
	out.DropRoutes, out.SetRoutes = composeRows(first.DropRoutes, second.DropRoutes, first.SetRoutes, second.SetRoutes, func(r *Route) RouteID {
		return RouteID{strings.ToLower(r.Host), r.Prefix}
	})
	out.DropTeams, out.SetTeams = composeRows(first.DropTeams, second.DropTeams, first.SetTeams, second.SetTeams, func(t *Team) string { return t.Name })
	return &out
}

// composeRows merges the rows of two successive changes. For a row that both affect, the second
// change wins.
func composeRows[K comparable, R any](drop1, drop2 []K, set1, set2 []R, key func(R) K) (drop []K, set []R) {
	inSecond := make(map[K]bool, len(drop2)+len(set2))
	for _, k := range drop2 {
		inSecond[k] = true
	}
	for _, r := range set2 {
		inSecond[key(r)] = true
	}
	for _, k := range drop1 {
		if !inSecond[k] {
			drop = append(drop, k)
		}
	}
	for _, r := range set1 {
		if !inSecond[key(r)] {
			set = append(set, r)
		}
	}
	return slices.Concat(drop, drop2), slices.Concat(set, set2)
}
