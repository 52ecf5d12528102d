// Package membership decides how a process finds the others when it starts, and how its row
// comes into the store's table of processes. It does no I/O and reads no clock.
//
// A starting process reads the rows of a few others only, and gets the whole table from one of
// them. A process whose row is missing asks a peer to write it together with those of others.
// So neither the bytes of a start nor the number of writes when all processes start at once
// grow with the number of processes.
package membership

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// SampleSize is the number of rows that a starting process reads. With the encoding of the
	// platform they take some 7 KB.
	SampleSize = 24
	// MinSample is the number of other processes that a sample needs. Some of them may have
	// ended, and of fewer the number of all can't be estimated.
	MinSample = 6
)

// keyPrefix begins the keys of the rows of processes. The table also has other rows.
const keyPrefix = "member/"

// KeyEnd is after the keys of the rows of all processes.
const KeyEnd = "member0"

// Key returns the key of a process's row. A hash comes first, so that the rows after any key
// are a random sample of the processes.
func Key(name string) string { return fmt.Sprintf("%s%016x/%s", keyPrefix, hash(name), name) }

// Name returns the name of the process whose row has a key. It returns false for a key that
// belongs to no process. Rows of earlier releases have the name as their key.
func Name(key string) (name string, ok bool) {
	rest, hashed := strings.CutPrefix(key, keyPrefix)
	if !hashed {
		return key, key != "" && !strings.Contains(key, "/")
	}
	_, name, _ = strings.Cut(rest, "/")
	return name, name != "" && Key(name) == key
}

func hash(name string) uint64 { return xxhash.Sum64String(name) }

// Sample is what a starting process has read of the table, whose rows are taken as a ring in the
// order of their keys.
type Sample struct {
	// Others are the names of the processes that follow the own one in the ring.
	Others []string
	// IsWhole says that Others are all other processes.
	IsWhole bool
	// span is the part of the ring that Others cover.
	span float64
}

// NewSample returns the sample of a process that has read the rows after its own key. hasMore says
// that further rows follow these.
func NewSample(self string, after []string, hasMore bool) Sample {
	end := uint64(math.MaxUint64)
	if hasMore && len(after) > 0 {
		end = hash(after[len(after)-1])
	}
	return Sample{Others: after, span: float64(end-hash(self)) / math.MaxUint64}
}

// Extend returns the sample after the process has also read the first rows of the table, up to its
// own key. hasMore says that there are further rows between these and its own.
func (s Sample) Extend(first []string, hasMore bool) Sample {
	s.Others = append(slices.Clip(s.Others), first...)
	s.IsWhole = !hasMore
	if hasMore && len(first) > 0 {
		s.span += float64(hash(first[len(first)-1])) / math.MaxUint64
	}
	return s
}

// EstimateCount estimates the number of all processes, the own one included, from how dense
// the sample is. With SampleSize rows its standard deviation is a fifth.
func (s Sample) EstimateCount() int {
	least := 1 + len(s.Others)
	if s.IsWhole || s.span <= 0 {
		return least
	}
	return max(least, int(math.Round(min(float64(len(s.Others))/s.span, maxCount))))
}

// maxCount bounds an estimate. Crafted names may have any density.
const maxCount = 100_000
