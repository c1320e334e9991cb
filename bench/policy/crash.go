package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/dispatch"
)

// crashingSends is how often the caller sends the crashing request.
const crashingSends = 50

// guardedShard is a shard that consults crash evidence before each start.
type guardedShard struct {
	*shard
	evidence     *crash.Evidence
	fingerprints map[uint64]uint64 // by call ID
	reported     map[uint64]bool   // IDs of calls whose crash is in the evidence
}

func newGuardedShard(e *engine, s shardSpec) *guardedShard {
	g := &guardedShard{shard: newShard(e, s, dispatch.Config{}), evidence: crash.New(crash.Config{}), fingerprints: map[uint64]uint64{}, reported: map[uint64]bool{}}
	g.beforeSend = func(c *call) bool {
		v := g.evidence.Admit(e.now, g.fingerprints[c.id])
		if v != crash.Normal && (v != crash.Exclusive || !c.exclusive) {
			return false
		}
		g.evidence.Started(e.now, g.fingerprints[c.id])
		return true
	}
	g.afterEnd = func(c *call, up api.UpstreamID, r reply) {
		switch r {
		case answered:
			g.evidence.Succeeded(e.now, g.fingerprints[c.id])
		case shed:
			g.evidence.Ended(e.now, g.fingerprints[c.id])
		case broken:
			g.crashed(c, up)
		}
	}
	return g
}

// crashed reports all requests that were in flight on the broken connection
// together.
func (g *guardedShard) crashed(c *call, up api.UpstreamID) {
	if g.reported[c.id] {
		return
	}
	lost := []uint64{g.fingerprints[c.id]}
	for _, id := range g.inFlight[up] {
		if g.calls[id].job.interrupted {
			lost = append(lost, g.fingerprints[id])
			g.reported[id] = true
		}
	}
	g.evidence.Crashed(g.e.now, lost)
}

// offer admits a call by the verdict on its fingerprint. For crash.Wait it tries
// again later.
func (g *guardedShard) offer(fingerprint uint64, c call) {
	switch g.evidence.Admit(g.e.now, fingerprint) {
	case crash.Quarantined:
		c.onEnd(c, result{outcome: api.NotRun, refusal: api.Refuse(api.Quarantined, "request crashed upstreams")})
		return
	case crash.Wait:
		g.e.after(5*time.Millisecond, func() { g.offer(fingerprint, c) })
		return
	case crash.Exclusive:
		c.exclusive = true
	case crash.Normal:
	}
	g.fingerprints[g.lastID+1] = fingerprint
	g.arrive(c)
}

// crashRun sends one crashing request many times among harmless ones, the first
// half in a burst. It returns the number of crashes, the number of crashing
// requests that ended, and the number of harmless ones refused as quarantined.
func crashRun(seed uint64, withEvidence bool) (crashes, ended, harmlessRefused int) {
	s := defaultSpec(false)
	e := newEngine(seed)
	g := newGuardedShard(e, s)
	if !withEvidence {
		g.beforeSend, g.afterEnd = nil, nil
	}
	end := warmUp + measureTime
	e.every(0.5*s.capacity(), end, func() {
		g.offer(uint64(1000+e.rng.IntN(300)), call{
			caller: fmt.Sprint("caller", e.rng.IntN(50)), timeout: timeout, serviceTime: e.lognormal(s.mean, s.sigma),
			onEnd: func(_ call, r result) {
				if r.refusal != nil && r.refusal.Kind == api.Quarantined {
					harmlessRefused++
				}
			},
		})
	})
	for i := range crashingSends {
		at := warmUp
		if i >= crashingSends/2 {
			at += time.Duration(i) * 100 * time.Millisecond
		}
		e.after(at, func() {
			g.offer(7, call{caller: "poison", serviceTime: s.mean, crashing: true, onEnd: func(call, result) { ended++ }})
		})
	}
	e.run(end + time.Second)
	for _, u := range g.ups {
		crashes += u.crashes
	}
	return crashes, ended, harmlessRefused
}

// Crash measures how many upstreams a repeatedly sent crashing request crashes.
func Crash(seed uint64) []metric.Metric {
	crashes, ended, harmlessRefused := crashRun(seed, true)
	without, _, _ := crashRun(seed, false)
	return []metric.Metric{{
		Name: "upstreams_crashed_by_one_request", Value: float64(crashes), Unit: "upstreams", Bound: 2, HasBound: true, Seed: seed,
		Note: fmt.Sprintf("virtual time; sent %d times, %d of them ended; %d harmless requests refused as quarantined; %d crashes without evidence", crashingSends, ended, harmlessRefused, without),
	}}
}
