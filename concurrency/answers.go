package concurrency

import (
	"slices"
	"time"
)

const (
	// usualWindow is the number of answer times from which the usual one is taken, and
	// usualSpacing the least time between two of them once firstAnswers are known. The window
	// spans more than three seconds, so that a queue that stands for a second does not change
	// the usual time.
	usualWindow  = 24
	usualSpacing = 150 * time.Millisecond
	firstAnswers = 10
	// lowQuantile is the quantile of the answer times that counts. Answers that waited in a
	// server's queue are above it unless the server is overloaded most of the time.
	lowQuantile = 0.25
	// minAnswers is the least number of answers with a usual time.
	minAnswers = 2
	// maxUsualAge is how long a server's own usual time holds after its last answer.
	maxUsualAge = 10 * time.Second
	// maxAnswerTime bounds an answer time. A longer one says nothing of the capacity.
	maxAnswerTime = 30 * time.Second

	// fasterAnswers is the number of answers in a row below fasterPart of the usual time from which
	// the usual time is taken anew: a server that has been cold or overloaded no longer is. A
	// queue makes answers slower, never faster.
	fasterAnswers = 3
	fasterPart    = 0.8

	// recentWindow is the number of answers whose shortest time tells whether there is a queue
	// now, and maxRecentAge how long they count.
	recentWindow = 2
	maxRecentAge = 500 * time.Millisecond

	// slowFactor is the ratio to the usual answer time from which answers are slow: at a server
	// with half of its slots' number waiting.
	slowFactor = 1.5
	// slowMemory is how long a slow answer counts as a sign of overload.
	slowMemory = 2 * time.Second
	// penaltyPeriod is the period for which the capacity is lowered or raised once.
	penaltyPeriod = time.Second
	// penaltyStep is the part by which the capacity is lowered for a period with full or slow
	// answers, recoveryStep that by which it recovers in another one. minPenalty is the least part
	// that is left: answers must still show when the server is better.
	penaltyStep  = 0.1
	recoveryStep = 0.05
	minPenalty   = 0.2
)

// Answers are the answer times of a server, or of all servers of a service. The zero value has
// none.
type Answers struct {
	times  []time.Duration
	next   int
	usual  time.Duration
	latest time.Duration
	// faster counts the latest answers that were faster than usual.
	faster int

	recent     [recentWindow]time.Duration
	recentNext int
	recentAt   time.Duration

	// penalty is the part by which the capacity is lowered. period is the start of the current
	// period, slow and all the slow answers and all answers in it, full whether an answer was a
	// refusal for lack of capacity.
	penalty   float64
	period    time.Duration
	slow, all int
	slowAt    time.Duration
	full      bool
}

// Observe records the time of a complete answer.
func (a *Answers) Observe(took, now time.Duration) {
	if took <= 0 || took > maxAnswerTime {
		return
	}
	a.advance(now)
	if now-a.recentAt > maxRecentAge {
		a.recent = [recentWindow]time.Duration{}
	}
	a.recent[a.recentNext], a.recentAt = took, now
	a.recentNext = (a.recentNext + 1) % recentWindow
	a.all++
	if a.usual > 0 && float64(took) > slowFactor*float64(a.usual) {
		a.slow++
		a.slowAt = now
	}
	a.noteFaster(took)
	if len(a.times) >= firstAnswers && now-a.latest < usualSpacing {
		return
	}
	a.latest = now
	if len(a.times) < usualWindow {
		a.times = append(a.times, took)
	} else {
		a.times[a.next] = took
	}
	a.next = (a.next + 1) % usualWindow
	if len(a.times) >= minAnswers {
		var sorted [usualWindow]time.Duration
		n := copy(sorted[:], a.times)
		slices.Sort(sorted[:n])
		a.usual = sorted[int(lowQuantile*float64(n))]
	}
}

// noteFaster drops the earlier answer times once the latest answers were faster.
func (a *Answers) noteFaster(took time.Duration) {
	if float64(took) >= fasterPart*float64(a.usual) {
		a.faster = 0
		return
	}
	if a.faster++; a.faster == fasterAnswers {
		a.times, a.next, a.faster = append(a.times[:0], took), 0, 0
	}
}

// ObserveFull records a refusal for lack of capacity.
func (a *Answers) ObserveFull(now time.Duration) {
	a.advance(now)
	a.full = true
}

// advance changes the penalty for the periods that have ended.
func (a *Answers) advance(now time.Duration) {
	if a.period == 0 {
		a.period = now
	}
	if now-a.period < penaltyPeriod {
		return
	}
	if a.full || a.all >= recentWindow && float64(a.slow) > (1-lowQuantile)*float64(a.all) {
		a.penalty = min(1-minPenalty, a.penalty+penaltyStep)
	} else {
		a.penalty = max(0, a.penalty-recoveryStep)
	}
	idle := float64((now-a.period)/penaltyPeriod - 1)
	a.penalty = max(0, a.penalty-idle*recoveryStep)
	a.period, a.slow, a.all, a.full = now, 0, 0, false
}

// Usual returns the usual time of an answer, 0 if it is not known.
func (a *Answers) Usual() time.Duration { return a.usual }

// IsCurrent reports whether the usual time is known and not too old.
func (a *Answers) IsCurrent(now time.Duration) bool {
	return a.usual > 0 && now-a.latest <= maxUsualAge
}

// Fraction returns the part of the capacity that is left after full and slow answers.
func (a *Answers) Fraction(now time.Duration) float64 {
	a.advance(now)
	return 1 - a.penalty
}

// Delay returns how much longer than usual even the shortest of the latest answers took, 0 if that
// is not known.
func (a *Answers) Delay(now time.Duration) time.Duration {
	if a.usual == 0 || now-a.recentAt > maxRecentAge {
		return 0
	}
	shortest := slices.Min(a.recent[:])
	return max(0, shortest-a.usual)
}

// IsSlow reports whether an answer was slow lately.
func (a *Answers) IsSlow(now time.Duration) bool {
	return a.slowAt > 0 && now-a.slowAt < slowMemory
}
