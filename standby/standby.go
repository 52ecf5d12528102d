// Package standby decides which runs get a standby copy, where, and which copies are dropped when
// their memory is wanted. A standby copy is a copy of a run's memory at a second engine, which is
// refreshed as the run grows; if the run's engine crashes, the run continues there.
//
// The package is for deployments that may lose a whole failure domain at a time, whose engines have
// memory to spare between surges and whose long responses may not run again. There copies take a part of
// what runs and migrations leave while no request is queued, and are evicted for them: their memory does
// not count for a request, and it is freed before engines are full.
//
// All functions are pure; times are durations.
package standby

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxMemoryUse is the fraction of an engine's memory up to which copies are made, including them.
	// A request of a tenth of the memory still fits below DropMemoryUse, so a new copy is not dropped
	// for the next request.
	maxMemoryUse = 0.65
	// maxServiceMemoryUse is the same for all engines of a service. In fuller services requests wait
	// for copies to be dropped, and nearly all copies are gone by the time that engines crash.
	maxServiceMemoryUse = 0.6
	// minTime is the expected remaining time from which on a run gets a copy at all. Sending a
	// prompt's memory takes 0.2 s on two links, and a run that ends soon would lose little.
	minTime = 2 * time.Second
	// QueuePause is how long no request may have been queued here for lack of room before copies
	// are made again: memory is wanted by requests then, and a copy would soon be dropped.
	QueuePause = 2 * time.Second
	// DropMemoryUse is the fraction of an engine's memory in use, with all copies, beyond which
	// copies are dropped. The rest is free for the requests that come within the time that a drop
	// takes, so that they need not wait for it.
	DropMemoryUse = 0.8
	// MaxCopying is the number of copies that one gateway makes or refreshes at a time. Each takes
	// 0.16 s of two engines' links, behind which migrations wait.
	MaxCopying = 2
	// RetryInterval is the least time between two calls for the copy of one run. While memory is
	// short, runs of 8 s look for room eight times at most.
	RetryInterval = time.Second
	// RetryAfterDrop is the time for which a run gets no new copy after its copy was dropped: memory is
	// short at most engines then, and the next copy would soon be dropped as well.
	RetryAfterDrop = 2 * time.Second
	// RefreshEvents is the number of events after which a copy is refreshed. With 4 tokens in an
	// event, a resume computes some 260 tokens, which takes 20 ms.
	RefreshEvents = 64
	// PeerWait is how long a gateway waits for those that are to drop their copies before it: a
	// report of another gateway is up to 300 ms old, but after a request is placed it is sent at
	// once.
	PeerWait = 100 * time.Millisecond
)

// Limits bound where a copy may be made.
type Limits struct {
	// MaxMemoryUse and MaxServiceMemoryUse are fractions of the memory of the copy's engine,
	// including the copy, and of that of all engines of the service.
	MaxMemoryUse, MaxServiceMemoryUse float64
}

// LimitsFor returns the limits for a copy of a run that is expected to take remaining. queued is
// whether a request is queued for lack of room, or was within QueuePause. It returns false if no copy
// is to be made.
func LimitsFor(remaining time.Duration, queued bool) (Limits, bool) {
	l := Limits{MaxMemoryUse: maxMemoryUse, MaxServiceMemoryUse: maxServiceMemoryUse}
	return l, remaining >= minTime && !queued
}

// Place says in which failure domains an engine for a copy is looked for.
type Place int

const (
	// OtherDomain are all failure domains but the run's.
	OtherDomain Place = iota
	// SameDomain is the run's failure domain.
	SameDomain
)

// Places returns the places to look for room, in order. A copy in the run's failure domain is lost
// together with the run if the whole domain fails.
func Places() [2]Place { return [2]Place{OtherDomain, SameDomain} }

// Copy is a copy that a gateway may drop.
type Copy struct {
	// Events is the number of events that its run has made, Tokens its memory.
	Events, Tokens int
}

// Excess is by how much an engine's memory in use exceeds DropMemoryUse.
type Excess struct {
	Tokens int
	// PrecedingTokens is the memory of the copies of gateways that are to drop theirs first.
	PrecedingTokens int
	// For is how long there has been an excess.
	For time.Duration
}

// wanted returns the number of tokens that this gateway is to free. The gateways before it may be
// cut off, so that it waits for them for PeerWait only.
func (e Excess) wanted() int {
	if e.For >= PeerWait {
		return e.Tokens
	}
	return e.Tokens - max(0, e.PrecedingTokens)
}

// Drops returns the indices of the copies to drop. Copies of the runs that would lose least go
// first, which are those with the fewest events.
func Drops(e Excess, copies []Copy) []int {
	wanted := e.wanted()
	if wanted <= 0 {
		return nil
	}
	order := make([]int, len(copies))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(copies[a].Events, copies[b].Events) })
	for n, i := range order {
		if wanted <= 0 {
			return order[:n]
		}
		wanted -= max(0, copies[i].Tokens)
	}
	return order
}
