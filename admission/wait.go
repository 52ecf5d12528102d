package admission

import (
	"math"
	"time"

	"kingcupplank.example/kingcup/flow"
)

const (
	// usableMemory is the part of the engines' memory that generations have in use while some are
	// queued: the last free tokens of an engine are too few for one more.
	usableMemory = 0.9
	// turnoverGain is the weight of the newest generation in the average time for which a token of
	// memory is in use.
	turnoverGain = 0.02
	// minStarted is the number of started generations from which on that average is used.
	minStarted = 10
	// inflowHalfLife is the time after which an arrival counts half. Surges last seconds.
	inflowHalfLife = 2 * time.Second
	// minDrainShare is the part of the freed memory that generations get at least while more urgent
	// ones arrive: an arrival rate that is measured over seconds is no forecast for a minute.
	minDrainShare = 0.05
	// onTimeShare is the part of the time in which a generation can start on time up to which its
	// estimated wait may be. Waits are often longer than estimated, and one that is queued must be
	// served.
	onTimeShare = 0.7
	// largeTeamShare is the same for generations that are not light of teams of largeTeamLevel and above:
	// others that arrive later pass them.
	largeTeamShare = 0.5
	largeTeamLevel = 2
	// minWaitShare is the part of the time until the caller leaves that counts in place of the time in
	// which a generation can start on time, if that is shorter. A target may be shorter than the prompt
	// takes to read.
	minWaitShare = 0.35
	// lostMemoryShare is the part of the engines' memory below which the remaining part counts as a
	// loss of engines, so that queued generations are checked again.
	lostMemoryShare = 0.95
	// maxEstimate bounds an estimated wait.
	maxEstimate = time.Hour
)

// View is what is known of the service beside the queue.
type View struct {
	// Memory is the memory in tokens of all engines that take requests.
	Memory int
	// Queues are the queues of other gateways. Usage is the usage that they have reported, LightUsage
	// the part of it by light generations.
	Queues            []flow.Contender
	Usage, LightUsage []flow.Usage
}

// turnover is the average time for which started generations have memory in use, weighted by their
// memory.
type turnover struct {
	tokens, product float64
	started         int
}

func (t *turnover) add(d Demand) {
	gain := max(turnoverGain, 1/float64(t.started+1))
	t.tokens += gain * (d.tokens() - t.tokens)
	t.product += gain * (d.Product() - t.product)
	t.started++
}

// perSecond returns the tokens per second that engines with some memory free, 0 if unknown.
func (t *turnover) perSecond(memory int) float64 {
	if t.started < minStarted || t.product <= 0 {
		return 0
	}
	return usableMemory * float64(memory) * t.tokens / t.product
}

// inflow is what arriving generations ask for, decayed over time.
type inflow struct {
	// tokens is their memory by place, lightProduct the product of the light ones.
	tokens       map[place]float64
	lightProduct float64
	decayedAt    time.Duration
}

func (f *inflow) decay(now time.Duration) {
	if now <= f.decayedAt {
		return
	}
	factor := math.Exp2(-float64(now-f.decayedAt) / float64(inflowHalfLife))
	f.decayedAt = now
	f.lightProduct *= factor
	for p, tokens := range f.tokens {
		if tokens *= factor; tokens < 1 {
			delete(f.tokens, p)
		} else {
			f.tokens[p] = tokens
		}
	}
}

func (f *inflow) add(p place, d Demand, light bool, now time.Duration) {
	f.decay(now)
	if f.tokens == nil {
		f.tokens = make(map[place]float64)
	}
	f.tokens[p] += d.tokens()
	if light {
		f.lightProduct += d.Product()
	}
}

// decayedPerSecond turns a decayed sum into a rate per second.
const decayedPerSecond = math.Ln2 * float64(time.Second) / float64(inflowHalfLife)

// perSecond returns the tokens per second that arrive at places before p.
func (f *inflow) perSecond(p place, now time.Duration) float64 {
	f.decay(now)
	sum := 0.0
	for o, tokens := range f.tokens {
		if o.compare(p) < 0 {
			sum += tokens
		}
	}
	return sum * decayedPerSecond
}

// lightPerSecond returns the token seconds that light generations ask for in a second.
func (f *inflow) lightPerSecond() float64 { return f.lightProduct * decayedPerSecond }

// EstimateWait estimates how long a generation waits: for the memory that generations ahead of it
// need, here and at other gateways, at the rate at which engines free memory that more urgent
// arrivals don't take. It is false if too little is known.
func (q *Queue) EstimateWait(w *Waiter, v View, now time.Duration) (time.Duration, bool) {
	freed := q.turnover.perSecond(v.Memory)
	if freed <= 0 {
		return 0, false
	}
	p := placeOf(w, now)
	ahead := q.tokensAhead(w, v, p, now)
	drain := max(minDrainShare*freed, freed-q.inflow.perSecond(p, now)*q.scale(v.Usage, now))
	return time.Duration(min(maxEstimate.Seconds(), ahead/drain) * float64(time.Second)), true
}

