package backends

import (
	"time"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/placement"
	"kingcupplank.example/kingcup/prefill"
	"kingcupplank.example/kingcup/routing"
)

// Query says what kind of server a request needs.
type Query struct {
	Service string
	// ExpectedTokens is the memory in tokens that the request is expected to need at its peak.
	// PromptTokens is the number of prompt tokens that a server has to read before it answers.
	ExpectedTokens, PromptTokens int
	// HeldTokens is the part of ExpectedTokens that the request holds from its start, 0 for all.
	HeldTokens int
	// Horizon has the request checked against the memory that the server's runs will hold by the
	// end of it, see placement.Request; 0 for their expected peak. TokensPerEvent and MeanPause
	// give the growth of a run.
	Horizon        time.Duration
	TokensPerEvent int
	MeanPause      time.Duration
	// PromptSpeed is the rate at which servers read prompts, in tokens per second.
	PromptSpeed float64
	// MaxMemoryUse bounds the fraction of its memory that the server may have in use,
	// including this request. MaxPromptPending bounds the prompt tokens that the server reads
	// before this request's. 0 is no bound.
	MaxMemoryUse     float64
	MaxPromptPending int
	// MaxServiceMemoryUse bounds the fraction of their memory that all servers of the
	// service have in use together, 0 is no bound.
	MaxServiceMemoryUse float64
	// Tried are the ids of servers that must not be chosen again.
	Tried []string
	// PreferredDomain is the failure domain to prefer, by default the process's own.
	// SameDomainOnly excludes servers of all other failure domains.
	PreferredDomain string
	SameDomainOnly  bool
	// Regions are the regions in which the request may run.
	Regions routing.Regions
	// RequiredSoftware is the only version of the servers' software that may be chosen, nil for all.
	// An unknown version is none that may be chosen.
	RequiredSoftware *string
	// Lasting prefers servers whose software version is not being replaced, where one has room: the
	// request can be resumed at no other version.
	Lasting bool
	// SharedTime is the current time on the clock that all processes share. It decides which
	// process may send to a server with a bounded rate.
	SharedTime pacing.SharedTime
	// Turns limits the choice to servers that this process may use in the current period, nil
	// for all.
	Turns *flow.Turns
	// Spill allows servers of other cells where the process's own cell has none with capacity.
	// What processes of other cells send there is not known here.
	Spill bool
	// OwnLoadOnly ignores the loads that other processes have reported. They are older than a
	// short request takes, and all processes would choose the server that seemed idle.
	OwnLoadOnly bool
	// MaxPause and PauseStretch bound the pauses of a long response, see placement.Request.
	MaxPause     time.Duration
	PauseStretch float64
	// Kind is the kind of the generation, for services whose engines read prompts apart from
	// streams. ForStream asks for a server to which a run is moved after its prompt; see
	// placement.Request.
	Kind      prefill.Kind
	ForStream bool
	// ForCopy asks for a server to copy a run's memory to. CopySpeed is the rate in tokens of
	// memory per second that a server's link transfers.
	ForCopy   bool
	CopySpeed float64
	// Evictable asks for a server for an evictable standby copy. Such a query
	// counts the memory of all copies, any other only of those that are not evictable.
	Evictable bool
	// OtherDomainsOnly excludes the servers of PreferredDomain.
	OtherDomainsOnly bool
	// Draw is a random number that seeds the choice.
	Draw uint64
}

