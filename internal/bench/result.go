package bench

import (
	"math"
	"slices"
	"time"
)

// stallThreshold is the gap between tokens above which the rest of the gap counts as stall time.
const stallThreshold = 200 * time.Millisecond

// histogram counts durations in buckets whose bounds grow by one percent.
type histogram struct {
	count []uint64
	total uint64
}

const (
	histogramMin    = float64(100 * time.Microsecond)
	histogramGrowth = 1.01
)

var logHistogramGrowth = math.Log(histogramGrowth)

func (h *histogram) add(d time.Duration) {
	i := 0
	if f := float64(d); f > histogramMin {
		i = int(math.Log(f/histogramMin) / logHistogramGrowth)
	}
	for len(h.count) <= i {
		h.count = append(h.count, 0)
	}
	h.count[i]++
	h.total++
}

// Quantile returns the duration below which the fraction q of all durations lies.
func (h *histogram) Quantile(q float64) time.Duration {
	left := uint64(q * float64(h.total))
	for i, n := range h.count {
		if left < n {
			return time.Duration(histogramMin * math.Pow(histogramGrowth, float64(i)+0.5))
		}
		left -= n
	}
	return 0
}

// Class is the sum of the results of the small or of the large teams.
type Class struct {
	Offered, Refused, Finished int
	Canceled                   int
	Preemptions, TokensLost    int
	Tokens                     int
	Stall                      time.Duration
	stalls                     []time.Duration
	between                    histogram
	first                      histogram
}

// StallP99 returns the 99th percentile of the stalls.
func (c *Class) StallP99() time.Duration {
	if len(c.stalls) == 0 {
		return 0
	}
	slices.Sort(c.stalls)
	return c.stalls[len(c.stalls)*99/100]
}

// TimeBetweenTokens returns a quantile of the time between tokens.
func (c *Class) TimeBetweenTokens(q float64) time.Duration { return c.between.Quantile(q) }

// TimeToFirstToken returns a quantile of the time to the first token.
func (c *Class) TimeToFirstToken(q float64) time.Duration { return c.first.Quantile(q) }

// Result is the result of one run.
type Result struct {
	Small, Large Class
	Unfinished   int
	length       time.Duration
	tokens       []int
	demand       []int
	teams        []Team
}

func newResult(teams []Team, length time.Duration) *Result {
	return &Result{length: length, tokens: make([]int, len(teams)), demand: make([]int, len(teams)), teams: teams}
}

func (r *Result) class(t *Team) *Class {
	if t.Large {
		return &r.Large
	}
	return &r.Small
}

func (r *Result) recordToken(s *stream, now time.Duration) {
	c := r.class(s.team)
	if s.lastTokenAt == 0 && s.arrival.Emitted == 0 {
		c.first.add(now - s.arrival.At)
		return
	}
	gap := now - s.lastTokenAt
	if s.lastTokenAt == 0 {
		// A stream that migrated here waits from its arrival on.
		gap = now - s.arrival.At
	}
	c.between.add(gap)
	if gap > stallThreshold {
		c.Stall += gap - stallThreshold
		c.stalls = append(c.stalls, gap-stallThreshold)
	}
}

func (r *Result) recordFinished(s *stream) {
	c := r.class(s.team)
	c.Finished++
	c.Tokens += s.emitted
	r.tokens[s.arrival.Team] += s.emitted
}

// Goodput returns the tokens of finished requests per second.
func (r *Result) Goodput() float64 {
	return float64(r.Small.Tokens+r.Large.Tokens) / r.length.Seconds()
}

// JainIndex returns Jain's fairness index of the large teams' tokens divided by their weights. The small
// teams request less than their share, so their tokens depend on their demand.
func (r *Result) JainIndex() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i, t := range r.teams {
		if !t.Large {
			continue
		}
		x := float64(r.tokens[i]) / float64(t.Weight)
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

func sortArrivals(a []Arrival) {
	slices.SortStableFunc(a, func(x, y Arrival) int {
		if x.At < y.At {
			return -1
		}
		if x.At > y.At {
			return 1
		}
		return x.Team - y.Team
	})
}
