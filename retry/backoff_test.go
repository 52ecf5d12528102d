package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBackoffGrowsToMax(t *testing.T) {
	b := Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	require.Equal(t, 50*time.Millisecond, b.Delay(0, 0))
	require.Equal(t, 200*time.Millisecond, b.Delay(1, 1))
	require.Equal(t, time.Second, b.Delay(60, 1))
}
