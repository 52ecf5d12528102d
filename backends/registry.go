// Package backends keeps what a process believes of the backend servers: which
// exist, which are leaving, how loaded they are and how well they answer.
//
// A Registry is safe for concurrent use; its lock is a leaf.
package backends

import (
	"slices"
	"strings"
	"sync"
	"time"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/flow"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/placement"
	"kingcupplank.example/kingcup/routing"
)

// ServiceTraits are what is known of all servers of a service.
type ServiceTraits struct {
	// MemoryTokens is the memory of a server, 0 where a service has no engines.
	MemoryTokens int
	// ColdTime is how long a server is cold after its start, Cold what it bears meanwhile.
	ColdTime  time.Duration
	ColdLimit pacing.Limit
}

const (
	// lapseGrace is how long an entry that lapsed during an outage of the
	// directory is still used after its return: the platform promises that
	// servers which live have registered again by then.
	lapseGrace = 2 * time.Second
	// outageFrom is the silence of the directory from which a missing entry may
	// have lapsed without its server having ended.
	outageFrom = time.Second
	// fullFor is how long a server that refused for lack of room is ranked last.
	// Engines free a slot every 100 to 200 ms when full; shorter asks it again in
	// vain, and each refusal uses the shared retry budget.
	fullFor = 250 * time.Millisecond
	// lostFor is how long a server that could not be reached is ranked last; it is
	// the order of a restart.
	lostFor = 1 * time.Second
	// healthGain is the weight of the newest answer in a server's failure rate;
	// about the last ten answers count.
	healthGain = 0.1
	// lossGain is the same for a connection that broke without an answer, which is
	// far rarer at a sound server than an error. With the gain of errors each gateway
	// lost five requests to a server that resets before it avoided it.
	lossGain = 0.4
	// healthHalfLife is the time in which an old failure rate halves. A server that
	// gets no requests for its failures would otherwise never be tried again.
	healthHalfLife = 5 * time.Second
)

// Registry holds the servers. Times are of one steady clock, given by callers.
type Registry struct {
	domain string
	traits func(service string) ServiceTraits
	policy placement.Policy
	copies placement.Policy

	mu      sync.Mutex
	servers map[string]*server
	// endings are the servers that have gone of late, by id.
	endings map[string]ending
	// remote are the loads that other processes have told of, by process and
	// server.
	remote map[string]map[string]Load
	// told are the sums of those, by the life of a server.
	told map[life]Load
	// losses are the lost requests that other processes have told of, likewise.
	losses map[string]map[string]ServerStatus
	// lists caches the servers of each service, scratch their descriptions.
	lists   map[string][]*server
	scratch []placement.Server
	leaving func(Server, LeaveReason)
	// cell is this process's of count cells.
	cell, count int
	// inCell and inAll are this process's part of what cold servers bear, among those of its
	// cell and among all.
	inCell, inAll *pacing.Share
	// cordoned are the failure domains that get nothing, regions those that domains are in.
	cordoned map[string]bool
	regions  map[string]string
}

// LeaveReason says why a server is taken to be leaving.
type LeaveReason string

// The notices.
const (
	NoticeDraining LeaveReason = "draining"
	NoticeVanished LeaveReason = "entry vanished"
	NoticeReplaced LeaveReason = "another server has its address"
	NoticeReported LeaveReason = "its own report"
	// NoticeTold is told of a server whose report another process has seen.
	NoticeTold LeaveReason = "its own report to a peer"
	// LeaveRestarted is told of the life that has ended; its runs ended with it.
	LeaveRestarted LeaveReason = "started again"
)

// New returns an empty registry of a process in domain. leaving is told once of
// each server that begins to leave; it is called without the lock.
func New(domain string, traits func(service string) ServiceTraits, leaving func(Server, LeaveReason)) *Registry {
	return &Registry{
		domain: domain, traits: traits, leaving: leaving,
		policy: placement.Direct(), copies: placement.CopyTarget(), servers: make(map[string]*server), endings: make(map[string]ending), remote: make(map[string]map[string]Load), told: make(map[life]Load), losses: make(map[string]map[string]ServerStatus),
		lists: make(map[string][]*server),
	}
}

