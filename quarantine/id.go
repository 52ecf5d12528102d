// Package quarantine decides which requests are sent to no backend server any more because
// servers crash under them. A request that causes such crashes is called a crashing request.
//
// A request is identified by its content and its team, not by the id of an attempt: a caller
// that retries uses a new attempt id each time and may reach any process. A Record holds what
// is known of one request; the records of one request can be merged in any order and lead to
// the same decision.
//
// The package reads no clock: callers pass the time as an argument. A Tracker is not safe for
// concurrent use.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ID identifies the content of a request and its team. Attempts with equal IDs make the same
// request for the same team. Team is not hashed, so that no team can have the requests of
// another quarantined by finding a hash collision.
type ID struct {
	Team    string
	Content uint64
}

// String returns the form of the ID that appears in logs and on command lines.
func (id ID) String() string {
	return fmt.Sprintf("%016x-%016x", id.Content, xxhash.Sum64String(id.Team))
}

func compareIDs(x, y ID) int {
	return cmp.Or(cmp.Compare(x.Content, y.Content), strings.Compare(x.Team, y.Team))
}

// NewID returns the ID of a team's request.
func NewID(team, method, host, target string, body []byte) ID {
	h := xxhash.New()
	// The lengths make the hash input unambiguous: no two different splits into parts
	// give the same bytes.
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
