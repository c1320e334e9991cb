package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// firstProbeNumber keeps the numbers of probes apart from those of Run.
const firstProbeNumber = 1 << 30

// Probe sends requests for each key at a fixed interval until ctx is done,
// alternately idempotent and non-idempotent. Requests are not retried, and a slow
// one does not delay the next, so a gap between answers is an outage and not a
// lack of requests.
func Probe(ctx context.Context, o Options, target Target, keys []string, every time.Duration) []Result {
	o.MaxRetries = 0
	g := &generator{options: o, client: newClient(o.Workers)}
	defer g.client.CloseIdleConnections()
	var mu sync.Mutex
	var results []Result
	var group sync.WaitGroup
	var numbers atomic.Int64
	for _, key := range keys {
		group.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				number := int(numbers.Add(1))
				j := job{target: target, number: firstProbeNumber + number, key: key, first: number}
				if n%2 == 1 {
					j.id = uuid.Must(uuid.NewV7()).String()
				}
				group.Go(func() {
					r := g.send(j)
					mu.Lock()
					defer mu.Unlock()
					results = append(results, r)
				})
			}
		})
	}
	group.Wait()
	return results
}
