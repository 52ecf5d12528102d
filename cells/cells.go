// Package cells divides many processes and the servers that they send to into cells, so
// that all who send to a server hear each other. It is pure.
//
// A process tells a bounded number of others what it has sent where. Beyond that number each
// sees a part of the load only, and sends to engines that look idle to it. Within a cell the
// view is whole.
package cells

import (
	"github.com/cespare/xxhash/v2"

	"kingcupplank.example/kingcup/subset"
)

// size is how many processes a cell has on average: with as much again as chance adds to
// one of them (three in ten), each can still tell all others over 32 links.
const size = 26

// MinServersPerCell is how many servers of a service a cell must have on average for the service
// to be divided. With fewer, one that fails or leaves is too large a part of them.
const MinServersPerCell = 16

// Count is how many cells there are for a number of processes; one up to 38.
func Count(processes int) int { return max(1, (processes+size/2)/size) }

// IsDivided reports whether a service with a number of servers is divided into cells.
func IsDivided(servers, count int) bool { return count > 1 && servers >= MinServersPerCell*count }

// outsideShare divides the links into a cell to give those out of it: 6 beside 32. A cell of
// 26 has 150 ways out then.
const outsideShare = 5

// Place is where a process stands among the others.
type Place struct {
	// Self is its name, Own its cell of Count.
	Self               string
	OwnCell, CellCount int
	// CellPeers names the others of its cell, AllPeers all others.
	CellPeers, AllPeers []string
}

// Links picks the processes that one tells of its load, by the same rule everywhere: those of
// its own cell, at most so many, and some of the others, by which tables are known in all
// cells. all does not hold the process itself.
func Links(self subset.Item, all []subset.Item, most int) (links []subset.Item, place Place) {
	place = Place{Self: self.Name, CellCount: Count(len(all) + 1)}
	place.OwnCell = IndexOf(Hash(self.Name), place.CellCount)
	var inside, outside []subset.Item
	for _, it := range all {
		place.AllPeers = append(place.AllPeers, it.Name)
		if IndexOf(Hash(it.Name), place.CellCount) == place.OwnCell {
			inside = append(inside, it)
			place.CellPeers = append(place.CellPeers, it.Name)
		} else {
			outside = append(outside, it)
		}
	}
	links = subset.Pick(self.Name, self.FailureDomain, inside, most)
	links = append(links, subset.Pick(self.Name, self.FailureDomain, outside, max(1, most/outsideShare))...)
	return links, place
}

// Hash is what a name is placed by.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// IndexOf is the cell, from 0, of a hash. When the number of cells changes by one, names move to
// or from one cell only, so that processes that disagree on it for a while agree on most
// servers (jump consistent hash).
func IndexOf(hash uint64, count int) int {
	cell, next := int64(-1), int64(0)
	for next < int64(count) {
		cell = next
		hash = hash*2862933555777941757 + 1
		next = int64(float64(cell+1) * (float64(int64(1)<<31) / float64((hash>>33)+1)))
	}
	return int(cell)
}
