// Package placement chooses the backend server that an entry asks first. A
// choice passes three steps: filters drop servers that can't take the request,
// scorers rank the rest, a picker takes one of the best. The view of the load
// is partial and lags, so a wrong choice is cheap: the agent refuses.
//
// The package is pure; all functions are safe for concurrent use.
package placement

import (
	"math/rand/v2"
	"time"

	"kingcupplank.example/kingcup/routing"
)

// Server is what an entry knows of one backend server.
type Server struct {
	Name          string
	FailureDomain string
	// Region holds the failure domain, empty if unknown.
	Region   string
	Models   []string
	Adapters []string
	Leaving  bool
	// Cordoned marks a server of a failure domain that gets nothing.
	Cordoned  bool
	Connected bool
	// Age is the time since the load was reported.
	Age time.Duration
	// Running, Queued and the memory figures are as last reported.
	Running, Queued             int
	MemoryForecast, MemoryTotal uint64
	// SentSinceReport is the number of requests this entry has sent since that report.
	SentSinceReport int
	// PromptPending is the prompt tokens that are read before a new request's.
	PromptPending int
	// CopyPending is the tokens of memory that are being copied to the server.
	CopyPending int
	// Slots is how many requests the server runs at once, 0 if unknown.
	Slots int
	// FailureRate is the share of recent answers that were failures.
	FailureRate float64
	// Avoid marks a server that refused or could not be reached a moment ago.
	Avoid bool
	// Down marks a server that does not listen, BackingOff one that wants nothing of this process
	// for now.
	Down, BackingOff bool
	// Cold marks a server that is still slow after its start, Paced one that takes no
	// more of this process for now.
	Cold, Paced bool
}

// Request is what a choice is made for.
type Request struct {
	Team          string
	Model         string
	Adapter       string
	FailureDomain string
	// Tried are the servers that have refused the request.
	Tried []string
	// Regions are where the request may run.
	Regions routing.Regions
	// Tokens is the memory that the request is expected to need.
	Tokens int
	// PromptSpeed is the prompt tokens a second that servers read.
	PromptSpeed float64
	// MaxMemoryUse bounds the part of memory in use with the request, MostPrompt the
	// prompt tokens to be read before it; 0 is no bound.
	MaxMemoryUse     float64
	MaxPromptPending int
	// CopySpeed is the tokens of memory a second that a server's link takes.
	CopySpeed float64
	// SameDomainOnly drops servers of other failure domains.
	SameDomainOnly bool
	// IsCandidate bounds the choice to some servers, by their index; nil for all.
	IsCandidate func(i int) bool
	// IsOwnTurn tells whose turn it is at a server, nil where there are no turns. Yield is
	// the number of servers that are left to others.
	IsOwnTurn func(server string) bool
	Reserved  int
}

// Filter reports whether a server can take a request.
type Filter func(r *Request, s *Server) bool

// Scorer rates a server for a request; the scale is 0 to 1.
type Scorer struct {
	Weight float64
	Score  func(r *Request, s *Server) float64
}

// Policy is a chain of filters and scorers.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
}

// Default is the policy of the entry.
func Default() Policy {
	return Policy{
		Filters: []Filter{Reachable, NotLeaving, ServesModel, NotTried},
		Scorers: []Scorer{
			{Weight: 1.0, Score: Headroom},
			{Weight: 0.1, Score: SameDomain},
		},
	}
}

// Direct is the policy where requests go to servers without an agent in between,
// and the load is what this process knows of. A failing server must lose against
// every other, a server that refused a moment ago against all but failing ones.
func Direct() Policy {
	return Policy{
		Filters: []Filter{NotLeaving, NotEnded, NotResting, NotCordoned, InRegions, NotTried, InDomain, WithinBounds, NotPaced},
		Scorers: []Scorer{
			{Weight: 1.0, Score: Room},
			{Weight: 1.0, Score: PromptRead},
			{Weight: 1.0, Score: Healthy},
			{Weight: 2.0, Score: NotAvoided},
			{Weight: 0.3, Score: Warm},
			{Weight: 0.03, Score: SameDomain},
		},
	}
}

// CopyTarget is the policy for the target of a copy of a run's memory. A copy across
// failure domains takes twice as long, and a server that leaves gives little
// time: another domain is taken only where the own one has no room. CopyTarget to one
// server go one after the other, so one that others copy to already loses against a
// fuller one.
func CopyTarget() Policy {
	p := Direct()
	p.Scorers = append(p.Scorers, Scorer{Weight: 0.6, Score: SameDomain}, Scorer{Weight: 1.5, Score: CopyWait})
	return p
}

// BestOf draws servers and returns the index of the one with the highest score, or
// -1. With draws as many as servers it is the best of all: right for a view that is
// up to date. Where others choose at the same moment by the same view, they would
// all choose the same one; fewer draws spread them.
func (p Policy) BestOf(draws int, r *Request, servers []Server, random uint64) int {
	var buf [onStack]int
	able, mine := p.able(r, servers, buf[:0])
	if able <= r.Reserved || len(mine) == 0 {
		return -1
	}
	rng := rand.New(rand.NewPCG(random, random))
	draws = min(draws, len(mine))
	start := rng.IntN(len(mine))
	best, top := -1, 0.0
	for k := range mine {
		// Each of those left is drawn with equal chance.
		if rng.IntN(len(mine)-k) >= draws {
			continue
		}
		draws--
		i := mine[(start+k)%len(mine)]
		if score := p.score(r, &servers[i]); best < 0 || score > top {
			best, top = i, score
		}
	}
	return best
}

// onStack is the number of servers that a choice is made among without allocating.
const onStack = 128

// able returns how many servers can take the request, and, behind those in mine, at
// which of them it is this process's turn.
func (p Policy) able(r *Request, servers []Server, mine []int) (int, []int) {
	n := 0
	for i := range servers {
		if r.IsCandidate != nil && !r.IsCandidate(i) || !p.passes(r, &servers[i]) {
			continue
		}
		n++
		if inTurn(r, &servers[i]) {
			mine = append(mine, i)
		}
	}
	return n, mine
}

func inTurn(r *Request, s *Server) bool { return r.IsOwnTurn == nil || r.IsOwnTurn(s.Name) }

// Pick returns the index in servers of the one to ask, or -1. Of two servers
// drawn by random it takes the better one: with a view that lags, always taking
// the best sends every entry to the same server at once.
func (p Policy) Pick(r *Request, servers []Server, random uint64) int {
	fit := make([]int, 0, len(servers))
	for i := range servers {
		if p.passes(r, &servers[i]) {
			fit = append(fit, i)
		}
	}
	if len(fit) == 0 {
		return -1
	}
	first := int(uint32(random)) % len(fit)
	second := int(uint32(random>>32)) % len(fit)
	if second == first {
		second = (first + 1) % len(fit)
	}
	if p.score(r, &servers[fit[second]]) > p.score(r, &servers[fit[first]]) {
		first = second
	}
	return fit[first]
}

func (p Policy) passes(r *Request, s *Server) bool {
	for _, f := range p.Filters {
		if !f(r, s) {
			return false
		}
	}
	return true
}

func (p Policy) score(r *Request, s *Server) float64 {
	sum := 0.0
	for _, sc := range p.Scorers {
		sum += sc.Weight * sc.Score(r, s)
	}
	return sum
}
