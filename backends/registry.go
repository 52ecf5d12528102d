// Package backends keeps what a process knows of the backend servers: which exist, which are
// leaving, how loaded they are and how well they answer.
//
// A Registry is safe for concurrent use. No other lock is acquired while its lock is held.
package backends

import (
	"slices"
	"strings"
	"sync"
	"time"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/concurrency"
	"kingcupplank.example/kingcup/pacing"
	"kingcupplank.example/kingcup/placement"
	"kingcupplank.example/kingcup/prefill"
	"kingcupplank.example/kingcup/routing"
)

// ServiceTraits are the properties that all servers of a service have in common.
type ServiceTraits struct {
	// MemoryTokens is the memory of a server in tokens, 0 if the service has no engines.
	MemoryTokens int
	// ColdTime is how long a server is cold after its start. ColdLimit is what a cold server
	// accepts.
	ColdTime  time.Duration
	ColdLimit pacing.Limit
}

const (
	// lapsedGracePeriod is how long an entry that lapsed during an outage of the directory is
	// still used after the directory is available again. The platform promises that live
	// servers have registered again by then.
	lapsedGracePeriod = 2 * time.Second
	// minOutage is the duration of a directory outage from which a missing entry may have lapsed
	// although its server is still running.
	minOutage = time.Second
	// fullAvoidTime is how long a server that refused a request for lack of capacity is ranked
	// last. Full engines free a slot every 100 to 200 ms. A shorter time would ask the server
	// again in vain, and each refusal uses the shared retry budget.
	fullAvoidTime = 250 * time.Millisecond
	// unreachableAvoidTime is how long a server that could not be reached is ranked last; it is
	// on the order of a restart.
	unreachableAvoidTime = 1 * time.Second
	// answerGain is the weight of the latest answer in a server's failure rate, an exponentially
	// weighted average over about the last ten answers.
	answerGain = 0.1
	// lossGain is the weight of a connection that broke without an answer, which is far rarer at
	// a healthy server than an error. With answerGain instead, each gateway lost five requests
	// at a server that resets connections before it avoided that server.
	lossGain = 0.4
	// failureHalfLife is the time in which an old failure rate halves. Otherwise a server that
	// gets no requests because of its failures would never be tried again.
	failureHalfLife = 5 * time.Second
)

// Registry holds the servers. All times are points on one monotonic clock and are passed in by
// the callers.
type Registry struct {
	domain     string
	traits     func(service string) ServiceTraits
	policy     placement.Policy
	copyPolicy placement.Policy

	mu      sync.Mutex
	servers map[string]*server
	// departures are the servers that have recently gone, by id.
	departures map[string]departure
	// remoteLoads are the loads that other processes have reported, by process and server.
	remoteLoads map[string]map[string]Load
	// remoteSums are the sums of remoteLoads over all processes, by incarnation of the server.
	remoteSums map[incarnation]Load
	// remoteStatuses are what other processes have reported of servers, by process and server.
	remoteStatuses map[string]map[string]ServerStatus
	// answers are the times of the answers of all servers of a service, by service.
	answers map[string]*concurrency.Answers
	// lists caches the usable servers of each service. scratch is the reused buffer of views.
	lists     map[string][]*server
	scratch   []placement.Server
	onLeaving func(Server, LeaveReason)
	// planners assign the roles of the servers of each service, see prefill. dips counts the dips that
	// the streams of this process have shown.
	planners map[string]*prefill.Planner
	dips     int
	// cell is the index of this process's cell, cellCount the number of cells.
	cell, cellCount int
	// softwareViews are what is known of the servers' software, by service. directorySince is when this
	// process first had the directory, if hasDirectory is set; confirmedAt is up to when it has all
	// changes of it, and completeSince is from when on it has seen every server come and go.
	softwareViews                              map[string]*softwareView
	hasDirectory                               bool
	directorySince, confirmedAt, completeSince time.Duration
	// unreadable are the ids of the entries that can't be read at present.
	unreadable map[string]bool
	// self is the name of this process, empty if unknown.
	self string
	// cellShare and globalShare are this process's share of the rate that servers accept, among
	// the processes of its cell and among all processes.
	cellShare, globalShare *pacing.Share
	// cordoned are the failure domains whose servers get no requests. domainRegions maps each
	// failure domain to its region.
	cordoned      map[string]bool
	domainRegions map[string]string
}

