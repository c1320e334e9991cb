// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For sleeps for d. It returns false if ctx ends first.
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
