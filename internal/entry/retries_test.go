package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Entries that are killed and start again must not have the extra retries of a window anew.
func TestRestartedEntryHasNoNewExtraRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		retries := 0
		for range 4 {
			e := New(Config{}, Deps{})
			for range 3 * int(teamRetries.Extra) {
				if e.retryAllowed("team") {
					retries++
				}
			}
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, float64(retries), teamRetries.Extra)
	})
}
