// Package prefill decides on which engines of a service prompts are read and on which ones streams
// run, where engines of different speed make that worthwhile.
//
// An engine that reads a prompt beside its streams takes about twice as long for each step, and an
// engine in a dip takes 2.5 times as long. On a fast engine both together stay within the bound that
// a route sets for the pauses of its streams; on a slow one they don't. The load that the package is
// for: engines of which some are at least a quarter faster than the mean, long generations with a
// bound on pauses, and short ones whose prompts take as long to read as those of the long ones.
//
// The package does no I/O and reads no clock; times are points on one monotonic clock.
package prefill

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the kind of a request's generation.
type Kind uint8

// The kinds.
const (
	// KindOther is a request that is placed without regard to roles.
	KindOther Kind = iota
	// KindShort is a generation of a few events, KindLong one whose pauses are bounded.
	KindShort
	KindLong
	// KindCopy is a copy of the memory of a run with bounded pauses.
	KindCopy
)

// Role is what an engine is used for.
type Role uint8

// The roles.
const (
	// RoleNone is the role of every engine while roles are not used, and of an engine that is
	// leaving or cordoned.
	RoleNone Role = iota
	// RoleUnknown is the role of an engine whose pace is not known yet. It may read prompts.
	RoleUnknown
	// RoleTolerant is the role of an engine whose streams stay within the bound beside prompts. It
	// reads prompts and runs streams.
	RoleTolerant
	// RolePrefill is the role of a sensitive engine that reads prompts.
	RolePrefill
	// RoleStream is the role of a sensitive engine that runs streams and reads no prompts.
	RoleStream
)

const (
	// fastShare is the share of the mean usual pause up to which an engine is fast. Engines of
	// equal speed differ by up to 0.85 of the mean, depending on how many requests run beside.
	// fastShareOff applies while roles are in use.
	fastShare, fastShareOff = 0.75, 0.8
	// minFastShare is the part of the engines that must be fast: a single wrong estimate among
	// many engines must not change the placement of all requests.
	minFastShare, minFastShareOff = 1.0 / 8, 1.0 / 16
	// tolerantShare is the part of the bound up to which the expected longest pause of an engine
	// makes it tolerant. An engine at the bound itself exceeds it in one dip of twenty.
	// tolerantShareOff applies to an engine that is tolerant already.
	tolerantShare, tolerantShareOff = 0.75, 0.85
	// maxMemoryUse is the part of the memory of all engines from which on roles are not used:
	// streams find no room elsewhere, and prompts go wherever there is room. maxMemoryUseOff
	// applies while roles are in use.
	maxMemoryUse, maxMemoryUseOff = 0.9, 0.95
	// MaxCopyTime is how long the link may take for the copy of a run that is moved. The run is
	// beside other prompts for as long.
	MaxCopyTime = 300 * time.Millisecond
	// boundAge is how long the bound of a generation counts after the last one.
	boundAge = time.Minute
	// targetBusy is the part of the time that the prefill engines should read: at 0.7 a prompt
	// waits about as long as it takes to read.
	targetBusy = 0.7
	// planInterval is the least time between two plans. Reports of loads are 50 to 300 ms old.
	planInterval = 100 * time.Millisecond
	// loadRise and loadFall are the time constants of the moving average of the prompt load. It
	// falls slowly, as each engine that becomes a prefill engine again exposes the streams that it
	// has got in between. It rises slower than a surge of one or two seconds, which the prefill
	// engines can read late by a part of a second: with 3 s, the set follows the noise of a few
	// engines and leaves too few for the streams.
	loadRise, loadFall = 8 * time.Second, 20 * time.Second
	// shrinkMargin is how far the load must be below what the set without one engine can read, and
	// shrinkInterval how long after the last change, for an engine to be taken out of the set.
	shrinkMargin   = 1.15
	shrinkInterval = 2 * time.Second
)

