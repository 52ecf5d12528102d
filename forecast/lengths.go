// Package forecast estimates how long a generation of unknown length will run,
// from the lengths that finished before it. It is pure: no clock, no I/O and no
// random source. Values are for one goroutine at a time.
package forecast

import "math"

const (
	// Buckets is the number of length classes of a histogram.
	Buckets = 48
	// Bucket 0 ends at firstEnd tokens and each following one is growth times
	// as long, so that the last one ends beyond 100,000 tokens.
	firstEnd = 8
	growth   = 1.23
	// Each observation scales the older ones by decay, so that about the last
	// thousand count.
	decay = 0.999
	// priorWeight is how many observations the prior is worth. A team that has
	// finished few requests is forecast by its model's other teams.
	priorWeight = 16
)

var bucketEnds = func() (ends [Buckets]float64) {
	end := float64(firstEnd)
	for i := range ends {
		ends[i] = end
		end *= growth
	}
	return ends
}()

var logGrowth = math.Log(growth)

// bucketOf is the position of a length in units of buckets.
func bucketOf(tokens float64) float64 {
	if tokens <= firstEnd {
		return tokens / firstEnd
	}
	return 1 + math.Log(tokens/firstEnd)/logGrowth
}

// LengthHistogram is a decayed histogram of output lengths, on top of a prior.
type LengthHistogram struct {
	prior *LengthHistogram
	count [Buckets]float64
	total float64
	// scale grows instead of all counts shrinking, which makes Observe cheap.
	scale float64
	// tail[i] is the share of lengths that end in bucket i or later.
	tail  [Buckets + 1]float64
	stale int
}

// staleAfter is how many observations may pass before the tail is refreshed.
const staleAfter = 8

const maxScale = 1e9

// NewLengthHistogram returns an empty histogram. A nil prior is a broad guess.
func NewLengthHistogram(prior *LengthHistogram) *LengthHistogram {
	l := &LengthHistogram{prior: prior, scale: 1}
	l.refresh()
	return l
}

// Observe records the length of a generation that finished by itself.
func (l *LengthHistogram) Observe(tokens int) {
	i := min(int(bucketOf(float64(tokens))), Buckets-1)
	l.count[i] += l.scale
	l.total += l.scale
	l.scale /= decay
	if l.scale > maxScale {
		l.rescale()
	}
	l.stale++
	if l.stale >= staleAfter || l.total < staleAfter {
		l.refresh()
	}
}

func (l *LengthHistogram) rescale() {
	for i := range l.count {
		l.count[i] /= l.scale
	}
	l.total /= l.scale
	l.scale = 1
}

func (l *LengthHistogram) refresh() {
	l.stale = 0
	total := l.total/l.scale + priorWeight
	acc := 0.0
	for i := Buckets - 1; i >= 0; i-- {
		acc += l.count[i] / l.scale
		l.tail[i] = (acc + priorWeight*l.priorTail(i)) / total
	}
	l.tail[0] = 1
}

// priorTail of the broad guess halves every four buckets, which is roughly a
// factor of 2.3 in length.
func (l *LengthHistogram) priorTail(i int) float64 {
	if l.prior != nil {
		return l.prior.tail[i]
	}
	const flat = 14
	if i <= flat {
		return 1
	}
	return math.Exp2(-float64(i-flat) / 4)
}

// beyondLast is the part of those that reach the last bucket that is assumed to be
// longer than it.
const beyondLast = 0.5

// Survival is the share of generations that are longer than tokens.
func (l *LengthHistogram) Survival(tokens float64) float64 {
	pos := bucketOf(tokens)
	i := int(pos)
	if i >= Buckets {
		return l.tail[Buckets-1] * beyondLast
	}
	next := l.tail[i+1]
	if i == Buckets-1 {
		// Down to what stands beyond it: a line to nothing would fall below that.
		next = l.tail[i] * beyondLast
	}
	frac := pos - float64(i)
	return l.tail[i]*(1-frac) + next*frac
}

// Alive is the probability that a stream that has emitted tokens is still
// running after ahead more.
func (l *LengthHistogram) Alive(emitted, ahead float64) float64 {
	now := l.Survival(emitted)
	if now <= 0 {
		return 0.5
	}
	return min(1, l.Survival(emitted+ahead)/now)
}

// Remaining is the mean number of tokens that a stream still has to emit after
// emitted ones, counted to the end of the last bucket.
func (l *LengthHistogram) Remaining(emitted float64) float64 {
	now := l.Survival(emitted)
	if now <= 0 {
		return emitted
	}
	sum, from, s := 0.0, emitted, now
	for i := int(bucketOf(emitted)); i < Buckets; i++ {
		end := bucketEnds[i]
		if end <= from {
			continue
		}
		next := l.tail[i+1]
		sum += (end - from) * (s + next) / 2
		from, s = end, next
	}
	return sum / now
}