// LeaveReason says why a server is taken to be leaving.
type LeaveReason string

// The reasons.
const (
	LeaveDraining      LeaveReason = "draining"
	LeaveEntryVanished LeaveReason = "entry vanished"
	LeaveReplaced      LeaveReason = "another server has its address"
	LeaveSelfReported  LeaveReason = "its own report"
	// LeavePeerReported is used if another process has received the server's own report.
	LeavePeerReported LeaveReason = "its own report to a peer"
	// LeaveRestarted is used for an incarnation that has ended. Its runs ended with it.
	LeaveRestarted LeaveReason = "started again"
)

// New returns an empty registry of a process in a failure domain. onLeaving is called once for
// each server that begins to leave. It is called without the registry's lock.
func New(domain string, traits func(service string) ServiceTraits, onLeaving func(Server, LeaveReason)) *Registry {
	return &Registry{
		domain: domain, traits: traits, onLeaving: onLeaving,
		policy: placement.Direct(), copyPolicy: placement.CopyTarget(), servers: make(map[string]*server), departures: make(map[string]departure), remoteLoads: make(map[string]map[string]Load), remoteSums: make(map[incarnation]Load), remoteStatuses: make(map[string]map[string]ServerStatus),
		lists: make(map[string][]*server), answers: make(map[string]*concurrency.Answers), planners: make(map[string]*prefill.Planner),
		softwareViews: make(map[string]*softwareView), unreadable: make(map[string]bool),
	}
}

// leaveEvent is a call of onLeaving that is due once the lock is released. Functions that have a
// parameter events append the calls that they cause to it and return it.
type leaveEvent struct {
	server Server
	reason LeaveReason
}

func (r *Registry) notifyLeaving(events []leaveEvent) {
	for _, e := range events {
		r.onLeaving(e.server, e.reason)
	}
}

// ReplaceAll replaces the directory. outage is how long the directory was unavailable before.
func (r *Registry) ReplaceAll(list []Server, outage, now time.Duration) {
	r.mu.Lock()
	events := r.replaceAll(list, outage, now)
	r.mu.Unlock()
	r.notifyLeaving(events)
}

// replaceAll replaces the directory. mu must be held.
func (r *Registry) replaceAll(list []Server, outage, now time.Duration) (events []leaveEvent) {
	if !r.hasDirectory {
		r.hasDirectory, r.directorySince = true, now
		r.markIncomplete(now)
	}
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		events = r.put(events, s, now)
	}
	for id := range r.unreadable {
		if !listed[id] {
			r.setReadable(id, now)
		}
	}
	for id, s := range r.servers {
		if !listed[id] {
			events = r.removeEntry(events, s, outage, now)
		}
	}
	return events
}

// Put adds or changes a server.
func (r *Registry) Put(s Server, now time.Duration) {
	r.mu.Lock()
	events := r.put(nil, s, now)
	r.mu.Unlock()
	r.notifyLeaving(events)
}

