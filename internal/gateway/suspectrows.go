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

// suspectPrefix begins the keys of rows on requests in the table of gateways; names of VMs
// hold no slash. They share the table, so that following them costs no further call.
const suspectPrefix = "quarantine/"

func suspectKey(id quarantine.ID) string { return suspectPrefix + id.String() }

// suspectRow is a row of the store.
type suspectRow struct {
	record   quarantine.Record
	revision revision.Revision
}

// suspectData is what a row holds. Times are in ms on the store's steady clock.
type suspectData struct {
	Team       string    `json:"team"`
	Content    uint64    `json:"content"`
	Ends       []endData `json:"ends"`
	AbsolvedMs int64     `json:"absolved_ms,omitempty"`
	TrialsMs   []int64   `json:"trials_ms,omitempty"`
}

type endData struct {
	Server uint64 `json:"server"`
	AtMs   int64  `json:"at_ms"`
}

func encodeSuspect(r quarantine.Record) ([]byte, error) {
	d := suspectData{Team: r.Team, Content: r.Content, AbsolvedMs: r.ClearedAt.Milliseconds(), TrialsMs: millis(r.Trials)}
	for _, e := range r.Crashes {
		d.Ends = append(d.Ends, endData{e.Incarnation, e.At.Milliseconds()})
	}
	return json.Marshal(d)
}

var errWrongKey = errors.New("row is not of the request that its key names")

// decodeSuspect reads a row. One under another request's key would be written anew for ever.
func decodeSuspect(row follow.Row) (quarantine.Record, error) {
	var d suspectData
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return quarantine.Record{}, err
	}
	r := quarantine.Record{ID: quarantine.ID{Team: d.Team, Content: d.Content}, ClearedAt: time.Duration(d.AbsolvedMs) * time.Millisecond, Trials: fromMillis(d.TrialsMs)}
	for _, e := range d.Ends {
		r.Crashes = append(r.Crashes, quarantine.Crash{Incarnation: e.Server, At: time.Duration(e.AtMs) * time.Millisecond})
	}
	if suspectKey(r.ID) != row.Key {
		return r, errWrongKey
	}
	return r, nil
}

// splitRows tells the rows on requests from those of gateways.
func splitRows(rows []follow.Row) (requests, gateways []follow.Row) {
	for _, row := range rows {
		if strings.HasPrefix(row.Key, suspectPrefix) {
			requests = append(requests, row)
		} else {
			gateways = append(gateways, row)
		}
	}
	return requests, gateways
}

// read takes rows of the store; whole says that there are no others.
func (s *suspects) read(rows []follow.Row, whole bool) {
	if len(rows) == 0 && !whole {
		return
	}
	known := make(map[quarantine.ID]suspectRow)
	var records []quarantine.Record
	for _, row := range rows {
		if row.Deleted {
			s.dropRow(row)
			continue
		}
		r, err := decodeSuspect(row)
		if err != nil {
			s.log.WithError(err).WithField("row", row.Key).Warn("row of a request is unreadable, it is passed over")
			continue
		}
		known[r.ID] = suspectRow{r, row.Revision}
		records = append(records, r)
	}
	s.mu.Lock()
	if whole {
		clear(s.rows)
	}
	maps.Copy(s.rows, known)
	s.mu.Unlock()
	s.learn("row of the store", s.turn(), func(b *quarantine.Tracker) quarantine.Change { return b.Merge(records) })
	if whole {
		s.scheduleMissing()
	}
}

func (s *suspects) dropRow(row follow.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, known := range s.rows {
		if suspectKey(id) == row.Key && known.revision.Before(row.Revision) {
			delete(s.rows, id)
		}
	}
}

// scheduleMissing has the rows written that a whole table lacks: the store may have lost
// them.
func (s *suspects) scheduleMissing() {
	after := s.turn()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.book.List(1) {
		if s.lacks(r.ID) {
			s.schedule(r.ID, after)
		}
	}
}

// schedule has the row of a request looked at after some time; mu is held.
func (s *suspects) schedule(id quarantine.ID, after time.Duration) {
	at := time.Now().Add(after)
	if due, ok := s.due[id]; !ok || at.Before(due) {
		s.due[id] = at
	}
}

// lacks reports whether the store's row of a request does not say its verdict, or its
// trials and what ended under them: gateways that start would try it again and again. mu is
// held.
func (s *suspects) lacks(id quarantine.ID) bool {
	row, exists := s.rows[id]
	r := s.book.Record(id)
	switch {
	case !s.book.Convicts(r):
		return exists && r.ClearedAt > row.record.ClearedAt
	case !exists || !s.book.Convicts(row.record):
		return true
	}
	return len(r.Trials) > 0 && (len(r.Trials) > len(row.record.Trials) || len(r.Crashes) > len(row.record.Crashes))
}

// saveDue writes the rows that are due, as far as they are still lacking.
func (s *suspects) saveDue(ctx context.Context) {
	for {
		r, found := s.nextDue(time.Now())
		if !found {
			return
		}
		if err := s.save(ctx, r); err != nil {
			s.log.WithError(err).WithField("content", r.String()).Warn("verdict on a request is not in the store yet")
			return
		}
	}
}

func (s *suspects) nextDue(now time.Time) (quarantine.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.due {
		if at.After(now) {
			continue
		}
		delete(s.due, id)
		if s.lacks(id) {
			return s.book.Record(id), true
		}
	}
	return quarantine.Record{}, false
}

// save writes the row of a request; one that fails is tried again later.
func (s *suspects) save(ctx context.Context, r quarantine.Record) error {
	data, err := encodeSuspect(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err = s.group.store.Put(ctx, membersTable, suspectKey(r.ID), data)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.schedule(r.ID, joinBackoff.After(s.tries, rand.Float64()))
		s.tries++
		return err
	}
	s.tries = 0
	if _, exists := s.rows[r.ID]; !exists {
		// Its revision is known once the table brings it.
		s.rows[r.ID] = suspectRow{record: r}
	}
	s.log.WithField("content", r.String()).Info("verdict on a request is in the store")
	return nil
}

// expiredRows lists the rows that do not count any more.
func (s *suspects) expiredRows(now time.Duration) (out []suspectRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.rows {
		if !row.revision.IsZero() && s.book.Expired(row.record, now) {
			out = append(out, row)
		}
	}
	return out
}
