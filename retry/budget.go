// Package retry bounds the load that retries add. It does no I/O and reads no clock; times are
// passed in. Its types must not be used by several goroutines at the same time.
//
// All gateways share one bound for each service: in any window, the retries of its requests must not
// exceed Ratio times its requests plus Extra. Each gateway may retry Ratio times its own requests. Extra is
// shared by what the gateways tell each other (Peers), and what a process has used of it stays used for a
// window after its end.
package retry

import "time"

// Settings bound the retries of one service over all gateways.
type Settings struct {
	// Ratio is the number of retries that each request allows, Extra the number of further ones in
	// a window.
	Ratio, Extra float64
	// Window is the length of the sliding window; DefaultWindow if 0.
	Window time.Duration
}

// DefaultWindow is the window where the settings have none.
const DefaultWindow = 10 * time.Second

func (s Settings) window() time.Duration {
	if s.Window <= 0 {
		return DefaultWindow
	}
	return s.Window
}

// Kind is why a request is sent to a further server. Less valuable kinds leave more for the others.
type Kind string

// The kinds, the most valuable first.
const (
	// Continuation: a run that has stopped or lost its server continues from a copy.
	Continuation Kind = "continuation"
	// Repeat: the first attempt has failed, or its server has not run the request.
	Repeat Kind = "repeat"
	// FurtherRepeat: so have the first attempt and a repeat.
	FurtherRepeat Kind = "further repeat"
	// Hedge: a silent run continues from its standby copy.
	Hedge Kind = "hedge"
	// Race: the first server does not begin to respond in time.
	Race Kind = "race"
)

// reserve returns the part of a budget that a retry of this kind leaves for others.
func (k Kind) reserve() float64 {
	switch k {
	case Continuation:
		return 0
	case Repeat:
		return 0.02
	case FurtherRepeat:
		return 0.1
	}
	return 0.25
}

const (
	// sharedPart is the part of Extra that gateways share by what they tell each other. The rest covers
	// what they have not told yet and unusedPart.
	sharedPart = 0.82
	// unusedPart is the part of Extra by which all gateways together may retry more in a span than the
	// requests of that span allow: requests of before have allowed it.
	unusedPart = 0.1
	// toldAhead is the part of its share that a gateway tells the others as used before it is used.
	toldAhead = 0.5
	// freeContinuations is the number of continuations that are allowed without a share: that many have
	// been begun in the window and were neither continued by a server nor unsent.
	freeContinuations = 2
	// shareInterval is how long a share is used before it is computed again.
	shareInterval = 50 * time.Millisecond
)

// Budget decides which retries of one service's requests a gateway may make. The zero value is ready.
type Budget struct {
	counts windowCounts
	// share is the part of Extra that this gateway may use, as of sharedAt, unused the part that requests
	// of before may allow.
	share, unused float64
	sharedAt      time.Duration
	hasShare      bool
	// told is what the others were told.
	told float64
}

// RecordFirst counts the first attempt of a request.
func (b *Budget) RecordFirst(s Settings, now time.Duration) {
	b.counts.advance(s.window(), now)
	b.counts.at(0).first++
}

// IsShareDue reports whether UpdateShare is to be called before the next decision.
func (b *Budget) IsShareDue(now time.Duration) bool {
	return !b.hasShare || now-b.sharedAt >= shareInterval
}

// UpdateShare computes the share of the extra retries anew.
func (b *Budget) UpdateShare(s Settings, v View, now time.Duration) {
	b.counts.advance(s.window(), now)
	first, _ := b.counts.totals()
	b.share = v.share(sharedPart*s.Extra, float64(first))
	b.unused = unusedPart * s.Extra / float64(max(1, v.Gateways))
	if v.Gateways <= 1 && !v.Whole {
		b.unused = 0
	}
	b.sharedAt, b.hasShare = now, true
}

// TryTake reports whether a retry is allowed, and counts it if so. A continuation is also allowed while few
// others are under way or were rejected in the window: a run that its server continues is given back.
func (b *Budget) TryTake(s Settings, k Kind, now time.Duration) bool {
	b.counts.advance(s.window(), now)
	isFree := k == Continuation && b.counts.continuations() < freeContinuations
	if !isFree && b.left(s) < 1+k.reserve()*b.size(s) {
		return false
	}
	b.counts.at(0).retries++
	if k == Continuation {
		b.counts.at(0).continuations++
	}
	return true
}

// GiveBack takes back a retry that was counted at a time: it has not reached a server, or its server
// continues the run, which is no further run of the request.
func (b *Budget) GiveBack(s Settings, k Kind, at, now time.Duration) {
	b.counts.advance(s.window(), now)
	b.counts.giveBack(k, at)
}

// Left returns the number of retries that are left.
func (b *Budget) Left(s Settings, now time.Duration) float64 {
	b.counts.advance(s.window(), now)
	return b.left(s)
}

func (b *Budget) left(s Settings) float64 {
	most, whole := b.counts.debts(s.Ratio)
	return min(b.share+b.unused-most, b.share-whole)
}

// size returns the number of retries that the budget allows in a window with as many requests as this one.
func (b *Budget) size(s Settings) float64 {
	first, _ := b.counts.totals()
	return b.share + b.unused + s.Ratio*float64(first)
}

// Use is what a gateway tells the others of a service's retries.
type Use struct {
	// Extra is how much of the extra retries it has used or may use before it tells more.
	Extra float64
	// Requests is the number of requests in the window.
	Requests float64
}

// Tell returns what the others are to be told.
func (b *Budget) Tell(s Settings, now time.Duration) Use {
	b.counts.advance(s.window(), now)
	first, _ := b.counts.totals()
	b.told = b.ahead(s)
	return Use{Extra: b.told, Requests: float64(first)}
}

// IsTold reports whether what is used is within what the others were told last.
func (b *Budget) IsTold(s Settings) bool { return b.used(s) <= b.told }

func (b *Budget) ahead(s Settings) float64 {
	used := b.used(s)
	return max(used, min(b.share, used+toldAhead*b.share))
}

// used returns how much of the extra retries is in use.
func (b *Budget) used(s Settings) float64 {
	most, _ := b.counts.debts(s.Ratio)
	return max(0, most)
}

// Status describes a budget.
type Status struct {
	// Requests and Retries are those in the window.
	Requests, Retries int
	// Share is the part of the extra retries that this gateway may use, Used what it uses, Left the
	// number of retries that are left.
	Share, Used, Left float64
}

// Status returns the current status.
func (b *Budget) Status(s Settings, now time.Duration) Status {
	b.counts.advance(s.window(), now)
	first, retries := b.counts.totals()
	return Status{Requests: first, Retries: retries, Share: b.share, Used: b.used(s), Left: b.left(s)}
}