type leave struct {
	s Server
	n LeaveReason
}

func (r *Registry) tell(left []leave) {
	for _, l := range left {
		r.leaving(l.s, l.n)
	}
}

// ReplaceAll replaces the directory. outage is how long it was silent before.
func (r *Registry) ReplaceAll(list []Server, outage, now time.Duration) {
	r.mu.Lock()
	left := r.reset(list, outage, now)
	r.mu.Unlock()
	r.tell(left)
}

// reset replaces the directory; mu is held.
func (r *Registry) reset(list []Server, outage, now time.Duration) (left []leave) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		left = r.put(left, s, now)
	}
	for id, s := range r.servers {
		if !listed[id] {
			left = r.vanish(left, s, outage, now)
		}
	}
	return left
}

// Put adds or changes a server.
func (r *Registry) Put(s Server, now time.Duration) {
	r.mu.Lock()
	left := r.put(nil, s, now)
	r.mu.Unlock()
	r.tell(left)
}

// put takes an entry. A new life of a server replaces the earlier one with all that is
// believed of it: failures, a notice to leave and loads of the earlier life would keep
// callers away from a sound server, or hold its new runs for the old ones. An entry of
// an earlier life, written late, says nothing of the present one.
func (r *Registry) put(left []leave, s Server, now time.Duration) []leave {
	r.unlist()
	old := r.servers[s.ID]
	switch {
	case s.Unreadable:
		if old != nil {
			old.withheld = true
		}
		return left
	case old != nil && !s.SameIncarnation(old.Server):
		if s.StartTime < old.StartTime {
			return left
		}
		left = append(left, leave{old.Server, LeaveRestarted})
		old = nil
	}
	if old == nil {
		old = &server{hash: cells.Hash(s.ID)}
		r.servers[s.ID] = old
		// An entry that lags brings back no server that was about to end when it went.
		e, ended := r.endings[s.ID]
		s.Leaving = s.Leaving || ended && e.Leaving && e.SameIncarnation(s)
	}
	return old.update(left, s, now)
}

// current returns what is known of the life that s describes, nil if that has ended.
func (r *Registry) current(s Server) *server {
	if known := r.servers[s.ID]; known != nil && known.SameIncarnation(s) {
		return known
	}
	return nil
}

// Remove notes that a server's entry has vanished. outage is how long the
// directory had been silent before it said so.
func (r *Registry) Remove(id string, outage, now time.Duration) {
	r.mu.Lock()
	var left []leave
	if s := r.servers[id]; s != nil {
		left = r.vanish(nil, s, outage, now)
	}
	r.mu.Unlock()
	r.tell(left)
}

func (r *Registry) vanish(left []leave, s *server, outage, now time.Duration) []leave {
	if s.gone || s.suspectUntil > 0 && now < s.suspectUntil {
		return left
	}
	if outage > outageFrom && !s.Leaving && s.suspectUntil == 0 {
		s.suspectUntil = now + lapseGrace
		return left
	}
	s.gone = true
	r.noteEnding(s, now)
	r.unlist()
	if !s.Leaving {
		left = append(left, leave{s.Server, NoticeVanished})
	}
	if s.own.Running == 0 {
		r.forget(s)
	}
	return left
}

// forget drops a server that is gone, unless a later life has its place. mu is held.
func (r *Registry) forget(s *server) {
	if r.servers[s.ID] == s {
		delete(r.servers, s.ID)
	}
}

// Expire turns entries whose grace has passed into gone ones; call it now and
// then.
func (r *Registry) Expire(now time.Duration) {
	r.mu.Lock()
	var left []leave
	for _, s := range r.servers {
		if s.suspectUntil > 0 && now >= s.suspectUntil {
			left = r.vanish(left, s, 0, now)
		}
	}
	r.expireEndings(now)
	r.mu.Unlock()
	r.tell(left)
}

