package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// answerSlots is the number of whole contents, and of prompt parts, of which an AnswerLog keeps the last answer.
const answerSlots = 4096

// AnswerLog keeps the times at which servers answered requests of suspects without a record. It has a
// fixed size and forgets answers that newer ones displace. It is not safe for concurrent use.
type AnswerLog struct {
	// Contents, of which there are more, don't displace prompt parts.
	contents, parts [answerSlots]answer
}

type answer struct {
	key uint64
	at  time.Duration
}

// key maps a suspect to a hash. A collision makes a suspect appear to have been answered, after which it
// takes more crashes to quarantine it.
func (id ID) key() uint64 { return (xxhash.Sum64String(id.Team) ^ id.Content) * 0x9e3779b97f4a7c15 }

// Record records that a server has answered a request of a suspect.
func (l *AnswerLog) Record(id ID, at time.Duration) {
	key := id.key()
	*l.slot(id.Kind, key) = answer{key, at}
}

func (l *AnswerLog) slot(k Kind, key uint64) *answer {
	if k == WholeContent {
		return &l.contents[key%answerSlots]
	}
	return &l.parts[key%answerSlots]
}

// Complete returns a record of the last answer to a suspect if it adds to what another record says: that
// servers answered the suspect at all, or after the crashes under it. Otherwise a suspect that many
// processes see answered would be reported by all of them again and again.
func (l *AnswerLog) Complete(r Record) (answered Record, ok bool) {
	key := r.key()
	a := l.slot(r.Kind, key)
	if a.key != key || a.at == 0 || len(r.Crashes) == 0 || r.ClearedAt >= r.Crashes[0].At || r.ClearedAt > 0 && a.at < r.Crashes[0].At {
		return Record{}, false
	}
	return Record{ID: r.ID, ClearedAt: a.at}, true
}
