// Package subset picks a bounded set of peers for each process by rendezvous hashing. When
// the list of peers changes, few picks change, and each peer is picked by about equally
// many processes. It does no I/O and keeps no state.
package subset

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Item is a peer that can be picked.
type Item struct {
	Name          string
	FailureDomain string
}

// Pick returns at most n items for the process called self. Half of them are from its own
// failure domain and half from others, so that half of them remain when that domain is
// lost. If one half has too few items, more are taken for the other half.
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
	ownCount := min(len(own), max((n+1)/2, n-len(others)))
	otherCount := min(len(others), n-ownCount)
	return append(own[:ownCount:ownCount], others[:otherCount]...)
}

// rank returns the items sorted by their score for self, highest first.
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

// Score returns the rendezvous weight of a pair of names.
func Score(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(a)
	d.WriteString("\x00")
	d.WriteString(b)
	return d.Sum64()
}
