// Package wait lets time pass until a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports true, or false at once when ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
