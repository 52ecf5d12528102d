// Package placement chooses the backend server for a request. A choice has three steps:
// filters drop the servers that cannot take the request, scorers rate the remaining ones,
// and a picker selects one with a high score. An entry's view of the load is incomplete
// and out of date, but a wrong choice costs little, because the agent then refuses the
// request.
//
// The package does no I/O and keeps no state; all functions are safe for concurrent use.
package placement

import (
	"math/rand/v2"
	"time"

	"kingcupplank.example/kingcup/prefill"
	"kingcupplank.example/kingcup/routing"
)

// Server is what this process knows about one backend server.
type Server struct {
	Name          string
	FailureDomain string
	// Region contains the failure domain, empty if unknown.
	Region   string
	Models   []string
	Adapters []string
	// SoftwareVersion is the version of the server's software, empty if unknown.
	SoftwareVersion string
	Leaving         bool
	// Cordoned marks a server of a failure domain whose servers get nothing new.
	Cordoned  bool
	Connected bool
	// Age is the time since the last load report.
	Age time.Duration
	// Running, Queued, MemoryForecast and MemoryTotal are from the last load report.
	Running, Queued             int
	MemoryForecast, MemoryTotal uint64
	// MemoryHeld is the part of MemoryForecast that the requests hold now.
	MemoryHeld uint64
	// SentSinceReport is the number of requests that this process has sent since that report.
	SentSinceReport int
	// PromptPending is the number of prompt tokens that the server reads before the prompt
	// of a new request.
	PromptPending int
	// CopyPending is the number of memory tokens that are being copied to the server.
	CopyPending int
	// UsualPause is the usual time between two events of a stream of the server, 0 if unknown.
	UsualPause time.Duration
	// StandbyTokens is the memory of standby copies, in tokens, that MemoryForecast does not
	// contain as they are evictable.
	StandbyTokens int
	// Role is what the server is used for where prompts are read apart from streams. InDip marks a
	// server whose streams have pauses far above the usual.
	Role  prefill.Role
	InDip bool
	// Slowness is how many times longer than usual the server takes to read a prompt.
	Slowness float64
	// Slots is the number of requests that the server runs at once, 0 if unknown.
	Slots int
	// FailureRate is the share of failures among its recent responses.
	FailureRate float64
	// Avoid marks a server that is ranked last, for example because it refused a request or
	// was unreachable a moment ago.
	Avoid bool
	// Down marks a server that refuses connections. BackingOff marks a server that has
	// asked this process to send nothing for some time.
	Down, BackingOff bool
	// Cold marks a server that is still slow after its start. Paced marks a server with a
	// bounded rate, because it is cold or sends a rate limit, that must get nothing from
	// this process for now.
	Cold, Paced bool
}

// Request describes the request for which a server is chosen.
type Request struct {
	Team          string
	Model         string
	Adapter       string
	FailureDomain string
	// Tried are the servers that have already refused the request.
	Tried []string
	// Regions are the regions in which the request may run.
	Regions routing.Regions
	// RequiredSoftware is the only version of the servers' software that may be chosen, nil for all. An
	// unknown version is none that may be chosen.
	RequiredSoftware *string
	// AvoidSoftware are versions of the servers' software that may not be chosen.
	AvoidSoftware []string
	// Tokens is the memory that the request is expected to need, in tokens.
	Tokens int
	// Horizon is the expected time for which a short request holds its memory. The memory that the
	// server's requests will hold by then bounds the choice in place of their expected peak. 0
	// stands for the peak. TokensPerEvent and MeanPause, the usual pause of the service's
	// servers, give the growth of a request.
	Horizon        time.Duration
	TokensPerEvent int
	MeanPause      time.Duration
	// PromptSpeed is the number of prompt tokens per second that a server reads.
	PromptSpeed float64
	// MaxMemoryUse bounds the share of a server's memory in use including this request.
	// MaxPromptPending bounds the prompt tokens that are read before this request. 0 is no
	// bound.
	MaxMemoryUse     float64
	MaxPromptPending int
	// MaxPause is the longest pause between two events with which the response is on time, 0
	// if there is no bound or the response is short. PauseStretch is the expected ratio of the
	// longest pause of a response to the usual pause of its server.
	MaxPause     time.Duration
	PauseStretch float64
	// Kind is the kind of the generation where prompts are read apart from streams. ForStream drops
	// servers to which a run that has read its prompt elsewhere must not be moved.
	Kind      prefill.Kind
	ForStream bool
	// PromptTokens is the number of prompt tokens of the request.
	PromptTokens int
	// CopySpeed is the number of memory tokens per second that a server's link transfers.
	CopySpeed float64
	// SameDomainOnly drops servers of other failure domains.
	SameDomainOnly bool
	// OtherDomainsOnly drops servers of the request's own failure domain.
	OtherDomainsOnly bool
	// IsCandidate restricts the choice to some servers, by their index; nil allows all.
	IsCandidate func(i int) bool
	// IsOwnTurn reports whether this process may use a server in the current period (see
	// flow.Turns); nil allows all. Reserved is the number of servers that are left to more
	// urgent requests elsewhere.
	IsOwnTurn func(server string) bool
	Reserved  int
}