// Acquire picks a server and counts the request as running there until the reservation is
// released. It returns nil if no server can accept the request.
func (r *Registry) Acquire(q Query, now time.Duration) *Reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planRoles(q, now)
	views, list := r.views(q, now)
	preferred := q.PreferredDomain
	if preferred == "" {
		preferred = r.domain
	}
	req := &placement.Request{
		FailureDomain: preferred, SameDomainOnly: q.SameDomainOnly, OtherDomainsOnly: q.OtherDomainsOnly, Regions: q.Regions, Tried: q.Tried,
		RequiredSoftware: q.RequiredSoftware,
		Tokens:           q.ExpectedTokens, MaxMemoryUse: q.MaxMemoryUse, Horizon: q.Horizon, TokensPerEvent: q.TokensPerEvent, MeanPause: q.MeanPause,
		PromptSpeed: q.PromptSpeed, MaxPromptPending: q.MaxPromptPending,
		MaxPause: q.MaxPause, PauseStretch: q.PauseStretch, ForStream: q.ForStream, CopySpeed: q.CopySpeed,
	}
	r.applyRoles(req, q)
	divided := cells.IsDivided(len(views), r.cellCount)
	if divided {
		req.IsCandidate = func(k int) bool { return r.inOwnCell(list[k], len(list)) }
	}
	if q.MaxServiceMemoryUse > 0 && placement.MemoryUtilization(req, views) > q.MaxServiceMemoryUse {
		return nil
	}
	drawCount := r.drawCount(len(views))
	if divided {
		drawCount = max(2, drawCount/r.cellCount)
	}
	if q.Turns != nil {
		// No other process uses these servers in this period, so the best of all is chosen.
		req.IsOwnTurn, req.Reserved, drawCount = q.Turns.IsOwnTurn, q.Turns.Reserved, len(views)
	}
	policy := r.policy
	if q.ForCopy {
		policy = r.copyPolicy
	}
	best := func() int {
		i := policy.BestOf(drawCount, req, views, q.Draw)
		if i < 0 && divided && q.Spill {
			candidates := req.IsCandidate
			req.IsCandidate = nil
			i = policy.BestOf(drawCount, req, views, q.Draw)
			req.IsCandidate = candidates
		}
		return i
	}
	i := -1
	if retiring := r.retiringIfLasting(q, now); len(retiring) > 0 {
		bound := req.MaxMemoryUse
		req.AvoidSoftware, req.MaxMemoryUse = retiring, maxLastingMemoryUse
		i = best()
		req.AvoidSoftware, req.MaxMemoryUse = nil, bound
	}
	if i < 0 {
		i = best()
	}
	if i < 0 {
		return nil
	}
	s := list[i]
	if l := s.pacingLimit(r.traits(q.Service), now); l.Rate > 0 {
		s.pacer.RecordSent(r.share(len(list)), l, q.SharedTime, now)
	}
	return r.reserve(s, q, len(list))
}

// maxLastingMemoryUse is the part of its memory up to which a server is preferred because its version is not
// being replaced. Requests that are placed at fuller servers wait longer than they gain.
const maxLastingMemoryUse = 0.8

// retiringIfLasting returns the versions that a request with Lasting set avoids.
func (r *Registry) retiringIfLasting(q Query, now time.Duration) []string {
	if !q.Lasting {
		return nil
	}
	return r.retiringVersions(q.Service, now)
}

// drawsPerProcess is how many servers each process draws when all choose at the same time, as
// a multiple of the number of servers per process.
const drawsPerProcess = 5

// drawCount returns the number of randomly drawn servers among which a choice is made. Loads
// reported by other processes are about 100 ms old. If every process chose the best of all
// servers, all would choose the same one.
func (r *Registry) drawCount(servers int) int {
	return max(2, (drawsPerProcess*servers+len(r.remoteLoads))/(len(r.remoteLoads)+1))
}

// views describes the servers of a service for a placement policy. mu must be held. The result is
// valid until mu is released.
func (r *Registry) views(q Query, now time.Duration) ([]placement.Server, []*server) {
	list := r.listed(q.Service)
	traits := r.traits(q.Service)
	r.scratch = r.scratch[:0]
	meanPause := meanPause(list, now)
	planner := r.planners[q.Service]
	for _, s := range list {
		load, standby := r.load(s), 0
		if q.OwnLoadOnly {
			load = s.ownLoad
		}
		if !q.Evictable {
			load, standby = load.withoutStandby(), max(0, load.Standby)
		}
		// A run that is resumed from its copy can't wait for the rate limit, so rate-limited
		// servers get no copies.
		paced := q.ForCopy && s.rateLimit.limited || !r.canSend(s, s.pacingLimit(traits, now), len(list), q.SharedTime, now)
		r.scratch = append(r.scratch, placement.Server{
			Name: s.ID, FailureDomain: s.FailureDomain, Region: r.domainRegions[s.FailureDomain], Connected: true,
			SoftwareVersion: s.SoftwareVersion,
			Leaving:         s.Leaving, Cordoned: r.cordoned[s.FailureDomain], Down: r.isDown(s, now), BackingOff: now < s.backoffUntil,
			Cold: now < s.coldUntil, Paced: paced, FailureRate: s.failureRate(now),
			Avoid:   now < s.avoidUntil || s.missingUntil > 0 || r.avoidForLosses(s, now) || r.backsOffElsewhere(s),
			Running: load.Running, Slots: s.Slots, PromptPending: max(0, load.PromptTokens), CopyPending: max(0, load.CopyTokens),
			MemoryTotal: uint64(traits.MemoryTokens), MemoryForecast: uint64(max(0, load.ExpectedTokens)),
			MemoryHeld: uint64(max(0, load.Held())), StandbyTokens: standby,
			UsualPause: comparablePause(s.usualPause(now), meanPause), Role: planner.Role(s.ID), InDip: s.inDip(now),
			Slowness: planner.Slowness(s.usualPause(now)),
		})
	}
	return r.scratch, list
}
