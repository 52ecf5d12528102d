// Package fuzzseed adds inputs to fuzz targets that are mutated from their seeds with a fixed
// random seed. Every test run uses the same inputs, so the result for a commit is reproducible.
// To fuzz with new inputs, run go test -fuzz manually.
package fuzzseed

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// mutatedInputs is the number of inputs that AddMutations adds.
const mutatedInputs = 2000

// maxChanges bounds the changes to one input.
const maxChanges = 6

// Corpus collects the seeds of a fuzz target and adds inputs to it.
type Corpus struct {
	f     *testing.F
	rng   *rand.Rand
	seeds [][]any
}

// New returns an empty corpus for the fuzz target f.
func New(f *testing.F) *Corpus { return &Corpus{f: f, rng: rand.New(rand.NewPCG(1, 2))} }

// Add adds a seed, as testing.F.Add does. Its arguments must be byte slices and strings.
func (c *Corpus) Add(args ...any) {
	c.f.Helper()
	c.f.Add(args...)
	c.seeds = append(c.seeds, args)
}

// AddMutations adds inputs mutated from the seeds.
func (c *Corpus) AddMutations() {
	c.f.Helper()
	for range mutatedInputs {
		seed := c.seeds[c.rng.IntN(len(c.seeds))]
		other := c.seeds[c.rng.IntN(len(c.seeds))]
		args := make([]any, len(seed))
		for i := range seed {
			args[i] = c.mutateArgument(seed[i], other[i])
		}
		c.f.Add(args...)
	}
}

func (c *Corpus) mutateArgument(seed, other any) any {
	if s, ok := seed.(string); ok {
		return string(c.mutate([]byte(s), []byte(other.(string))))
	}
	return c.mutate(seed.([]byte), other.([]byte))
}

// edgeCases are inputs that parsers of numbers, text and lengths often handle wrongly.
var edgeCases = []string{"-1", "0", "18446744073709551616", "9e999", "null", "{", "}", "[", "\"", "\x00", "\xff\xff\xff\xff", "\xff\xff\xff\xff\xff\xff\xff\xff\x01", "\u2028", ""}

// mutate returns in with up to maxChanges random changes. Parts of other may be inserted.
func (c *Corpus) mutate(in, other []byte) []byte {
	out := slices.Clone(in)
	for range 1 + c.rng.IntN(maxChanges) {
		start := c.rng.IntN(len(out) + 1)
		end := min(len(out), start+c.rng.IntN(16))
		switch c.rng.IntN(6) {
		case 0:
			if start < len(out) {
				out[start] ^= 1 << c.rng.IntN(8)
			}
		case 1:
			out = slices.Delete(out, start, end)
		case 2:
			out = slices.Insert(out, start, slices.Clone(out[start:end])...)
		case 3:
			out = slices.Replace(out, start, end, []byte(edgeCases[c.rng.IntN(len(edgeCases))])...)
		case 4:
			if len(other) > 0 {
				from := c.rng.IntN(len(other))
				out = slices.Insert(out, start, other[from:min(len(other), from+c.rng.IntN(32))]...)
			}
		case 5:
			out = out[:start]
		}
	}
	return out
}