// Filter reports whether a server can take a request.
type Filter func(r *Request, s *Server) bool

// Scorer rates a server for a request. A full score is 1; some scorers go below 0.
type Scorer struct {
	Weight float64
	Score  func(r *Request, s *Server) float64
}

// Policy is a chain of filters and scorers.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
}

// Default returns the policy of the entry.
func Default() Policy {
	return Policy{
		Filters: []Filter{Reachable, NotLeaving, ServesModel, NotTried},
		Scorers: []Scorer{
			{Weight: 1.0, Score: Headroom},
			{Weight: 0.1, Score: SameDomain},
		},
	}
}

// Direct returns the policy for requests that go to servers without an agent in between.
// The load of a server is what this process knows of it. The weights rank a failing server behind
// healthy ones, and a server that refused a moment ago behind both.
func Direct() Policy {
	return Policy{
		Filters: []Filter{NotLeaving, NotDown, NotBackingOff, NotCordoned, InRegions, RunsRequiredSoftware, NotTried, InDomain, WithinBounds, NotPaced, TakesStreams},
		Scorers: []Scorer{
			{Weight: 1.0, Score: FreeCapacity},
			{Weight: 1.0, Score: PromptWait},
			{Weight: 4, Score: KeepsPace},
			{Weight: 1.0, Score: SuitsRole},
			{Weight: 1.0, Score: Healthy},
			{Weight: 2.0, Score: NotAvoided},
			{Weight: 0.3, Score: Warm},
			{Weight: 0.03, Score: SameDomain},
			{Weight: 0.1, Score: KeepsStandby},
		},
	}
}

// CopyTarget returns the policy for the target of a copy of a run's memory. A copy across
// failure domains takes twice as long, and a leaving server leaves little time, so another
// domain is chosen only if the domain of the run has no free capacity. Copies to one server go one
// after the other, so a server that is already receiving copies ranks behind a server with
// less free memory. A server refuses the copy of a run until standby copies there are dropped,
// while a request waits for that, so standby copies weigh more here than for requests.
func CopyTarget() Policy {
	p := Direct()
	p.Scorers = append(p.Scorers, Scorer{Weight: 0.6, Score: SameDomain}, Scorer{Weight: 1.0, Score: KeepsStandby}, Scorer{Weight: 1.5, Score: CopyWait})
	return p
}

// BestOf draws some eligible servers at random and returns the index of the one with the
// highest score, or -1 if none is eligible. With as many draws as servers it is the best
// of all, which suits an up-to-date view. Processes that choose at the same moment by the
// same view would then all choose the same server; fewer draws spread them.
func (p Policy) BestOf(draws int, r *Request, servers []Server, random uint64) int {
	var buf [stackServers]int
	eligible, inTurn := p.eligible(r, servers, buf[:0])
	if eligible <= r.Reserved || len(inTurn) == 0 {
		return -1
	}
	rng := rand.New(rand.NewPCG(random, random))
	draws = min(draws, len(inTurn))
	start := rng.IntN(len(inTurn))
	best, top := -1, 0.0
	for k := range inTurn {
		// Each remaining server is drawn with equal probability.
		if rng.IntN(len(inTurn)-k) >= draws {
			continue
		}
		draws--
		i := inTurn[(start+k)%len(inTurn)]
		if score := p.score(r, &servers[i]); best < 0 || score > top {
			best, top = i, score
		}
	}
	return best
}

// stackServers is the number of servers up to which a choice does not allocate.
const stackServers = 128

// eligible returns the number of servers that can take the request. It appends to indices
// the index of each of them that is this process's turn.
func (p Policy) eligible(r *Request, servers []Server, indices []int) (int, []int) {
	n := 0
	for i := range servers {
		if r.IsCandidate != nil && !r.IsCandidate(i) || !p.passes(r, &servers[i]) {
			continue
		}
		n++
		if isOwnTurn(r, &servers[i]) {
			indices = append(indices, i)
		}
	}
	return n, indices
}

func isOwnTurn(r *Request, s *Server) bool { return r.IsOwnTurn == nil || r.IsOwnTurn(s.Name) }

// Pick returns the index of the server to ask, or -1 if none is eligible. It draws two
// servers at random and returns the one with the higher score. Always taking the best
// would make all entries choose the same server at once, because their views are out of
// date.
func (p Policy) Pick(r *Request, servers []Server, random uint64) int {
	eligible := make([]int, 0, len(servers))
	for i := range servers {
		if p.passes(r, &servers[i]) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return -1
	}
	first := int(uint32(random)) % len(eligible)
	second := int(uint32(random>>32)) % len(eligible)
	if second == first {
		second = (first + 1) % len(eligible)
	}
	if p.score(r, &servers[eligible[second]]) > p.score(r, &servers[eligible[first]]) {
		first = second
	}
	return eligible[first]
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
