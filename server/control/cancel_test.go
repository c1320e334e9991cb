package control

import (
	"context"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a data race when a caller gives up: the control goroutine then
// still answers into variables that the caller must not read. Only the race
// detector sees the fault.
func TestCancelledQuestionsShareNothing(t *testing.T) {
	for name, question := range map[string]func(context.Context, *Control) error{
		"progress": func(ctx context.Context, c *Control) error { _, err := c.Progress(ctx, 0); return err },
		"status":   func(ctx context.Context, c *Control) error { _, err := c.Status(ctx); return err },
	} {
		t.Run(name, func(t *testing.T) {
			c := newWorld(t, "a", "b").vms["a"]
			ctx, cancel := context.WithCancel(context.Background())
			answered := make(chan struct{})
			go func() {
				<-ctx.Done() // only this orders the answer, not what the caller does
				(<-c.events)()
				close(answered)
			}()
			go func() {
				for len(c.events) == 0 {
					runtime.Gosched()
				}
				cancel()
			}()
			if err := question(ctx, c); err != nil { // the answer may come first
				require.ErrorIs(t, err, context.Canceled)
			}
			<-answered
		})
	}
}
