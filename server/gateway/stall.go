package gateway

import (
	"context"
	"time"
)

const (
	// stallCheckInterval is the interval between looks at the clock, minStall the shortest stall
	// that is reported.
	stallCheckInterval = 50 * time.Millisecond
	minStall           = 100 * time.Millisecond
)

// stallMonitor finds the times at which this process did not run: it was stopped, or waited for a
// processor.
type stallMonitor struct {
	lastCheck time.Duration
}

// check returns for how long the process has not run since the last check, 0 if that is below
// minStall.
func (m *stallMonitor) check(now time.Duration) time.Duration {
	stall := now - m.lastCheck - stallCheckInterval
	m.lastCheck = now
	if stall < minStall {
		return 0
	}
	return stall
}

// watchStalls reports stalls of this process until ctx ends.
func (g *Gateway) watchStalls(ctx context.Context) {
	monitor := stallMonitor{lastCheck: bootTime()}
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if stall := monitor.check(bootTime()); stall > 0 {
				g.recordStall(stall)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) recordStall(stall time.Duration) {
	g.metrics.stalls.Inc()
	g.metrics.stalledSeconds.Add(stall.Seconds())
	event := g.log.Warn().Str("event", "stalled").Int64("stalled_ms", stall.Milliseconds())
	if granter := g.links.currentGranter(); granter != nil {
		left := time.Duration(granter.renewUntil.Load()) - bootTime()
		event = event.Int64("term", granter.term).Int64("authority_ms", left.Milliseconds())
	}
	event.Msg("")
}
