// Package fuzzseed gives fuzz targets a corpus that is mutated from their seeds by a fixed
// rule: each run of the tests plays the same inputs, so that one commit has one verdict.
// Fresh inputs are for go test -fuzz, by hand.
package fuzzseed

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Inputs is how many mutated inputs Grow adds.
const Inputs = 2000

// mostChanges bounds the changes to one input.
const mostChanges = 6

// Corpus adds inputs to a fuzz target.
type Corpus struct {
	f     *testing.F
	rng   *rand.Rand
	seeds [][]any
}

// New returns a corpus for a target.
func New(f *testing.F) *Corpus { return &Corpus{f: f, rng: rand.New(rand.NewPCG(1, 2))} }

// Add adds a seed, as testing.F does; its arguments are byte slices and strings.
func (c *Corpus) Add(args ...any) {
	c.f.Helper()
	c.f.Add(args...)
	c.seeds = append(c.seeds, args)
}

// AddMutations adds inputs mutated from the seeds.
func (c *Corpus) AddMutations() {
	c.f.Helper()
	for range Inputs {
		seed := c.seeds[c.rng.IntN(len(c.seeds))]
		other := c.seeds[c.rng.IntN(len(c.seeds))]
		args := make([]any, len(seed))
		for i := range seed {
			args[i] = c.argument(seed[i], other[i])
		}
		c.f.Add(args...)
	}
}

func (c *Corpus) argument(from, other any) any {
	if s, ok := from.(string); ok {
		return string(c.mutate([]byte(s), []byte(other.(string))))
	}
	return c.mutate(from.([]byte), other.([]byte))
}

// awkward are texts and bytes that readers of numbers, texts and lengths get wrong.
var awkward = []string{"-1", "0", "18446744073709551616", "9e999", "null", "{", "}", "[", "\"", "\x00", "\xff\xff\xff\xff", "\xff\xff\xff\xff\xff\xff\xff\xff\x01", "\u2028", ""}

// mutate changes an input in a few places; other is a further seed to splice in.
func (c *Corpus) mutate(in, other []byte) []byte {
	out := slices.Clone(in)
	for range 1 + c.rng.IntN(mostChanges) {
		at := c.rng.IntN(len(out) + 1)
		end := min(len(out), at+c.rng.IntN(16))
		switch c.rng.IntN(6) {
		case 0:
			if at < len(out) {
				out[at] ^= 1 << c.rng.IntN(8)
			}
		case 1:
			out = slices.Delete(out, at, end)
		case 2:
			out = slices.Insert(out, at, slices.Clone(out[at:end])...)
		case 3:
			out = slices.Replace(out, at, end, []byte(awkward[c.rng.IntN(len(awkward))])...)
		case 4:
			if len(other) > 0 {
				from := c.rng.IntN(len(other))
				out = slices.Insert(out, at, other[from:min(len(other), from+c.rng.IntN(32))]...)
			}
		case 5:
			out = out[:at]
		}
	}
	return out
}
