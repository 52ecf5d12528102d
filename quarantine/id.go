// Package quarantine decides which requests are sent to no backend server any more because
// servers crash under them. A request that causes such crashes is called a crashing request.
//
// What may cause the crashes is called a suspect: the whole content of a request, or one part of
// its prompt that other requests share. Suspects belong to a team, and are identified by content,
// not by the id of an attempt: a caller that retries uses a new attempt id each time and may reach
// any process. A Record holds what is known of one suspect; the records of one suspect can be
// merged in any order and lead to the same decision.
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

// Kind is the kind of a suspect.
type Kind uint8

// Kinds of suspects.
const (
	// WholeContent is the content of a request: its method, host, target and body.
	WholeContent Kind = iota
	// PromptPart is a part of a team's prompts.
	PromptPart
	// SharedPromptPart is a part of the prompts of all teams. It has no record of its own: it is
	// judged by the records of the teams.
	SharedPromptPart
)

// ID identifies a suspect. Team is not hashed, so that no team can have the requests of another
// quarantined by finding a hash collision.
type ID struct {
	Team string
	Kind Kind
	// Content is the hash of a whole content, or the id of a prompt part.
	Content uint64
}

// String returns the form of the ID that appears in logs and on command lines.
func (id ID) String() string {
	switch id.Kind {
	case PromptPart:
		return fmt.Sprintf("part-%x-%016x", id.Content, xxhash.Sum64String(id.Team))
	case SharedPromptPart:
		return fmt.Sprintf("part-%x-all", id.Content)
	}
	return fmt.Sprintf("%016x-%016x", id.Content, xxhash.Sum64String(id.Team))
}

func compareIDs(x, y ID) int {
	return cmp.Or(cmp.Compare(x.Content, y.Content), cmp.Compare(x.Kind, y.Kind), strings.Compare(x.Team, y.Team))
}

// NewPartID returns the ID of a part of a team's prompts.
func NewPartID(team string, part uint64) ID { return ID{Team: team, Kind: PromptPart, Content: part} }

// shared returns the ID of a prompt part for all teams.
func (id ID) shared() ID { return ID{Kind: SharedPromptPart, Content: id.Content} }

// NewID returns the ID of the whole content of a team's request.
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
