package routing

import (
	"iter"
	"maps"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/pkg/errors"
)

// ErrBaseMismatch is returned if a change starts from another version than the one that it is
// applied to.
var ErrBaseMismatch = errors.New("change starts from another version")

// Content is a whole version, as an operator writes it.
type Content struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Services []*Service
	Teams    []*Team
	// KeysRequired reports that the configuration contains teams, so that routes which are not
	// public need a key.
	KeysRequired bool
}

// Config is one version of the configuration.
type Config struct {
	Version      uint64
	Limits       Limits
	keysRequired bool
	services     map[string]*Service
	// routes are indexed by routeKey, teams by name. keys maps each key to the team that holds it.
	routes *iradix.Tree[*Route]
	teams  *iradix.Tree[*Team]
	keys   *iradix.Tree[*Team]
}

// New builds a version from its whole content.
func New(c Content) *Config {
	config, _ := empty().WithContent(c, func() {})
	return config
}

func empty() *Config {
	return &Config{routes: iradix.New[*Route](), teams: iradix.New[*Team](), keys: iradix.New[*Team]()}
}

// hostEnd separates host and path in a key, so that no host is a prefix of another host's key.
const hostEnd = 0

func routeKey(host, path string) []byte { return appendRouteKey(nil, host, path) }

func appendRouteKey(key []byte, host, path string) []byte {
	key = append(key, strings.ToLower(host)...)
	key = append(key, hostEnd)
	return append(key, path...)
}

// stackKeyBytes is the length in bytes up to which a lookup key needs no heap allocation.
const stackKeyBytes = 256

// Match returns the route of the host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	var key [stackKeyBytes]byte
	_, r, _ := c.routes.Root().LongestPrefix(appendRouteKey(key[:0], host, path))
	return r
}

// Service returns the service with a name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services, in no order.
func (c *Config) Services() iter.Seq[*Service] { return maps.Values(c.services) }

// NeedsKey reports whether requests of a route need a team's key.
func (c *Config) NeedsKey(r *Route) bool { return c.keysRequired && !r.Public }

// TeamByKey returns the team that holds a key, or nil.
func (c *Config) TeamByKey(key string) *Team {
	t, _ := c.keys.Get([]byte(key))
	return t
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routes.Len() }

// WithContent returns the version with a content, and the change that leads from c to it. The
// two versions share what is equal in both. pause is called at intervals during a long
// comparison.
func (c *Config) WithContent(content Content, pause func()) (*Config, *Change) {
	ch := &Change{
		Base: c.Version, Version: content.Version, Limits: content.Limits,
		Services: content.Services, KeysRequired: content.KeysRequired,
	}
	ch.diffRoutes(c, content.Routes, pause)
	ch.diffTeams(c, content.Teams)
	next, err := c.Apply(ch)
	if err != nil {
		panic("routing: change does not apply to the version that it was made from: " + err.Error())
	}
	return next, ch
}

// Apply returns the version that a change results in. Errors: ErrBaseMismatch.
func (c *Config) Apply(ch *Change) (*Config, error) {
	u, err := c.begin(ch)
	if err != nil {
		return nil, err
	}
	u.insert(ch.DropRoutes, ch.SetRoutes)
	return u.config(), nil
}

// applyTeams returns the teams and keys after a change. It removes all keys of changed teams
// before it adds any, since a key may have moved from one team to another.
func (c *Config) applyTeams(ch *Change) (teams, keys *iradix.Tree[*Team]) {
	t, k := c.teams.Txn(), c.keys.Txn()
	drop := func(name string) {
		old, ok := t.Delete([]byte(name))
		if !ok {
			return
		}
		for _, key := range old.Keys {
			if holder, _ := k.Get([]byte(key)); holder == old {
				k.Delete([]byte(key))
			}
		}
	}
	for _, name := range ch.DropTeams {
		drop(name)
	}
	for _, team := range ch.SetTeams {
		drop(team.Name)
	}
	for _, team := range ch.SetTeams {
		t.Insert([]byte(team.Name), team)
		for _, key := range team.Keys {
			k.Insert([]byte(key), team)
		}
	}
	return t.Commit(), k.Commit()
}

// withoutKeys returns the same version without some keys.
func (c *Config) withoutKeys(keys []string) *Config {
	txn := c.keys.Txn()
	for _, key := range keys {
		txn.Delete([]byte(key))
	}
	next := *c
	next.keys = txn.Commit()
	return &next
}

// fullChange returns the change that leads from an empty configuration to this version.
func (c *Config) fullChange() *Change {
	ch := &Change{Version: c.Version, Limits: c.Limits, KeysRequired: c.keysRequired}
	for _, s := range c.services {
		ch.Services = append(ch.Services, s)
	}
	slices.SortFunc(ch.Services, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	for it := c.routes.Root().Iterator(); ; {
		_, r, ok := it.Next()
		if !ok {
			break
		}
		ch.SetRoutes = append(ch.SetRoutes, r)
	}
	for it := c.teams.Root().Iterator(); ; {
		_, t, ok := it.Next()
		if !ok {
			break
		}
		ch.SetTeams = append(ch.SetTeams, t)
	}
	return ch
}
