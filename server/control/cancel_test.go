package control

import (
	"context"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCancelledQueriesShareNothing checks that a query whose caller has given up
// writes nothing that the caller reads. Only the race detector finds this fault.
func TestCancelledQueriesShareNothing(t *testing.T) {
	for name, call := range map[string]func(context.Context, *Control) error{
		"progress": func(ctx context.Context, c *Control) error { _, err := c.Progress(ctx, 0); return err },
		"status":   func(ctx context.Context, c *Control) error { _, err := c.Status(ctx); return err },
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestEnv(t, "a", "b").vms["a"]
			ctx, cancel := context.WithCancel(context.Background())
			executed := make(chan struct{})
			go func() {
				<-ctx.Done() // the only synchronization with the caller
				(<-c.events)()
				close(executed)
			}()
			go func() {
				for len(c.events) == 0 {
					runtime.Gosched()
				}
				cancel()
			}()
			if err := call(ctx, c); err != nil { // the result may arrive before the cancellation
				require.ErrorIs(t, err, context.Canceled)
			}
			<-executed
		})
	}
}
