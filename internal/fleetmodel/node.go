package fleetmodel

import (
	"cmp"
	"slices"
	"time"

	"kingcupplank.example/kingcup/cells"
	"kingcupplank.example/kingcup/membership"
	"kingcupplank.example/kingcup/readers"
	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/subset"
)

// The tables that each gateway follows.
const (
	configTable = iota
	serverTable
	memberTable
	tableCount
)

var tableNames = [tableCount]string{"config", "servers", "members"}

// pollTimeouts are how long a reader's call waits for changes, minIntervals the least time between
// two calls, as in internal/gateway.
var (
	pollTimeouts = [tableCount]time.Duration{time.Second, time.Second, 5 * time.Second}
	minIntervals = [tableCount]time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond}
)

const (
	silenceMargin     = 500 * time.Millisecond
	checkInterval     = 100 * time.Millisecond
	startDeferral     = 3 * time.Second
	findPeersTimeout  = 2 * time.Second
	firstStartSpread  = time.Second
	registrationPoll  = 50 * time.Millisecond
	initialReaders    = 3 * readers.Count
	maxAskedPeers     = readers.Count
	maxInsideLinks    = 32
	statesPerSecond   = 100
	minStatePeriod    = 150 * time.Millisecond
	linkDelay         = 20 * time.Millisecond
	fetchDelay        = 20 * time.Millisecond
	relinkInterval    = 200 * time.Millisecond
	positionsInState  = 0.32
	readersInState    = 0.01
	stateBytes        = 125
	positionBytes     = 100
	readersBytes      = 100
	compressedRowSize = 60
)

var (
	joinBackoff  = retry.Backoff{Base: 200 * time.Millisecond, Max: 800 * time.Millisecond}
	tableBackoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 500 * time.Millisecond}
)

// table is a gateway's copy of a table.
type table struct {
	has     bool
	version int
	// heard is the newest version that a peer has reported, heardFrom are peers with it.
	heard     int
	heardFrom []int
	// confirmedAt is when the copy was known to be the newest.
	confirmedAt time.Duration
	// busyUntil is when the present call or fetch ends. polling is set while a reader's call
	// waits for changes until pollEnd.
	busyUntil time.Duration
	polling   bool
	pollEnd   time.Duration
	calledAt  time.Duration
	failures  int
	without   time.Duration
}

// node is a gateway.
type node struct {
	index    int
	self     subset.Item
	linkMbps float64

	alive bool
	// storeCut is set while the store does not answer this gateway.
	storeCut bool
	startAt  time.Duration
	// isFirstStart is set when the whole fleet starts for the first time.
	isFirstStart bool

	joined  bool
	joinTry int
	joinAt  time.Duration
	// whole is set once the gateway knows the rows of all. Before, it knows sample and estimates
	// the number of all.
	whole    bool
	sample   []int
	estimate int
	// heardOf are the gateways that became known by their states.
	heardOf []int

	role          *readers.Role
	initialReader bool
	// isReader is set while the gateway reads and has told its peers, announcesReaders while it
	// is about to tell them.
	isReader, announcesReaders bool
	answeredAt                 time.Duration
	registration               *membership.Registration
	registrar                  *membership.Registrar[int]
	registerAt                 time.Duration
	asked                      int

	tables  [tableCount]table
	links   []int
	linkUp  map[int]time.Duration
	inbound map[int]bool
	// linkedVersion is the number of known gateways at the last choice of links.
	linkedVersion int
	linkedAt      time.Duration
	nextLink      int
	nextState     time.Duration
	checkAt       time.Duration

	sentBytes, failedFetches int
	servingAt                time.Duration
	registeredAt             time.Duration
}

