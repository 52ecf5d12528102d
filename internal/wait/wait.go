// Package wait provides pauses: one that ends early with its context, and one that lets other
// goroutines run during a long computation.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns true. If ctx ends first, it returns false at once.
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
