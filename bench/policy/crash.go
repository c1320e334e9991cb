package policy

import (
	"fmt"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/dispatch"
)

// repeats is how often the caller sends the crashing request.
const repeats = 50

// guarded is a shard that asks crash evidence before each start.
type guarded struct {
	*shard
	evidence *crash.Evidence
	prints   map[uint64]uint64 // fingerprint of each call in the shard
	counted  map[uint64]bool   // calls whose crash is in the evidence
}

func newGuarded(e *engine, s shape) *guarded {
	g := &guarded{shard: newShard(e, s, dispatch.Config{}), evidence: crash.New(crash.Config{}), prints: map[uint64]uint64{}, counted: map[uint64]bool{}}
	g.beforeSend = func(c *call) bool {
		v := g.evidence.Admit(e.now, g.prints[c.id])
		if v != crash.Normal && (v != crash.Exclusive || !c.solo) {
			return false
		}
		g.evidence.Started(e.now, g.prints[c.id])
		return true
	}
	g.afterEnd = func(c *call, up api.UpstreamID, r reply) {
		switch r {
		case answered:
			g.evidence.Succeeded(e.now, g.prints[c.id])
		case shed:
			g.evidence.Ended(e.now, g.prints[c.id])
		case broken:
			g.crashed(c, up)
		}
	}
	return g
}

// crashed reports all requests that were in flight on the broken connection at once.
func (g *guarded) crashed(c *call, up api.UpstreamID) {
	if g.counted[c.id] {
		return
	}
	lost := []uint64{g.prints[c.id]}
	for _, id := range g.flying[up] {
		if g.calls[id].job.lost {
			lost = append(lost, g.prints[id])
			g.counted[id] = true
		}
	}
	g.evidence.Crashed(g.e.now, lost)
}

// offer admits a call by the verdict on its fingerprint, and asks again later for Wait.
func (g *guarded) offer(fingerprint uint64, c call) {
	switch g.evidence.Admit(g.e.now, fingerprint) {
	case crash.Quarantined:
		c.end(c, result{outcome: api.NotRun, refusal: api.Refuse(api.Quarantined, "request crashed upstreams")})
		return
	case crash.Wait:
		g.e.after(5*time.Millisecond, func() { g.offer(fingerprint, c) })
		return
	case crash.Exclusive:
		c.solo = true
	case crash.Normal:
	}
	g.prints[g.last+1] = fingerprint
	g.arrive(c)
}

// crashRun sends one crashing request many times among harmless ones, a first
// half in one burst, and returns the number of crashes, the outcomes of the
// repeats and the number of harmless requests refused as quarantined.
func crashRun(seed uint64, withEvidence bool) (crashes, ended, innocent int) {
	s := ordinary(false)
	e := newEngine(seed)
	g := newGuarded(e, s)
	if !withEvidence {
		g.beforeSend, g.afterEnd = nil, nil
	}
	end := warmUp + measureTime
	e.every(0.5*s.capacity(), end, func() {
		g.offer(uint64(1000+e.rng.IntN(300)), call{
			caller: fmt.Sprint("caller", e.rng.IntN(50)), timeout: timeout, service: e.lognormal(s.mean, s.sigma),
			end: func(_ call, r result) {
				if r.refusal != nil && r.refusal.Kind == api.Quarantined {
					innocent++
				}
			},
		})
	})
	for i := range repeats {
		at := warmUp
		if i >= repeats/2 {
			at += time.Duration(i) * 100 * time.Millisecond
		}
		e.after(at, func() {
			g.offer(7, call{caller: "poison", service: s.mean, poison: true, end: func(call, result) { ended++ }})
		})
	}
	e.run(end + time.Second)
	for _, u := range g.ups {
		crashes += u.crashes
	}
	return crashes, ended, innocent
}

// Crash measures how many upstreams one request crashes that is sent again and again.
func Crash(seed uint64) []metric.Metric {
	crashes, ended, innocent := crashRun(seed, true)
	without, _, _ := crashRun(seed, false)
	return []metric.Metric{{
		Name: "upstreams_crashed_by_one_request", Value: float64(crashes), Unit: "upstreams", Bound: 2, HasBound: true, Seed: seed,
		Note: fmt.Sprintf("virtual time; sent %d times, %d of them ended; %d harmless requests refused as quarantined; %d crashes without evidence", repeats, ended, innocent, without),
	}}
}