// Engine is an engine as a gateway knows it.
type Engine struct {
	Name string
	// Hash orders the engines alike at all gateways.
	Hash uint64
	// Pause is the usual time between two events of its streams, 0 if unknown.
	Pause time.Duration
	// PromptTokens is the number of prompt tokens that it has to read.
	PromptTokens int
}

// Planner assigns the roles of the engines of one service. The zero value has no roles. It is not
// safe for concurrent use.
type Planner struct {
	// bound is the shortest bound on pauses of recent generations, boundAt when it was last seen.
	bound   time.Duration
	boundAt time.Duration
	// copyTime is the moving average of the time that a link takes for the memory of a long run, 0
	// if unknown.
	copyTime time.Duration
	beside   besidePrompts
	// load is the moving average of the number of engines of mean speed that read all the time.
	load      float64
	plannedAt time.Duration
	planned   bool
	roles     map[string]Role
	mean      time.Duration
	// sensitiveCount is the number of sensitive engines that read prompts. changedAt is when it
	// last changed.
	sensitiveCount int
	changedAt      time.Duration
	scratch        []Engine
}

// copyTimeWeight is the weight of the newest run in the moving average of copy times.
const copyTimeWeight = 0.1

// ObserveLong records a generation with a bound on its pauses and the time that a link takes to copy
// its memory, 0 if unknown.
func (p *Planner) ObserveLong(bound, copyTime, now time.Duration) {
	if bound <= 0 {
		return
	}
	if p.bound == 0 || bound <= p.bound || now-p.boundAt > boundAge {
		p.bound, p.boundAt = bound, now
	}
	if p.copyTime == 0 || copyTime <= 0 {
		p.copyTime = max(0, copyTime)
		return
	}
	p.copyTime += time.Duration(copyTimeWeight * float64(copyTime-p.copyTime))
}

// Due reports whether Plan should be called.
func (p *Planner) Due(now time.Duration) bool {
	return p.bound > 0 && (!p.planned || now-p.plannedAt >= planInterval || now < p.plannedAt)
}

// Active reports whether engines have roles.
func (p *Planner) Active() bool { return p != nil && len(p.roles) > 0 }

// Role returns the role of an engine.
func (p *Planner) Role(name string) Role {
	if p == nil {
		return RoleNone
	}
	return p.roles[name]
}

// Slowness returns how many times longer than usual an engine with a usual pause takes to read a prompt.
func (p *Planner) Slowness(pause time.Duration) float64 {
	if p == nil || pause <= 0 || p.mean <= 0 {
		return 1
	}
	return float64(pause) / float64(p.mean)
}

// Count returns the number of engines with a role.
func (p *Planner) Count(role Role) (n int) {
	if p == nil {
		return 0
	}
	for _, r := range p.roles {
		if r == role {
			n++
		}
	}
	return n
}

// Plan assigns the roles. engines are those that take requests, memoryUse is the part of the memory of
// all of them in use.
func (p *Planner) Plan(engines []Engine, memoryUse float64, now time.Duration) {
	mean, known := meanPause(engines)
	p.observeLoad(engines, mean, now)
	p.mean = mean
	old := p.roles
	p.roles = nil
	if !p.isWorthwhile(engines, mean, known, memoryUse, len(old) > 0, now) {
		p.sensitiveCount = 0
		return
	}
	roles := make(map[string]Role, len(engines))
	sensitive := p.scratch[:0]
	speed := 0.0
	for _, e := range engines {
		switch {
		case e.Pause <= 0:
			roles[e.Name] = RoleUnknown
			speed += 1
		case p.isTolerant(e, old[e.Name] == RoleTolerant):
			roles[e.Name] = RoleTolerant
			speed += relativeSpeed(e, mean)
		default:
			sensitive = append(sensitive, e)
		}
	}
	p.scratch = sensitive
	if p.countRole(roles, RoleTolerant) == 0 || len(sensitive) == 0 {
		p.sensitiveCount = 0
		return
	}
	slices.SortFunc(sensitive, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.Name, b.Name))
	})
	p.resize(sensitive, speed, mean, now)
	for i, e := range sensitive {
		roles[e.Name] = RoleStream
		if i < p.sensitiveCount {
			roles[e.Name] = RolePrefill
		}
	}
	p.roles = roles
}

