// Package quarantine decides which requests are not sent to backend servers any more,
// because servers end under them.
//
// A request is known by what it asks and for whom, not by the id of an attempt: a caller
// that comes back has a new one each time, and may come to any process. What each process
// has seen is a Record; records of one request merge to the same verdict in any order.
//
// The package is pure: time comes in as an argument, and a Book is for one goroutine at a
// time.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ID identifies what a caller asks for. Attempts with equal IDs ask the same for the same
// team. The team is part of it as it is, so that no team can have another's requests
// refused by finding equal hashes.
type ID struct {
	Team    string
	Content uint64
}

// String names the ID in logs and on command lines.
func (id ID) String() string {
	return fmt.Sprintf("%016x-%016x", id.Content, xxhash.Sum64String(id.Team))
}

func compareIDs(x, y ID) int {
	return cmp.Or(cmp.Compare(x.Content, y.Content), strings.Compare(x.Team, y.Team))
}

// NewID returns the ID of a request of a team.
func NewID(team, method, host, target string, body []byte) ID {
	h := xxhash.New()
	// Lengths keep the parts apart.
	var sizes [12]byte
	binary.LittleEndian.PutUint32(sizes[:], uint32(len(method)))
	binary.LittleEndian.PutUint32(sizes[4:], uint32(len(host)))
	binary.LittleEndian.PutUint32(sizes[8:], uint32(len(target)))
	h.Write(sizes[:])
	h.WriteString(method)
	h.WriteString(host)
	h.WriteString(target)
	h.Write(body)
	return ID{Team: team, Content: h.Sum64()}
}