// put adds or changes a server, or ignores its entry. mu must be held.
//
// A new incarnation of a server replaces the earlier one with everything known of it. Failures,
// a leaving state and loads of the earlier incarnation would keep requests away from a healthy
// server, or its new runs would be mistaken for the old ones. An entry of an earlier incarnation
// that arrives late is ignored.
func (r *Registry) put(events []leaveEvent, s Server, now time.Duration) []leaveEvent {
	r.dropLists()
	if !s.Unreadable {
		r.setReadable(s.ID, now)
	}
	old := r.servers[s.ID]
	switch {
	case s.Unreadable:
		r.unreadable[s.ID] = true
		if old != nil {
			old.excluded = true
		}
		return events
	case old != nil && !s.SameIncarnation(old.Server):
		if s.StartTime < old.StartTime {
			return events
		}
		events = append(events, leaveEvent{old.Server, LeaveRestarted})
		r.recordDelisted(old.Server, now)
		old = nil
	case old != nil && (old.Service != s.Service || old.SoftwareVersion != s.SoftwareVersion):
		r.recordDelisted(old.Server, now)
	}
	if old == nil {
		old = &server{hash: cells.Hash(s.ID)}
		r.servers[s.ID] = old
		// A stale entry must not bring back a server that was leaving when it went.
		d, departed := r.departures[s.ID]
		s.Leaving = s.Leaving || departed && d.Leaving && d.SameIncarnation(s)
		r.recordJoined(s, now)
	}
	due := len(events)
	events = old.update(events, s, now)
	r.recordLeaving(events[due:], now)
	return events
}

// current returns the record of the incarnation that s describes, nil if there is none.
func (r *Registry) current(s Server) *server {
	if known := r.servers[s.ID]; known != nil && known.SameIncarnation(s) {
		return known
	}
	return nil
}

// Remove records that a server's entry has vanished. outage is how long the directory was
// unavailable before that was known.
func (r *Registry) Remove(id string, outage, now time.Duration) {
	r.mu.Lock()
	r.setReadable(id, now)
	var events []leaveEvent
	if s := r.servers[id]; s != nil {
		events = r.removeEntry(nil, s, outage, now)
	}
	r.mu.Unlock()
	r.notifyLeaving(events)
}

// removeEntry records that a server's entry has vanished. After an outage the server is still
// used for lapsedGracePeriod, see Expire. mu must be held.
func (r *Registry) removeEntry(events []leaveEvent, s *server, outage, now time.Duration) []leaveEvent {
	if s.gone || s.missingUntil > 0 && now < s.missingUntil {
		return events
	}
	if outage > minOutage && !s.Leaving && s.missingUntil == 0 {
		s.missingUntil = now + lapsedGracePeriod
		return events
	}
	s.gone = true
	r.recordDeparture(s, now)
	r.recordDelisted(s.Server, now)
	r.dropLists()
	if !s.Leaving {
		events = append(events, leaveEvent{s.Server, LeaveEntryVanished})
		r.recordLeaving(events[len(events)-1:], now)
	}
	if s.ownLoad.Running == 0 {
		r.forget(s)
	}
	return events
}

// forget drops a server that is gone, unless a later incarnation has replaced it. mu must be
// held.
func (r *Registry) forget(s *server) {
	if r.servers[s.ID] == s {
		delete(r.servers, s.ID)
	}
}

// Expire removes servers whose entry is still missing after lapsedGracePeriod, and forgets old
// departures. It must be called periodically.
func (r *Registry) Expire(now time.Duration) {
	r.mu.Lock()
	var events []leaveEvent
	for _, s := range r.servers {
		if s.missingUntil > 0 && now >= s.missingUntil {
			events = r.removeEntry(events, s, 0, now)
		}
	}
	r.expireDepartures(now)
	r.expireSoftwareViews(now)
	r.mu.Unlock()
	r.notifyLeaving(events)
}

// MarkReplaced records that another server answers at a server's address.
func (r *Registry) MarkReplaced(gone Server, now time.Duration) {
	r.mu.Lock()
	s := r.current(gone)
	changed := s != nil && !s.gone
	var events []leaveEvent
	if changed {
		s.gone, s.replaced = true, true
		r.recordDelisted(s.Server, now)
		r.dropLists()
		events = append(events, leaveEvent{s.Server, LeaveReplaced})
	}
	r.mu.Unlock()
	r.notifyLeaving(events)
}

