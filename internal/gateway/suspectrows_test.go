package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/follow"
	"kingcupplank.example/kingcup/quarantine"
	"kingcupplank.example/kingcup/revision"
)

// dueNow lists the requests whose rows are to be written.
func (s *sharedQuarantine) dueNow() (out []quarantine.ID) {
	for {
		r, found := s.nextDue(time.Now().Add(time.Hour))
		if !found {
			return out
		}
		out = append(out, r.ID)
	}
}

// stored has the table bring the row of a request as it is known here.
func (s *sharedQuarantine) stored(t *testing.T, id quarantine.ID, version uint64) {
	data, err := encodeRecord(s.tracker.Record(id))
	require.NoError(t, err)
	s.applyRows([]follow.Row{{Key: recordRowKey(id), Value: data, Revision: revision.At(0, version)}}, false)
}

// A request that is held in doubt is tried, and servers end under its trials. All gateways
// are killed then: those that start later know the trials by the row only, and would try the
// request as often again. The row must be written with each trial, and with what ended
// under it.
func TestTrialsAreInTheStore(t *testing.T) {
	s := quietGroup(memberRows(nil)).quarantine
	x, y := quarantine.NewID("team", "POST", "h", "/x", nil), quarantine.NewID("team", "POST", "h", "/y", nil)
	end := func(server uint64, at time.Duration, ran ...quarantine.ID) {
		s.update("test", 0, func(b *quarantine.Tracker) quarantine.Update { return b.Crashed(server, at, ran) })
	}
	for server := range uint64(3) {
		end(server, time.Duration(1+server)*time.Second, x, y)
	}
	require.ElementsMatch(t, []quarantine.ID{x, y}, s.dueNow())
	s.stored(t, x, 1)
	s.stored(t, y, 2)
	require.Empty(t, s.dueNow(), "the store has them")
	tried := false
	s.update("test", 0, func(b *quarantine.Tracker) (c quarantine.Update) {
		c, tried = b.StartTrial(x, 10*time.Second)
		return c
	})
	require.True(t, tried)
	require.Equal(t, []quarantine.ID{x}, s.dueNow())
	s.stored(t, x, 3)
	end(9, 11*time.Second, x)
	require.Equal(t, []quarantine.ID{x}, s.dueNow())
}
