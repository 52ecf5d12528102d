package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a link that gives late writers less than its bandwidth, and against one that
// transfers more than its bandwidth.
func TestLinkKeepsBandwidthForLateWriters(t *testing.T) {
	const chunkBytes, chunks, late = 4 << 10, 1000, 2 * time.Millisecond
	for _, late := range []time.Duration{0, late} {
		synctest.Test(t, func(t *testing.T) {
			l := NewLink(10)
			start := time.Now()
			for range chunks {
				l.Transfer(chunkBytes)
				time.Sleep(late)
			}
			elapsed, expected := time.Since(start), l.TransferTime(chunkBytes*chunks)
			require.GreaterOrEqual(t, elapsed, expected-burstTime)
			require.LessOrEqual(t, elapsed, expected+late+burstTime)
		})
	}
}
