package routing

import (
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/pkg/errors"
)

// ErrBase says that a change does not begin at the version that it was applied to.
var ErrBase = errors.New("change of another version")

// Content is a whole version, as an operator writes it.
type Content struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Services []*Service
	Teams    []*Team
	// KeysRequired says that the configuration names teams, so that routes which are not
	// public need a key.
	KeysRequired bool
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	keyed    bool
	services map[string]*Service
	// routes are by routeKey, teams by name; keys leads from a key to its holder.
	routes *iradix.Tree[*Route]
	teams  *iradix.Tree[*Team]
	keys   *iradix.Tree[*Team]
}

// New builds a version from its whole content.
func New(c Content) *Config {
	next, _ := empty().Next(c, func() {})
	return next
}

func empty() *Config {
	return &Config{routes: iradix.New[*Route](), teams: iradix.New[*Team](), keys: iradix.New[*Team]()}
}

// hostEnd stands between host and path in a key: no host may be the beginning of
// another's key.
const hostEnd = 0

func routeKey(host, path string) []byte { return appendRouteKey(nil, host, path) }

func appendRouteKey(key []byte, host, path string) []byte {
	key = append(key, strings.ToLower(host)...)
	key = append(key, hostEnd)
	return append(key, path...)
}

// usualKey is the length in bytes up to which a lookup allocates nothing.
const usualKey = 256

// Match returns the route of the host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	var key [usualKey]byte
	_, r, _ := c.routes.Root().LongestPrefix(appendRouteKey(key[:0], host, path))
	return r
}

// Service returns a service, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// NeedsKey reports whether requests of a route must bear a team's key.
func (c *Config) NeedsKey(r *Route) bool { return c.keyed && !r.Public }

// TeamByKey returns the holder of a key, or nil.
func (c *Config) TeamByKey(key string) *Team {
	t, _ := c.keys.Get([]byte(key))
	return t
}

// Routes counts the routes.
func (c *Config) Routes() int { return c.routes.Len() }

// Next is the version with a content, and the change that leads there. What is equal
// in both is shared. pause is called between parts of a long comparison.
func (c *Config) Next(content Content, pause func()) (*Config, *Change) {
	ch := &Change{
		Base: c.Version, Version: content.Version, Limits: content.Limits,
		Services: content.Services, KeysRequired: content.KeysRequired,
	}
	ch.diffRoutes(c, content.Routes, pause)
	ch.diffTeams(c, content.Teams)
	next, err := c.Apply(ch)
	if err != nil {
		panic("routing: a change does not apply to its own base: " + err.Error())
	}
	return next, ch
}

// Apply is the version that a change leads to. Errors: ErrBase.
func (c *Config) Apply(ch *Change) (*Config, error) {
	u, err := c.begin(ch)
	if err != nil {
		return nil, err
	}
	u.insert(ch.DropRoutes, ch.SetRoutes)
	return u.config(), nil
}

// applyTeams takes all keys of changed teams away before it gives any: a key may have
// passed from one team to another.
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

// without is the same version with keys taken away.
func (c *Config) without(keys []string) *Config {
	txn := c.keys.Txn()
	for _, key := range keys {
		txn.Delete([]byte(key))
	}
	next := *c
	next.keys = txn.Commit()
	return &next
}

// whole is the change that leads from nothing to the version.
func (c *Config) whole() *Change {
	ch := &Change{Version: c.Version, Limits: c.Limits, KeysRequired: c.keyed}
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
