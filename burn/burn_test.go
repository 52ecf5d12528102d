package burn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// find returns the first line of a window.
func find(lines []Line, window time.Duration) Line {
	for _, l := range lines {
		if l.Window == window.String() {
			return l
		}
	}
	return Line{}
}

// One event in ten is bad where one in twenty is allowed, so the burn rate is 2. Two hours
// later the window of one hour is empty, and the longer windows still count the events.
func TestBurnRates(t *testing.T) {
	tr := NewTracker()
	tr.SetTarget("t", 0.95)
	for i := range 100 {
		tr.Count(time.Duration(i)*time.Second, "t", FirstToken, i%10 != 0)
	}
	l := find(tr.Report(2*time.Minute), time.Hour)
	require.EqualValues(t, 100, l.Events)
	require.InDelta(t, 2, l.BurnRate, 1e-9)
	require.InDelta(t, -1, l.BudgetLeft, 1e-9)
	later := tr.Report(2 * time.Hour)
	require.Zero(t, find(later, time.Hour).Events)
	require.InDelta(t, 1, find(later, time.Hour).BudgetLeft, 1e-9)
	require.EqualValues(t, 100, find(later, 6*time.Hour).Events)
	require.Zero(t, find(tr.Report(100*time.Hour), 72*time.Hour).Events)
}