// MarkReplaced notes that another server answers at a server's address.
func (r *Registry) MarkReplaced(gone Server) {
	r.mu.Lock()
	s := r.current(gone)
	news := s != nil && !s.gone
	var left []leave
	if news {
		s.gone, s.replaced = true, true
		r.unlist()
		left = append(left, leave{s.Server, NoticeReplaced})
	}
	r.mu.Unlock()
	r.tell(left)
}

// MarkLeaving notes that a server itself says that it is leaving, and reports whether that is
// news.
func (r *Registry) MarkLeaving(leaving Server) bool {
	r.mu.Lock()
	var left []leave
	if s := r.current(leaving); s != nil {
		left = s.report(nil, NoticeReported)
	}
	r.mu.Unlock()
	r.tell(left)
	return len(left) > 0
}

// Query asks for a server.
type Query struct {
	Service string
	// ExpectedTokens is the memory that the request is expected to need at its peak, PromptTokens
	// the prompt tokens that a server has to read before it answers.
	ExpectedTokens, PromptTokens int
	// PromptSpeed is the prompt tokens a second that servers read.
	PromptSpeed float64
	// MaxMemoryUse bounds the part of its memory that the server may have in use, the
	// request included, MostPrompt the prompt tokens that it reads before; 0 is no
	// bound.
	MaxMemoryUse     float64
	MaxPromptPending int
	// MaxServiceMemoryUse bounds the part of the memory that all servers of the service have in
	// use together; 0 is no bound.
	MaxServiceMemoryUse float64
	// Tried are the servers that are not to be asked again.
	Tried []string
	// PreferredDomain is the failure domain to prefer, the process's own if empty; Within drops
	// all others.
	PreferredDomain string
	SameDomainOnly  bool
	// Regions are where the request may run.
	Regions routing.Regions
	// SharedTime is what cold servers are shared out by.
	SharedTime pacing.SharedTime
	// Turns bounds the choice to servers where it is this process's turn, nil for
	// all.
	Turns *flow.Turns
	// Spill lets servers of other cells be taken where the own one has none with room.
	// What is sent there by others is not known.
	Spill bool
	// ForCopy asks for a server to copy a run's memory to; CopySpeed is the tokens of
	// memory a second that a server's link takes.
	ForCopy   bool
	CopySpeed float64
	// Draw is random.
	Draw uint64
}

// Acquire picks a server and counts the request as running there until the
// lease is done. It returns nil if no server can take the request.
func (r *Registry) Acquire(q Query, now time.Duration) *Reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	views, list := r.views(q, now)
	near := q.PreferredDomain
	if near == "" {
		near = r.domain
	}
	req := &placement.Request{FailureDomain: near, Tried: q.Tried, Tokens: q.ExpectedTokens, PromptSpeed: q.PromptSpeed, MaxMemoryUse: q.MaxMemoryUse, MaxPromptPending: q.MaxPromptPending, SameDomainOnly: q.SameDomainOnly, Regions: q.Regions, CopySpeed: q.CopySpeed}
	divided := cells.IsDivided(len(views), r.count)
	if divided {
		req.IsCandidate = func(k int) bool { return r.inOwnCell(list[k], len(list)) }
	}
	if q.MaxServiceMemoryUse > 0 && placement.MemoryUtilization(req, views) > q.MaxServiceMemoryUse {
		return nil
	}
	draws := r.draws(len(views))
	if divided {
		draws = max(2, draws/r.count)
	}
	if q.Turns != nil {
		// Nobody else takes these servers now.
		req.IsOwnTurn, req.Reserved, draws = q.Turns.IsOwnTurn, q.Turns.Reserved, len(views)
	}
	policy := r.policy
	if q.ForCopy {
		policy = r.copies
	}
	i := policy.BestOf(draws, req, views, q.Draw)
	if i < 0 && divided && q.Spill {
		req.IsCandidate = nil
		i = policy.BestOf(draws, req, views, q.Draw)
	}
	if i < 0 {
		return nil
	}
	s := list[i]
	if l := s.bound(r.traits(q.Service), now); l.Rate > 0 {
		s.pacer.Sent(r.share(len(list)), l, q.SharedTime, now)
	}
	return r.lease(s, q, len(list))
}

