// Package subset picks the bounded set of peers that a process watches, by
// rendezvous hashing: few peers change places when the list changes, and each
// peer is watched by about equally many processes. It is pure.
package subset

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Item is something that can be picked.
type Item struct {
	Name          string
	FailureDomain string
}

// Pick returns at most n items for the process called self: half of them from
// its own failure domain if there are so many, the rest from the others, so
// that the loss of the own domain leaves as many.
func Pick(self, failureDomain string, items []Item, n int) []Item {
	ranked := rank(self, items)
	var own, others []Item
	for _, it := range ranked {
		if it.FailureDomain == failureDomain {
			own = append(own, it)
		} else {
			others = append(others, it)
		}
	}
	near := min(len(own), max((n+1)/2, n-len(others)))
	far := min(len(others), n-near)
	return append(own[:near:near], others[:far]...)
}

func rank(self string, items []Item) []Item {
	type scored struct {
		item  Item
		score uint64
	}
	all := make([]scored, len(items))
	for i, it := range items {
		all[i] = scored{it, Score(self, it.Name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.item.Name, b.item.Name)
	})
	out := make([]Item, len(all))
	for i, s := range all {
		out[i] = s.item
	}
	return out
}

// Score is the rendezvous weight of a pair.
func Score(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(a)
	d.WriteString("\x00")
	d.WriteString(b)
	return d.Sum64()
}
