package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a link that is thinner than it says for writers that are woken late, and
// against one that passes more than its rate.
func TestLinkKeepsItsRateForWritersThatAreLate(t *testing.T) {
	const chunk, chunks, late = 4 << 10, 1000, 2 * time.Millisecond
	for _, late := range []time.Duration{0, late} {
		synctest.Test(t, func(t *testing.T) {
			l := NewLink(10)
			begun := time.Now()
			for range chunks {
				l.Transfer(chunk)
				time.Sleep(late)
			}
			took, needs := time.Since(begun), l.TransferTime(chunk*chunks)
			require.GreaterOrEqual(t, took, needs-catchUp)
			require.LessOrEqual(t, took, needs+late+catchUp)
		})
	}
}