// known returns the gateways that a gateway knows.
func (f *Fleet) known(n *node) []int {
	listed := n.sample
	if n.whole && n.tables[memberTable].version >= len(n.sample) {
		listed = f.store.members[:n.tables[memberTable].version]
	}
	if len(n.heardOf) == 0 {
		return listed
	}
	known := slices.Clone(listed)
	for _, i := range n.heardOf {
		if position, ok := f.store.position[i]; !ok || position >= len(listed) || !n.whole {
			known = append(known, i)
		}
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// learn makes a gateway know one that has sent it a state, unless it has had its row for long.
func (n *node) learn(i int, s *store) {
	if position, ok := s.position[i]; ok && n.whole && position < n.tables[memberTable].version {
		return
	}
	n.heardOf = append(n.heardOf, i)
}

// count returns how many gateways there are, as far as a gateway knows.
func (f *Fleet) count(n *node) int {
	return max(1+len(f.known(n)), n.estimate)
}

// relink chooses the links of a gateway by the rule that ships.
func (f *Fleet) relink(n *node) {
	if f.now-n.linkedAt < relinkInterval {
		return
	}
	known := f.known(n)
	if len(known) == n.linkedVersion {
		n.linkedAt = f.now
		return
	}
	n.linkedVersion, n.linkedAt = len(known), f.now
	all := make([]subset.Item, 0, len(known))
	for _, i := range known {
		if i != n.index {
			all = append(all, f.nodes[i].self)
		}
	}
	total := 0
	if !n.whole {
		total = n.estimate
	}
	chosen, _ := cells.Links(n.self, all, total, maxInsideLinks)
	links := make([]int, 0, len(chosen))
	for _, it := range chosen {
		links = append(links, f.byName[it.Name])
	}
	for _, i := range n.links {
		if !slices.Contains(links, i) {
			delete(f.nodes[i].inbound, n.index)
			delete(n.linkUp, i)
		}
	}
	for _, i := range links {
		if _, ok := n.linkUp[i]; !ok {
			n.linkUp[i] = f.now + linkDelay
		}
	}
	n.links = links
}

// receivers returns the peers that get a gateway's states.
func (f *Fleet) receivers(n *node) (out []int) {
	for _, i := range n.links {
		if f.nodes[i].alive && f.now >= n.linkUp[i] {
			out = append(out, i)
		}
	}
	return out
}

// linked returns the peers with a link in either direction, in a fixed order.
func (f *Fleet) linked(n *node) []int {
	out := f.receivers(n)
	for i := range n.inbound {
		if f.nodes[i].alive && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	slices.Sort(out)
	return out
}

// contending returns the estimated number of gateways in the same situation.
func (f *Fleet) contending(n *node) float64 {
	known := f.count(n) - 1
	if known == 0 {
		return 1
	}
	live := float64(len(n.inbound)) / float64(min(known, maxInsideLinks))
	return 1 + min(1, live)*float64(known)
}

func (n *node) statePeriod() time.Duration {
	return max(minStatePeriod, time.Duration(len(n.links))*time.Second/statesPerSecond)
}

// newNode returns a gateway that has not started.
func newNode(index int) *node {
	n := &node{index: index, linkMbps: 20, asked: -1}
	if index%6 == 0 {
		n.linkMbps = 1000
	}
	n.self = subset.Item{Name: vmName(index), FailureDomain: domainName(index % 6)}
	n.reset()
	return n
}

// reset makes the gateway one that has not started.
func (n *node) reset() {
	self := readers.Reader{Name: n.self.Name, FailureDomain: n.self.FailureDomain, LinkMbps: n.linkMbps}
	*n = node{
		index: n.index, self: n.self, linkMbps: n.linkMbps, storeCut: n.storeCut, asked: -1,
		role: readers.NewRole(self), registrar: membership.NewRegistrar[int](),
		linkUp: make(map[int]time.Duration), inbound: make(map[int]bool),
	}
}

// serves reports whether the gateway can serve callers.
func (n *node) serves() bool {
	return n.tables[configTable].has && n.tables[serverTable].has && n.tables[memberTable].has
}

func (f *Fleet) readerOf(i int) readers.Reader {
	n := f.nodes[i]
	return readers.Reader{Name: n.self.Name, FailureDomain: n.self.FailureDomain, LinkMbps: n.linkMbps}
}

// byKey returns gateways in the order of the keys of their rows.
func (f *Fleet) byKey(list []int) []int {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(f.keys[a], f.keys[b]) })
	return out
}
