package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/quarantine"
	"kingcupplank.example/kingcup/revision"
)

// recordRowPrefix is the prefix of the keys of quarantine records in the table of gateways.
// The names of VMs contain no slash. Both kinds of rows share a table, so that following
// the records takes no further call to the store.
const recordRowPrefix = "quarantine/"

func recordRowKey(id quarantine.ID) string { return recordRowPrefix + id.String() }

// storedRecord is the row of a request in the store.
type storedRecord struct {
	record   quarantine.Record
	revision revision.Revision
}

// recordData is the JSON encoding of a quarantine record. Times are in ms on the store's
// steady clock.
type recordData struct {
	Team      string      `json:"team"`
	Content   uint64      `json:"content"`
	Part      bool        `json:"prompt_part,omitempty"`
	Crashes   []crashData `json:"ends"`
	ClearedMs int64       `json:"absolved_ms,omitempty"`
	TrialsMs  []int64     `json:"trials_ms,omitempty"`
}

type crashData struct {
	Incarnation uint64 `json:"server"`
	AtMs        int64  `json:"at_ms"`
}

func encodeRecord(r quarantine.Record) ([]byte, error) {
	d := recordData{Team: r.Team, Content: r.Content, Part: r.Kind == quarantine.PromptPart, ClearedMs: r.ClearedAt.Milliseconds(), TrialsMs: toMillis(r.Trials)}
	for _, e := range r.Crashes {
		d.Crashes = append(d.Crashes, crashData{e.Incarnation, e.At.Milliseconds()})
	}
	return json.Marshal(d)
}

// errKeyMismatch rejects a row whose key names another request than its value.
var errKeyMismatch = errors.New("the key of the row names another request than its value")

// decodeRecord decodes a row. It rejects one under another request's key, which would
// otherwise be written again and again.
func decodeRecord(row follow.Row) (quarantine.Record, error) {
	var d recordData
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return quarantine.Record{}, err
	}
	r := quarantine.Record{ID: quarantine.ID{Team: d.Team, Kind: kindOf(d.Part), Content: d.Content}, ClearedAt: time.Duration(d.ClearedMs) * time.Millisecond, Trials: fromMillis(d.TrialsMs)}
	for _, e := range d.Crashes {
		r.Crashes = append(r.Crashes, quarantine.Crash{Incarnation: e.Incarnation, At: time.Duration(e.AtMs) * time.Millisecond})
	}
	if recordRowKey(r.ID) != row.Key {
		return r, errKeyMismatch
	}
	return r, nil
}

// splitRows separates the rows of quarantine records from the rows of gateways.
func splitRows(rows []follow.Row) (records, gateways []follow.Row) {
	for _, row := range rows {
		if strings.HasPrefix(row.Key, recordRowPrefix) {
			records = append(records, row)
		} else {
			gateways = append(gateways, row)
		}
	}
	return records, gateways
}

// applyRows merges rows of the store. isComplete says that the store has no other rows of
// quarantine records.
func (s *sharedQuarantine) applyRows(rows []follow.Row, isComplete bool) {
	if len(rows) == 0 && !isComplete {
		return
	}
	known := make(map[quarantine.ID]storedRecord)
	var records []quarantine.Record
	for _, row := range rows {
		if row.Deleted {
			s.deleteRow(row)
			continue
		}
		r, err := decodeRecord(row)
		if err != nil {
			s.log.WithError(err).WithField("row", row.Key).Warn("skipped the unreadable row of a quarantine record")
			continue
		}
		known[r.ID] = storedRecord{r, row.Revision}
		records = append(records, r)
	}
	s.mu.Lock()
	if isComplete {
		clear(s.rows)
	}
	maps.Copy(s.rows, known)
	s.mu.Unlock()
	s.update("row of the store", s.saveDelay(), s.merge(records))
	if isComplete {
		s.scheduleMissingRows()
	}
}

func (s *sharedQuarantine) deleteRow(row follow.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, known := range s.rows {
		if recordRowKey(id) == row.Key && known.revision.Before(row.Revision) {
			delete(s.rows, id)
		}
	}
}

// scheduleMissingRows schedules the writes of rows that are missing or outdated in the
// whole table: the store may have lost them.
func (s *sharedQuarantine) scheduleMissingRows() {
	delay := s.saveDelay()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.tracker.List(1) {
		if s.isRowOutdated(r.ID) {
			s.scheduleSave(r.ID, delay)
		}
	}
}

// scheduleSave schedules the write of a request's row after delay, or keeps an earlier
// time. The caller holds mu.
func (s *sharedQuarantine) scheduleSave(id quarantine.ID, delay time.Duration) {
	at := time.Now().Add(delay)
	if due, ok := s.saveAt[id]; !ok || at.Before(due) {
		s.saveAt[id] = at
	}
}

// isRowOutdated reports whether the store's row of a quarantined suspect lacks something of its record,
// or its row another release than the one known here. Gateways that start decide from the rows alone, and
// would otherwise decide differently or repeat trials. The caller holds mu.
func (s *sharedQuarantine) isRowOutdated(id quarantine.ID) bool {
	row, exists := s.rows[id]
	r := s.tracker.Record(id)
	if !s.tracker.IsQuarantined(id) {
		return exists && r.ClearedAt > row.record.ClearedAt
	}
	return id.Kind != quarantine.SharedPromptPart && (!exists || !row.record.Covers(r))
}

// saveDueRows writes the rows that are due and still outdated in the store. It stops at the
// first error.
func (s *sharedQuarantine) saveDueRows(ctx context.Context) {
	for {
		r, found := s.nextDue(time.Now())
		if !found {
			return
		}
		if err := s.saveRow(ctx, r); err != nil {
			s.log.WithError(err).WithField("content", r.String()).Warn("cannot write the quarantine record of a request to the store, will retry")
			return
		}
	}
}

// nextDue returns a record whose row is due at now and still outdated in the store.
func (s *sharedQuarantine) nextDue(now time.Time) (quarantine.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.saveAt {
		if at.After(now) {
			continue
		}
		delete(s.saveAt, id)
		if s.isRowOutdated(id) {
			return s.tracker.Record(id), true
		}
	}
	return quarantine.Record{}, false
}

// saveRow writes the row of a request, and schedules a retry if that fails.
func (s *sharedQuarantine) saveRow(ctx context.Context, r quarantine.Record) error {
	data, err := encodeRecord(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err = s.group.store.Put(ctx, membersTable, map[string][]byte{recordRowKey(r.ID): data})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.scheduleSave(r.ID, storeBackoff.Delay(s.failedSaves, rand.Float64()))
		s.failedSaves++
		return err
	}
	s.failedSaves = 0
	if _, exists := s.rows[r.ID]; !exists {
		// Its revision is known once the follower of the table receives the row.
		s.rows[r.ID] = storedRecord{record: r}
	}
	s.log.WithField("content", r.String()).Info("wrote the quarantine record of a request to the store")
	return nil
}

// expiredRows lists the rows in the store whose records have expired.
func (s *sharedQuarantine) expiredRows(now time.Duration) (out []storedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.rows {
		if !row.revision.IsZero() && s.tracker.Expired(row.record, now) {
			out = append(out, row)
		}
	}
	return out
}
