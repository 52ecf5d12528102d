package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// When every try fails, the number of retries must stay in proportion to first tries.
func TestBudgetBoundsRetries(t *testing.T) {
	b := Budget{Ratio: 0.2, Max: 10}
	retries := 0
	const tries = 1000
	for range tries {
		b.RecordFirstTry()
		for b.TryTake() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, tries/5+10)
	require.GreaterOrEqual(t, retries, tries/5)
}

func TestBackoffGrowsToMax(t *testing.T) {
	b := Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	require.Equal(t, 50*time.Millisecond, b.Delay(0, 0))
	require.Equal(t, 200*time.Millisecond, b.Delay(1, 1))
	require.Equal(t, time.Second, b.Delay(60, 1))
}
