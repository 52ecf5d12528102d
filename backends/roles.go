package backends

import (
	"math"
	"time"

	"kingcupplank.example/kingcup/placement"
	"kingcupplank.example/kingcup/prefill"
)

// remoteDipTime is how long a dip lasts that another process has reported. Processes report several
// times a second for as long as they see it.
const remoteDipTime = 300 * time.Millisecond

// inDip reports whether the server's streams have pauses far above the usual.
func (s *server) inDip(now time.Duration) bool {
	return s.ownDip.Active(now) || now < s.remoteDipUntil && now >= s.remoteDipUntil-remoteDipTime
}

// observeRolePause records a pause of a stream for the roles of the servers. mu must be held.
func (r *Registry) observeRolePause(s *server, pause time.Duration, besidePrompt bool, now time.Duration) {
	usual := s.usualPause(now)
	if usual <= 0 {
		return
	}
	planner := r.planners[s.Service]
	expected := float64(usual)
	if besidePrompt {
		expected *= planner.PromptFactor()
	}
	if s.ownDip.Observe(float64(pause)/expected, now) {
		r.dips++
	}
	if besidePrompt && planner != nil {
		planner.ObserveBesidePrompt(pause, usual)
	}
}

// planRoles records a query for a generation with a bound on its pauses, and assigns the roles anew if
// that is due. mu must be held.
func (r *Registry) planRoles(q Query, now time.Duration) {
	planner := r.planners[q.Service]
	if q.Kind == prefill.KindLong && q.MaxPause > 0 {
		if planner == nil {
			planner = &prefill.Planner{}
			r.planners[q.Service] = planner
		}
		copyTime := time.Duration(0)
		if q.CopySpeed > 0 {
			copyTime = time.Duration(min(float64(q.ExpectedTokens)/q.CopySpeed, math.MaxInt32) * float64(time.Second))
		}
		planner.ObserveLong(q.MaxPause, copyTime, now)
	}
	if planner != nil && planner.Due(now) {
		r.plan(q.Service, planner, now)
	}
}

// planDue assigns the roles of all services for which that is due. mu must be held.
func (r *Registry) planDue(now time.Duration) {
	for service, planner := range r.planners {
		if planner.Due(now) {
			r.plan(service, planner, now)
		}
	}
}

// plan assigns the roles of the servers of this process's cell. mu must be held.
func (r *Registry) plan(service string, planner *prefill.Planner, now time.Duration) {
	list := r.listed(service)
	memory := r.traits(service).MemoryTokens
	engines := make([]prefill.Engine, 0, len(list))
	used := 0
	for _, s := range list {
		if s.Leaving || r.cordoned[s.FailureDomain] || now < s.downUntil || !r.inOwnCell(s, len(list)) {
			continue
		}
		load := r.load(s)
		used += max(0, load.ExpectedTokens)
		engines = append(engines, prefill.Engine{Name: s.ID, Hash: s.hash, Pause: s.usualPause(now), PromptTokens: load.PromptTokens})
	}
	memoryUse := 1.0
	if total := memory * len(engines); total > 0 {
		memoryUse = float64(used) / float64(total)
	}
	planner.Plan(engines, memoryUse, now)
}

// applyRoles completes a placement request for a service whose servers have roles: a prompt does not
// need a server that keeps the pace, as its run is moved to one. mu must be held.
func (r *Registry) applyRoles(req *placement.Request, q Query) {
	if !r.planners[q.Service].Active() {
		return
	}
	switch {
	case q.ForCopy && q.MaxPause > 0:
		req.Kind = prefill.KindCopy
	case !q.ForCopy && q.Kind != prefill.KindOther:
		req.Kind, req.PromptTokens, req.MaxPause = q.Kind, q.PromptTokens, 0
	}
}

// Roles describes the roles of the servers of a service.
type Roles struct {
	// Active reports whether servers have roles. Tolerant, Prefill, Stream and Unknown are the numbers
	// of servers by role.
	Active                             bool
	Tolerant, Prefill, Stream, Unknown int
	// Stretch is the expected ratio of a stream's longest pauses beside prompts to the usual pause.
	Stretch float64
}

// Roles returns the roles of the servers of a service.
func (r *Registry) Roles(service string) Roles {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.planners[service]
	return Roles{
		Active: p.Active(), Tolerant: p.Count(prefill.RoleTolerant), Prefill: p.Count(prefill.RolePrefill), Stream: p.Count(prefill.RoleStream),
		Unknown: p.Count(prefill.RoleUnknown), Stretch: p.Stretch(),
	}
}

// CountByRole counts the servers of all services with a role.
func (r *Registry) CountByRole(role prefill.Role) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.planners {
		n += p.Count(role)
	}
	return n
}

// CountDips returns the number of dips that the streams of this process have shown since its start.
func (r *Registry) CountDips() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dips
}

// InDip reports whether the streams of a server have pauses far above the usual.
func (r *Registry) InDip(of Server, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(of)
	return s != nil && s.inDip(now)
}

// Role returns the role of the request's server and the part of its memory in use with this request.
func (r *Reservation) Role() (role prefill.Role, memoryUse float64) {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	if memory := r.registry.traits(r.target.Service).MemoryTokens; memory > 0 {
		memoryUse = float64(max(0, r.registry.load(r.target).ExpectedTokens)) / float64(memory)
	}
	return r.registry.planners[r.target.Service].Role(r.target.ID), memoryUse
}
