// Package cells divides processes and the servers that they send to into cells, so that all
// processes that send to a server report their load to each other. It does no I/O and keeps
// no state.
//
// A process reports its load on the servers to a bounded number of other processes. With
// more processes than that, each would see only a part of the load and would send to
// engines that seem idle. Within a cell every process sees the whole load.
package cells

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"kingcupplank.example/kingcup/subset"
)

// meanSize is the mean number of processes in a cell. Hashing can make a cell 30 % larger
// than the mean; 32 links still reach all other processes of such a cell.
const meanSize = 26

// MinServersPerCell is the smallest mean number of a service's servers per cell with which
// the service is divided. With fewer servers, one that fails or leaves would be too large a
// part of its cell.
const MinServersPerCell = 16

// Count returns the number of cells for a number of processes: one for up to 38 processes,
// then about one per meanSize processes.
func Count(processes int) int { return max(1, (processes+meanSize/2)/meanSize) }

// IsDivided reports whether a service is divided into cells. servers is the number of its
// servers, count the number of cells.
func IsDivided(servers, count int) bool { return count > 1 && servers >= MinServersPerCell*count }

// insideToOutside is the ratio of the maximum of links inside a cell to the maximum of links
// to other cells: 6 links to other cells for 32 inside. A cell of 26 processes then has
// about 150 links to other cells.
const insideToOutside = 5

// startingLinks is the number of links of a process that does not know all others yet. Of a sample of
// all processes hardly any are of its cell, and tables must reach it over few hops.
const startingLinks = 14

// Place is the position of a process among all processes.
type Place struct {
	// Self is the name of the process, OwnCell the index of its cell, CellCount the number of
	// cells.
	Self               string
	OwnCell, CellCount int
	// CellPeers are the names of the other processes of its cell, AllPeers the names of all other
	// processes. Names that are not known yet are placeholders.
	CellPeers, AllPeers []string
}

// Links picks the processes to which a process reports its load. All processes use the same
// rule: at most maxInside processes of the own cell, and a few of other cells, so that table
// changes reach all cells. all must not contain the process itself. total is the number of all
// processes, which is more than len(all)+1 while not all of them are known.
func Links(self subset.Item, all []subset.Item, total, maxInside int) (links []subset.Item, place Place) {
	place = Place{Self: self.Name, CellCount: Count(max(total, len(all)+1))}
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
	place.CellPeers = pad(place.CellPeers, total/place.CellCount-1)
	place.AllPeers = pad(place.AllPeers, total-1)
	links = subset.Pick(self.Name, self.FailureDomain, inside, maxInside)
	maxOutside := max(1, maxInside/insideToOutside)
	if total > len(all)+1 {
		maxOutside = max(maxOutside, startingLinks-len(links))
	}
	links = append(links, subset.Pick(self.Name, self.FailureDomain, outside, maxOutside)...)
	return links, place
}

// pad appends placeholders for processes that are not known yet, up to a number of names. Without
// them a process that starts among hundreds would take the share of one of the few that it knows in
// every limit that all processes divide.
func pad(names []string, count int) []string {
	for len(names) < count {
		names = append(names, "unknown/"+strconv.Itoa(len(names)))
	}
	return names
}

// Hash returns the hash of a name, from which IndexOf computes its cell.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// IndexOf returns the index of the cell of a hash, counted from 0. It is a jump consistent
// hash: when the number of cells changes by one, names move only into or out of one cell.
// Processes that count different numbers of cells for a while still agree on most servers.
func IndexOf(hash uint64, count int) int {
	cell, next := int64(-1), int64(0)
	for next < int64(count) {
		cell = next
		hash = hash*2862933555777941757 + 1
		next = int64(float64(cell+1) * (float64(int64(1)<<31) / float64((hash>>33)+1)))
	}
	return int(cell)
}