// MarkLeaving records that a server itself has reported that it is leaving. It reports whether
// the server was not known to be leaving before.
func (r *Registry) MarkLeaving(leaving Server) bool {
	r.mu.Lock()
	var events []leaveEvent
	if s := r.current(leaving); s != nil {
		events = s.markLeaving(nil, LeaveSelfReported)
	}
	r.mu.Unlock()
	r.notifyLeaving(events)
	return len(events) > 0
}

// SetCell sets the cell of this process, the number of cells and the other processes that send
// to the same servers. It reports whether the cell or the number of cells has changed.
func (r *Registry) SetCell(p cells.Place) bool {
	cellShare, globalShare := pacing.NewShare(p.Self, p.CellPeers), pacing.NewShare(p.Self, p.AllPeers)
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.cell != p.OwnCell || r.cellCount != p.CellCount
	r.cell, r.cellCount, r.self = p.OwnCell, p.CellCount, p.Self
	r.cellShare, r.globalShare = cellShare, globalShare
	return changed
}

// listed returns the usable servers of a service, sorted by id so that equal draws give equal
// choices. mu must be held.
func (r *Registry) listed(service string) []*server {
	list, ok := r.lists[service]
	if ok {
		return list
	}
	for _, s := range r.servers {
		if s.Service == service && !s.gone && !s.excluded {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	r.lists[service] = list
	return list
}

// dropLists drops the cached lists after a change of the directory. mu must be held.
func (r *Registry) dropLists() {
	clear(r.lists)
	r.dropSoftwareViews()
}

// CountReady counts the servers of a service that accept requests.
func (r *Registry) CountReady(service string) int {
	ready, _ := r.CountReadyWithin(service, nil)
	return ready
}

// CountReadyWithin counts the servers of a service that accept requests which must stay in some
// regions, and those that would accept them if they were not cordoned.
func (r *Registry) CountReadyWithin(service string, regions routing.Regions) (ready, cordoned int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		switch {
		case s.Service != service || s.gone || s.excluded || s.Leaving || !regions.Allows(r.domainRegions[s.FailureDomain]):
		case r.cordoned[s.FailureDomain]:
			cordoned++
		default:
			ready++
		}
	}
	return ready, cordoned
}

// CountReadyWithSoftware counts the servers of a service that accept requests which must stay in some
// regions and run a version of their software, without those that were tried. As in CountReady, servers
// that refuse connections are counted: they may be back soon.
func (r *Registry) CountReadyWithSoftware(service, version string, regions routing.Regions, tried []string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.listed(service) {
		if version != "" && s.SoftwareVersion == version && !s.Leaving && !r.cordoned[s.FailureDomain] &&
			regions.Allows(r.domainRegions[s.FailureDomain]) && !slices.Contains(tried, s.ID) {
			n++
		}
	}
	return n
}

// ReadyMemory returns the memory in tokens of the servers of a service that accept requests of this
// process which must stay in some regions.
func (r *Registry) ReadyMemory(service string, regions routing.Regions) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, n := r.listed(service), 0
	for _, s := range list {
		if !s.Leaving && !r.cordoned[s.FailureDomain] && regions.Allows(r.domainRegions[s.FailureDomain]) && r.inOwnCell(s, len(list)) {
			n++
		}
	}
	return n * r.traits(service).MemoryTokens
}

// State reports whether a server is listed and whether it is leaving.
func (r *Registry) State(of Server) (listed, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(of)
	if s == nil {
		return false, false
	}
	return !s.gone, s.Leaving || s.gone
}

// RunsSoftware reports whether a server is known to run a version of its software. It is false for an
// unknown version, and for an incarnation that has ended.
func (r *Registry) RunsSoftware(of Server, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(of)
	return s != nil && version != "" && s.SoftwareVersion == version
}

// HasRestarted reports whether a later incarnation of the server is known.
func (r *Registry) HasRestarted(s Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[s.ID] != nil && r.current(s) == nil
}
