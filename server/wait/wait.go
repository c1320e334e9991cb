// Package wait holds pauses that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports true, or false if ctx ends before.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
