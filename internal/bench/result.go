package bench

import (
	"math"
	"slices"
	"time"
)

// stallAfter is the gap from which waiting inside a stream is stall time.
const stallAfter = 200 * time.Millisecond

// histogram counts durations in buckets that are one percent wide.
type histogram struct {
	count []uint64
	total uint64
}

const (
	histogramLeast  = float64(100 * time.Microsecond)
	histogramGrowth = 1.01
)

var logHistogramGrowth = math.Log(histogramGrowth)

func (h *histogram) add(d time.Duration) {
	i := 0
	if f := float64(d); f > histogramLeast {
		i = int(math.Log(f/histogramLeast) / logHistogramGrowth)
	}
	for len(h.count) <= i {
		h.count = append(h.count, 0)
	}
	h.count[i]++
	h.total++
}

// Quantile is the duration below which the share q of all lies.
func (h *histogram) Quantile(q float64) time.Duration {
	left := uint64(q * float64(h.total))
	for i, n := range h.count {
		if left < n {
			return time.Duration(histogramLeast * math.Pow(histogramGrowth, float64(i)+0.5))
		}
		left -= n
	}
	return 0
}

// Class sums what happened to the small or to the large teams.
type Class struct {
	Offered, Refused, Finished int
	Cancelled                  int
	Preemptions, TokensLost    int
	Tokens                     int
	Stall                      time.Duration
	stalls                     []time.Duration
	between                    histogram
	first                      histogram
}

// StallP99 is the 99th percentile of the waits that count as stalls.
func (c *Class) StallP99() time.Duration {
	if len(c.stalls) == 0 {
		return 0
	}
	slices.Sort(c.stalls)
	return c.stalls[len(c.stalls)*99/100]
}

// Between is a quantile of the time between tokens.
func (c *Class) Between(q float64) time.Duration { return c.between.Quantile(q) }

// First is a quantile of the time to the first token.
func (c *Class) First(q float64) time.Duration { return c.first.Quantile(q) }

// Result is what one run gave.
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

func (r *Result) token(s *running, now time.Duration) {
	c := r.class(s.team)
	if s.last == 0 && s.arrival.Emitted == 0 {
		c.first.add(now - s.arrival.At)
		return
	}
	gap := now - s.last
	if s.last == 0 {
		// A stream that was moved here waits from its arrival on.
		gap = now - s.arrival.At
	}
	c.between.add(gap)
	if gap > stallAfter {
		c.Stall += gap - stallAfter
		c.stalls = append(c.stalls, gap-stallAfter)
	}
}

func (r *Result) finished(s *running) {
	c := r.class(s.team)
	c.Finished++
	c.Tokens += s.emitted
	r.tokens[s.arrival.Team] += s.emitted
}

// Goodput is the tokens of finished requests a second.
func (r *Result) Goodput() float64 {
	return float64(r.Small.Tokens+r.Large.Tokens) / r.length.Seconds()
}

// Jain is Jain's index of the large teams' tokens over their weights; the small
// teams ask for less than their share, so theirs follow their demand.
func (r *Result) Jain() float64 {
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
