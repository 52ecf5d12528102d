package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/quarantine"
	"kingcupplank.example/kingcup/revision"
)

// takeDue lists the requests whose rows are due within an hour, and no longer schedules
// them.
func (s *sharedQuarantine) takeDue() (out []quarantine.ID) {
	for {
		r, found := s.nextDue(time.Now().Add(time.Hour))
		if !found {
			return out
		}
		out = append(out, r.ID)
	}
}

// storeRow has the follower of the table receive the row of a request as this gateway would
// write it.
func (s *sharedQuarantine) storeRow(t *testing.T, id quarantine.ID, version uint64) {
	data, err := encodeRecord(s.tracker.Record(id))
	require.NoError(t, err)
	s.applyRows([]follow.Row{{Key: recordRowKey(id), Value: data, Revision: revision.At(0, version)}}, false)
}

// A quarantined request is tried because its quarantine is in doubt, and servers crash
// under the trials. Then all gateways are killed. Gateways that start later know the trials
// only from the row, and would otherwise repeat them all. So the row must be written after
// each trial, and after each crash under a trial.
func TestTrialsAreWrittenToTheStore(t *testing.T) {
	s := newQuietGroup(fakeStore(nil)).quarantine
	x, y := quarantine.NewID("team", "POST", "h", "/x", nil), quarantine.NewID("team", "POST", "h", "/y", nil)
	crash := func(server uint64, at time.Duration, ran ...quarantine.ID) {
		s.update("test", 0, func(tracker *quarantine.Tracker) quarantine.Update { return tracker.Crashed(server, at, ran) })
	}
	for server := range uint64(3) {
		crash(server, time.Duration(1+server)*time.Second, x, y)
	}
	require.ElementsMatch(t, []quarantine.ID{x, y}, s.takeDue())
	s.storeRow(t, x, 1)
	s.storeRow(t, y, 2)
	require.Empty(t, s.takeDue(), "the store has them")
	tried := false
	s.update("test", 0, func(tracker *quarantine.Tracker) (u quarantine.Update) {
		u, tried = tracker.StartTrial(x, 10*time.Second)
		return u
	})
	require.True(t, tried)
	require.Equal(t, []quarantine.ID{x}, s.takeDue())
	s.storeRow(t, x, 3)
	crash(9, 11*time.Second, x)
	require.Equal(t, []quarantine.ID{x}, s.takeDue())
}
