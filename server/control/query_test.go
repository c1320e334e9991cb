package control

import (
	"context"
	"testing"
	"time"
)

// Guards against a data race after a question to the control goroutine whose
// asker has left: its result must not be written where the asker reads.
func TestQueryWithoutAsker(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	c := w.vms["a"]
	for name, question := range map[string]func(context.Context){
		"progress": func(ctx context.Context) { _, _ = c.Progress(ctx, 1) },
		"status":   func(ctx context.Context) { _, _ = c.Status(ctx) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				question(ctx)
				close(done)
			}()
			event := <-c.events
			cancel()
			time.Sleep(10 * time.Millisecond) // the race detector needs no order here
			event()
			<-done
		})
	}
}
