package routing

import (
	"slices"
	"strings"
)

// RouteID names a route within a version.
type RouteID struct{ Host, Prefix string }

// Change leads from one version to another.
type Change struct {
	// Base is the version that it begins at; 0 is nothing, and the change then holds
	// the whole version.
	Base, Version uint64
	// Limits, Services and Keyed are those of the later version, whole: they are few.
	Limits       Limits
	Services     []*Service
	KeysRequired bool
	// DropRoutes goes before Set.
	DropRoutes []RouteID
	SetRoutes  []*Route
	// DropTeams goes before SetTeams.
	DropTeams []string
	SetTeams  []*Team
}

// Size counts the rows that a change touches.
func (ch *Change) Size() int {
	return len(ch.DropRoutes) + len(ch.SetRoutes) + len(ch.DropTeams) + len(ch.SetTeams)
}

// comparedAtOnce is how many routes are compared without a pause: 1 ms of a whole core.
const comparedAtOnce = 1024

// diffRoutes notes what leads from c's routes to a list. Of two routes with the same
// host and prefix the first one holds.
func (ch *Change) diffRoutes(c *Config, routes []*Route, pause func()) {
	listed := make(map[RouteID]bool, len(routes))
	for i, r := range routes {
		if i%comparedAtOnce == comparedAtOnce-1 {
			pause()
		}
		id := RouteID{strings.ToLower(r.Host), r.Prefix}
		if listed[id] {
			continue
		}
		listed[id] = true
		if old, ok := c.routes.Get(routeKey(r.Host, r.Prefix)); !ok || !old.equal(r) {
			ch.SetRoutes = append(ch.SetRoutes, r)
		}
	}
	for it, i := c.routes.Root().Iterator(), 0; ; i++ {
		_, old, ok := it.Next()
		if !ok {
			return
		}
		if i%comparedAtOnce == comparedAtOnce-1 {
			pause()
		}
		if id := (RouteID{strings.ToLower(old.Host), old.Prefix}); !listed[id] {
			ch.DropRoutes = append(ch.DropRoutes, id)
		}
	}
}

func (ch *Change) diffTeams(c *Config, teams []*Team) {
	listed := make(map[string]bool, len(teams))
	for _, t := range teams {
		listed[t.Name] = true
		if old, ok := c.teams.Get([]byte(t.Name)); !ok || !old.equal(t) {
			ch.SetTeams = append(ch.SetTeams, t)
		}
	}
	for it := c.teams.Root().Iterator(); ; {
		_, old, ok := it.Next()
		if !ok {
			return
		}
		if !listed[old.Name] {
			ch.DropTeams = append(ch.DropTeams, old.Name)
		}
	}
}

// taken are the keys in force at c that the change takes away.
func (ch *Change) taken(c *Config) (keys []string) {
	kept := make(map[string]bool)
	for _, t := range ch.SetTeams {
		for _, key := range t.Keys {
			kept[key] = true
		}
	}
	take := func(name string) {
		old, ok := c.teams.Get([]byte(name))
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
			take(name)
		}
		for _, t := range ch.SetTeams {
			take(t.Name)
		}
		return keys
	}
	for it := c.teams.Root().Iterator(); ; {
		_, old, ok := it.Next()
		if !ok {
			return keys
		}
		take(old.Name)
	}
}

// Join is the change that does what two do, one after the other.
func Join(first, second *Change) *Change {
	out := *second
	out.Base = first.Base
	out.DropRoutes, out.SetRoutes = joined(first.DropRoutes, second.DropRoutes, first.SetRoutes, second.SetRoutes, func(r *Route) RouteID {
		return RouteID{strings.ToLower(r.Host), r.Prefix}
	})
	out.DropTeams, out.SetTeams = joined(first.DropTeams, second.DropTeams, first.SetTeams, second.SetTeams, func(t *Team) string { return t.Name })
	return &out
}

// joined keeps of rows the last that was said.
func joined[K comparable, R any](drop1, drop2 []K, set1, set2 []R, key func(R) K) (drop []K, set []R) {
	later := make(map[K]bool, len(drop2)+len(set2))
	for _, k := range drop2 {
		later[k] = true
	}
	for _, r := range set2 {
		later[key(r)] = true
	}
	for _, k := range drop1 {
		if !later[k] {
			drop = append(drop, k)
		}
	}
	for _, r := range set1 {
		if !later[key(r)] {
			set = append(set, r)
		}
	}
	return slices.Concat(drop, drop2), slices.Concat(set, set2)
}
