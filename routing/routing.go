// Package routing holds the configuration that callers' requests are matched against: routes,
// services, limits and the teams' keys.
//
// A Config is one version of it. It is immutable and safe for concurrent use. A Change leads from
// one version to another. Versions share what they have in common, so the cost of putting a
// version in force depends only on the size of the change.
package routing

import (
	"slices"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce
	// Stream requests are generations, which answer with a series of numbered events. They run
	// at most once unless the route is resumable.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "once"
	}
	return "stream"
}

// Weighted is a service's part of a route's requests.
type Weighted struct {
	Service string
	// Weight is relative to the other weights of the route.
	Weight int
}

// Route determines how requests with a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits, 0 for no bound.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a stream, counts
	// as on time.
	TargetLatency time.Duration
	// MaxPause is the maximum time between two events of a stream that counts as on time.
	MaxPause time.Duration
	// EventTimeout is how long callers wait for the first or the next event of a stream before
	// they disconnect, 0 if they don't.
	EventTimeout time.Duration
	// MaxServers is the maximum number of backend servers that may run one attempt of a caller.
	MaxServers int
	// Priority ranks requests, 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by a new run after a given event.
	Resumable bool
	// Split divides the requests among services.
	Split []Weighted
	// Regions are the regions in which requests of the route may run.
	Regions Regions
}

// equal reports whether two routes have equal content.
func (r *Route) equal(o *Route) bool {
	if r == o {
		return true
	}
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind &&
		r.Timeout == o.Timeout && r.TargetLatency == o.TargetLatency && r.MaxPause == o.MaxPause && r.EventTimeout == o.EventTimeout &&
		r.MaxServers == o.MaxServers && r.Priority == o.Priority && r.Public == o.Public && r.Resumable == o.Resumable &&
		slices.Equal(r.Split, o.Split) && slices.Equal(r.Regions, o.Regions)
}

// Repeatable reports whether a request of the route may run again after a run whose outcome is
// unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a random number in [0, 1), according to the weights of
// Split. It returns "" if the route has no services.
func (r *Route) PickService(random float64) string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	left := random * float64(total)
	for _, w := range r.Split {
		left -= float64(w.Weight)
		if left < 0 {
			return w.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// MemoryTokens is the memory for running requests and cached prefixes, in tokens.
	MemoryTokens int
	// BytesPerToken is the number of bytes that a migration transfers per token of memory.
	BytesPerToken int
	// LinkMbps is the bandwidth of an engine's link for migrations, in Mbit/s.
	LinkMbps float64
	// TokensPerEvent is the number of tokens in one event.
	TokensPerEvent int
	// SupportsMigration reports whether a run can continue at another engine by a copy of its
	// memory. SupportsStandby reports whether a second engine can receive a copy of a run's
	// memory as it grows.
	SupportsMigration, SupportsStandby bool
	// CopyTTL is how long an engine keeps a copy that is not used.
	CopyTTL time.Duration
}

// CopySpeed returns the rate in tokens of memory per second that an engine's link transfers, 0 if
// it is unknown.
func (e *Engine) CopySpeed() float64 {
	if e.BytesPerToken <= 0 {
		return 0
	}
	return e.LinkMbps * 1e6 / 8 / float64(e.BytesPerToken)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns is how many connections a server accepts from all callers.
	MaxConns int
	// Engine is nil for services without engines.
	Engine *Engine
	// ColdTime is how long a server is cold after its start. ColdRate is the rate in requests per
	// second that a cold server accepts from all processes together, 0 for no bound.
	ColdTime time.Duration
	ColdRate float64
}

// Limits bound what a caller may send. 0 is no bound.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Team is a customer with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions in which the team's requests may run.
	Regions Regions
}

// equal reports whether two teams have equal content.
func (t *Team) equal(o *Team) bool {
	return t == o || t.Name == o.Name && t.Priority == o.Priority && t.HasPriority == o.HasPriority && slices.Equal(t.Keys, o.Keys) && slices.Equal(t.Regions, o.Regions)
}