// SetCell says which of how many cells this process is in, and which others send to the same
// servers. It reports whether the cell is news.
func (r *Registry) SetCell(p cells.Place) bool {
	inCell, inAll := pacing.NewShare(p.Self, p.CellPeers), pacing.NewShare(p.Self, p.AllPeers)
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.cell != p.OwnCell || r.count != p.CellCount
	r.cell, r.count = p.OwnCell, p.CellCount
	r.inCell, r.inAll = inCell, inAll
	return news
}

// drawsPerProcess is the servers that each of the processes which choose at the same
// time draws, as a multiple of the servers there are for each.
const drawsPerProcess = 5

// draws is how many servers a choice is made among. Loads of other processes are
// some 100 ms old; if all took the best of all they would meet at the same one.
func (r *Registry) draws(servers int) int {
	return max(2, (drawsPerProcess*servers+len(r.remote))/(len(r.remote)+1))
}

// views describes the servers of a service to a policy. The result is valid until
// mu is released.
func (r *Registry) views(q Query, now time.Duration) ([]placement.Server, []*server) {
	list := r.listed(q.Service)
	traits := r.traits(q.Service)
	r.scratch = r.scratch[:0]
	for _, s := range list {
		load := r.load(s)
		// A copy of a run leads to requests that cannot wait for their turn.
		paced := q.ForCopy && s.limit.named || !r.bears(s, s.bound(traits, now), len(list), q.SharedTime, now)
		r.scratch = append(r.scratch, placement.Server{
			Name: s.ID, FailureDomain: s.FailureDomain, Region: r.regions[s.FailureDomain], Leaving: s.Leaving, Cordoned: r.cordoned[s.FailureDomain], Connected: true,
			Running: load.Running, Slots: s.Slots,
			MemoryForecast: uint64(max(0, load.ExpectedTokens)), PromptPending: max(0, load.PromptTokens), CopyPending: max(0, load.CopyTokens), MemoryTotal: uint64(traits.MemoryTokens),
			FailureRate: s.failureRate(now), Avoid: now < s.avoidUntil || s.suspectUntil > 0 || r.losing(s, now) || r.restsElsewhere(s), BackingOff: now < s.restUntil, Cold: now < s.coldUntil, Paced: paced, Down: r.ended(s, now),
		})
	}
	return r.scratch, list
}

// listed returns the servers of a service in the order of their ids, so that equal
// draws give equal choices.
func (r *Registry) listed(service string) []*server {
	list, ok := r.lists[service]
	if ok {
		return list
	}
	for _, s := range r.servers {
		if s.Service == service && !s.gone && !s.withheld {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	r.lists[service] = list
	return list
}

// unlist drops the lists; the directory has changed. mu is held.
func (r *Registry) unlist() { clear(r.lists) }

// CountReady counts the servers of a service that take requests.
func (r *Registry) CountReady(service string) int {
	ready, _ := r.CountReadyWithin(service, nil)
	return ready
}

// CountReadyWithin counts the servers of a service that take requests which must stay in some
// regions, and those that would if they were not cordoned.
func (r *Registry) CountReadyWithin(service string, within routing.Regions) (ready, cordoned int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		switch {
		case s.Service != service || s.gone || s.withheld || s.Leaving || !within.Allows(r.regions[s.FailureDomain]):
		case r.cordoned[s.FailureDomain]:
			cordoned++
		default:
			ready++
		}
	}
	return ready, cordoned
}

// State tells whether a server is listed and whether it is leaving.
func (r *Registry) State(of Server) (listed, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(of)
	if s == nil {
		return false, false
	}
	return !s.gone, s.Leaving || s.gone
}

// HasRestarted reports whether a later life of the server is known.
func (r *Registry) HasRestarted(s Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[s.ID] != nil && r.current(s) == nil
}
