// Package routing holds the configuration that callers' requests are matched against:
// routes, services, limits and the teams' keys.
//
// A Config is one version, immutable and safe for concurrent use. A Change leads from
// one version to another; versions share what they have in common, so putting one in
// force costs what has changed.
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
	// AtMostOnce marks requests that run at most once for each attempt of the caller.
	AtMostOnce
	// Stream marks generations: a series of numbered events. Unless the route is
	// resumable they run at most once.
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

// Route says where requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller may be kept waiting; 0 is no bound.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, within
	// which it is on time.
	TargetLatency time.Duration
	// MaxPause is the longest pause between two events of a stream on time.
	MaxPause time.Duration
	// EventTimeout is how long callers wait for the first or the next event of a stream
	// before they leave; 0 if they do not.
	EventTimeout time.Duration
	// MaxServers is the most backend servers that may run one attempt of a caller.
	MaxServers int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by a new run after a given event.
	Resumable bool
	Split     []Weighted
	// Regions are where requests of the route may run.
	Regions Regions
}

// equal reports whether two routes say the same.
func (r *Route) equal(o *Route) bool {
	if r == o {
		return true
	}
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind &&
		r.Timeout == o.Timeout && r.TargetLatency == o.TargetLatency && r.MaxPause == o.MaxPause && r.EventTimeout == o.EventTimeout &&
		r.MaxServers == o.MaxServers && r.Priority == o.Priority && r.Public == o.Public && r.Resumable == o.Resumable &&
		slices.Equal(r.Split, o.Split) && slices.Equal(r.Regions, o.Regions)
}

// Repeatable reports whether a request of the route may run again after a run
// whose end is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a draw in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	left := draw * float64(total)
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
	// MemoryTokens is the memory for running requests and cached prefixes.
	MemoryTokens int
	// BytesPerToken is what a move transfers for a token of memory.
	BytesPerToken int
	// LinkMbps is an engine's link for moves, in Mbit/s.
	LinkMbps float64
	// TokensPerEvent is the number of tokens that one event holds.
	TokensPerEvent int
	// SupportsMigration and SupportsStandby say what the engines can do with a run's memory.
	SupportsMigration, SupportsStandby bool
	// CopyTTL is how long a copy waits to be used.
	CopyTTL time.Duration
}

// CopySpeed is the tokens of memory a second that an engine's link takes, 0 if that
// is not known.
func (e *Engine) CopySpeed() float64 {
	if e.BytesPerToken <= 0 {
		return 0
	}
	return e.LinkMbps * 1e6 / 8 / float64(e.BytesPerToken)
}

// Service is a group of backend servers that are alike.
type Service struct {
	Name string
	// MaxConns is how many connections a server takes from all callers.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
	// ColdTime is how long a server is cold after its start, ColdRate the requests a second
	// that it bears meanwhile from all processes together, 0 for no bound.
	ColdTime time.Duration
	ColdRate float64
}

// Limits bound what a caller may send; zero is no bound.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Team is a customer with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority goes before the route's if Ranked.
	Priority    int
	HasPriority bool
	// Regions are where the team's requests may run.
	Regions Regions
}

// equal reports whether two teams say the same.
func (t *Team) equal(o *Team) bool {
	return t == o || t.Name == o.Name && t.Priority == o.Priority && t.HasPriority == o.HasPriority && slices.Equal(t.Keys, o.Keys) && slices.Equal(t.Regions, o.Regions)
}