func (p *Planner) countRole(roles map[string]Role, role Role) (n int) {
	for _, r := range roles {
		if r == role {
			n++
		}
	}
	return n
}

// resize sets the number of sensitive engines that read prompts. speed is the speed of the other
// engines that read.
func (p *Planner) resize(sensitive []Engine, speed float64, mean, now time.Duration) {
	needed := countNeeded(sensitive, speed, mean, p.load)
	count := min(p.sensitiveCount, len(sensitive))
	switch {
	case needed > count:
		count = needed
	case count > 0 && now-p.changedAt >= shrinkInterval && countNeeded(sensitive, speed, mean, shrinkMargin*p.load) < count:
		count--
	}
	if count != p.sensitiveCount {
		p.sensitiveCount, p.changedAt = count, now
	}
}

// countNeeded returns how many of the sensitive engines are needed to read a prompt load.
func countNeeded(sensitive []Engine, speed float64, mean time.Duration, load float64) int {
	for i, e := range sensitive {
		if targetBusy*speed >= load {
			return i
		}
		speed += relativeSpeed(e, mean)
	}
	return len(sensitive)
}

// isWorthwhile reports whether engines should have roles. known is the number of engines whose pace is
// known.
func (p *Planner) isWorthwhile(engines []Engine, mean time.Duration, known int, memoryUse float64, active bool, now time.Duration) bool {
	share, minFast, maxUse := fastShare, minFastShare, maxMemoryUse
	if active {
		share, minFast, maxUse = fastShareOff, minFastShareOff, maxMemoryUseOff
	}
	if p.bound <= 0 || now-p.boundAt > boundAge || p.copyTime <= 0 || p.copyTime > MaxCopyTime || 2*known < len(engines) || !(memoryUse <= maxUse) {
		return false
	}
	fast := 0
	for _, e := range engines {
		if e.Pause > 0 && float64(e.Pause) <= share*float64(mean) {
			fast++
		}
	}
	return fast > 0 && float64(fast) >= minFast*float64(known)
}

// isTolerant reports whether the streams of an engine stay within the bound beside prompts.
func (p *Planner) isTolerant(e Engine, already bool) bool {
	share := tolerantShare
	if already {
		share = tolerantShareOff
	}
	return float64(e.Pause)*p.beside.stretch() <= share*float64(p.bound)
}

// observeLoad adds the engines that read a prompt now to the moving average.
func (p *Planner) observeLoad(engines []Engine, mean, now time.Duration) {
	busy := 0.0
	for _, e := range engines {
		if e.PromptTokens > 0 {
			busy += relativeSpeed(e, mean)
		}
	}
	elapsed := now - p.plannedAt
	if !p.planned || elapsed < 0 {
		elapsed = 0
	}
	p.planned, p.plannedAt = true, now
	constant := loadRise
	if busy < p.load {
		constant = loadFall
	}
	p.load += (busy - p.load) * min(1, elapsed.Seconds()/constant.Seconds())
}

// relativeSpeed returns the speed of an engine relative to the mean.
func relativeSpeed(e Engine, mean time.Duration) float64 {
	if e.Pause <= 0 || mean <= 0 {
		return 1
	}
	return float64(mean) / float64(e.Pause)
}

func meanPause(engines []Engine) (mean time.Duration, known int) {
	sum := time.Duration(0)
	for _, e := range engines {
		if e.Pause > 0 {
			sum += e.Pause
			known++
		}
	}
	if known == 0 {
		return 0, 0
	}
	return sum / time.Duration(known), known
}