// isLateEqual reports whether o is a late generation of the same kind and of a tier and a level that
// are at least as urgent as w's. It counts as ahead of w although w is dispatched first: if
// generations were accepted as long as they can be on time themselves, the late ones would never be
// served.
func isLateEqual(o, w *Waiter, now time.Duration) bool {
	return now > o.OnTimeDeadline && o.Light == w.Light && o.Priority <= w.Priority && o.Level <= w.Level
}

// tokensAhead returns the tokens queued here and at other gateways that are ahead of a generation.
func (q *Queue) tokensAhead(w *Waiter, v View, p place, now time.Duration) float64 {
	ahead, own, share := 0.0, 0.0, 0.0
	// Of generations that are equal in the order, those that were queued earlier are ahead.
	isEarlier := true
	for _, o := range q.waiting {
		if o == w {
			isEarlier = false
			continue
		}
		own += float64(o.MemoryTokens)
		if isBefore(o, w, now) || isEarlier && !isBefore(w, o, now) || isLateEqual(o, w, now) {
			ahead += float64(o.MemoryTokens)
		}
	}
	if own > 0 {
		share = ahead / own
	}
	for _, c := range v.Queues {
		ahead += aheadAt(c, p, share)
	}
	return ahead
}

// aheadAt returns the tokens queued at another gateway that are ahead of a place: those of its most
// urgent generations if they are, and at least as large a part as of the own queue.
func aheadAt(c flow.Contender, p place, ownShare float64) float64 {
	share := ownShare
	if c.Rank <= p.rank && c.Waiting > 0 {
		share = max(share, float64(min(c.WaitingAtRank, c.Waiting))/float64(c.Waiting))
	}
	return share * float64(max(0, c.Tokens))
}

// ShouldRefuse reports whether an arriving generation is refused: by the estimate it would be late, and
// late ones only get what others leave, if anything. It sets the waiter's EstimatedWait.
func (q *Queue) ShouldRefuse(w *Waiter, v View, now time.Duration) bool {
	w.memory = v.Memory
	if !q.IsActive() {
		w.EstimatedWait = q.present.EstimateWait(&w.Waiter, now)
		return q.present.ShouldReject(&w.Waiter, now)
	}
	wait, known := q.EstimateWait(w, v, now)
	w.EstimatedWait = wait
	if !known {
		return q.present.ShouldReject(&w.Waiter, now)
	}
	return wait > w.maxWait(now)
}

// maxWait returns the longest estimated wait with which the generation is accepted.
func (w *Waiter) maxWait(now time.Duration) time.Duration {
	share := onTimeShare
	if !w.Light && w.Level >= largeTeamLevel {
		share = largeTeamShare
	}
	left := max(w.OnTimeDeadline-now, time.Duration(minWaitShare*float64(w.DispatchDeadline-now)))
	return time.Duration(share * float64(left))
}

// HaveEnginesGone reports whether much of the memory that engines had on the generation's arrival is
// gone. memory is what they have now, in tokens.
func (w *Waiter) HaveEnginesGone(memory int) bool {
	return float64(memory) < lostMemoryShare*float64(w.memory)
}

// ShouldGiveUp reports whether a queued generation is refused: its caller would leave before the
// answer is complete, or engines have been lost and it can't be started in time any more. Unless
// HaveEnginesGone, v needs only Memory.
func (q *Queue) ShouldGiveUp(w *Waiter, v View, now time.Duration) bool {
	if !q.IsActive() {
		return q.present.ShouldReject(&w.Waiter, now)
	}
	if now > w.DispatchDeadline {
		return true
	}
	if !w.HaveEnginesGone(v.Memory) {
		return false
	}
	wait, known := q.EstimateWait(w, v, now)
	return known && now+wait > w.DispatchDeadline
}

const (
	// earliestShare is the part of the longest retry time below which the retries of refused callers
	// start at the latest, so that they are spread at all.
	earliestShare = 0.8
	// minRetryAfter is the least retry time, minSpread the least time over which retries are spread.
	minRetryAfter = 50 * time.Millisecond
	minSpread     = 400 * time.Millisecond
)

// RetryAfter returns the time after which the caller of a refused generation should retry: when there
// is room by the estimate, spread over as long again. honored is the longest time that the caller
// waits, draw a random number below 1.
func (q *Queue) RetryAfter(w *Waiter, honored time.Duration, draw float64) time.Duration {
	wait := max(minRetryAfter, w.EstimatedWait)
	from := min(wait, time.Duration(earliestShare*float64(honored)))
	to := min(honored, from+max(minSpread, wait))
	return from + time.Duration(draw*float64(max(0, to-from)))
}
