package policy

import (
	"encoding/binary"
	"fmt"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/metric"
	"dandelionhill.dev/core/dedup"
	"dandelionhill.dev/core/dispatch"
	"github.com/google/uuid"
)

// epoch is the wall-clock time at the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0)

const (
	requestCount       = 120_000
	requestRate        = 1200.0
	holderLossInterval = 10 * time.Second
	takeoverTime       = 1100 * time.Millisecond
	maxClockError      = 250 * time.Millisecond
	callerTimeout      = 300 * time.Millisecond
	maxSends           = 6
)

// request is one non-repeatable request, as its caller sees it.
type request struct {
	id          string
	serviceTime time.Duration
	sends       int
	runs        int
	answered    bool
	// notRun is set if the router's latest answer is that the request did not run,
	// noHolder if there was no holder at that time: only a holder knows the IDs.
	notRun, noHolder bool
}

// dedupSimulation simulates callers and a holder that is lost repeatedly, and
// records the outcomes of all requests.
type dedupSimulation struct {
	e            *engine
	spec         shardSpec
	sh           *shard // nil during a takeover
	ups          []*upstream
	table        *dedup.Table
	waiters      map[string][]func(api.Outcome)
	vmClockError time.Duration
	withoutDedup bool // runs retries again, to check that such runs are counted
	requests     []*request
	retries      int
	holderLosses int
	// refusedRan tells for each send that was refused as not run whether it ran,
	// before or after the refusal.
	refusedRan []*bool
}

func (s *dedupSimulation) wallTime() time.Time { return epoch.Add(s.e.now + s.vmClockError) }

func (s *dedupSimulation) clockError() time.Duration {
	return time.Duration((2*s.e.rng.Float64() - 1) * float64(maxClockError))
}

// loseHolder drops the holder with its deduplication table. Another VM takes over.
func (s *dedupSimulation) loseHolder() {
	s.holderLosses++
	s.sh.holderLost = true
	s.sh, s.table = nil, nil
	s.waiters = map[string][]func(api.Outcome){}
	s.e.after(takeoverTime, s.startHolder)
}

func (s *dedupSimulation) startHolder() {
	s.vmClockError = s.clockError()
	s.table = dedup.New(dedup.Config{}, s.wallTime())
	sh := newShard(s.e, s.spec, dispatch.Config{})
	if s.ups != nil {
		sh.ups = s.ups
		for _, u := range s.ups {
			sh.byID[u.id] = u
		}
	}
	s.sh, s.ups = sh, sh.ups
}

// send sends a request. The caller retries it if no answer comes in time.
func (s *dedupSimulation) send(req *request) {
	req.sends++
	req.notRun, req.noHolder = false, false
	sends := req.sends
	retry := func() {
		if !req.answered && req.sends == sends && sends < maxSends {
			s.retries++
			s.send(req)
		}
	}
	s.e.after(callerTimeout, retry)
	s.handle(req, func(outcome api.Outcome) {
		if s.e.rng.Float64() < 0.05 {
			return // the answer is lost on its way to the caller
		}
		switch outcome {
		case api.Answered:
			req.answered, req.notRun = true, false
		case api.NotRun:
			if req.sends == sends {
				req.notRun, req.noHolder = true, s.sh == nil
			}
		case api.Unknown:
		}
	})
}

// handle deduplicates a request and runs it, as the holder does.
func (s *dedupSimulation) handle(req *request, answer func(api.Outcome)) {
	if s.sh == nil {
		answer(api.NotRun)
		return
	}
	d := s.table.Begin(s.wallTime(), req.id)
	switch {
	case d.Action == dedup.Run || s.withoutDedup:
	case d.Action == dedup.Wait:
		s.waiters[req.id] = append(s.waiters[req.id], answer)
		return
	case d.Action == dedup.Recorded:
		answer(api.Answered)
		return
	default:
		answer(d.Refusal.Outcome)
		return
	}
	ran := new(bool)
	s.sh.arrive(call{
		caller: fmt.Sprint("caller", len(req.id)+req.sends), timeout: callerTimeout, serviceTime: req.serviceTime, onRun: func() { req.runs++; *ran = true },
		onEnd: func(_ call, r result) {
			if r.outcome == api.Answered && s.e.rng.Float64() < 0.01 {
				r.outcome = api.Unknown // the connection broke after the run
			}
			if r.outcome == api.NotRun {
				s.refusedRan = append(s.refusedRan, ran)
			}
			s.table.Finish(s.wallTime(), req.id, dedup.Result{Outcome: r.outcome, Response: &dedup.Response{Status: 200}})
			for _, w := range s.waiters[req.id] {
				w(r.outcome)
			}
			delete(s.waiters, req.id)
			answer(r.outcome)
		},
	})
}

// runRequests sends all requests, with retries, lost answers and lost holders.
func runRequests(seed uint64, withoutDedup bool) *dedupSimulation {
	e := newEngine(seed)
	s := &dedupSimulation{e: e, spec: defaultSpec(false), withoutDedup: withoutDedup, waiters: map[string][]func(api.Outcome){}}
	s.startHolder()
	end := time.Duration(requestCount / requestRate * float64(time.Second))
	e.every(requestRate, end+time.Second, func() {
		if len(s.requests) == requestCount {
			return
		}
		req := &request{id: s.newID(), serviceTime: e.lognormal(s.spec.mean, s.spec.sigma)}
		s.requests = append(s.requests, req)
		s.send(req)
	})
	for at := holderLossInterval; at < end; at += holderLossInterval {
		e.after(at, s.loseHolder)
	}
	e.run(end + 10*time.Second)
	return s
}

// newID returns a UUIDv7 with the time of a caller's inaccurate clock.
func (s *dedupSimulation) newID() string {
	var u uuid.UUID
	ms := epoch.Add(s.e.now + s.clockError()).UnixMilli()
	binary.BigEndian.PutUint64(u[:8], uint64(ms)<<16)
	binary.BigEndian.PutUint64(u[8:], uint64(len(s.requests)))
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

// count returns the runs beyond the first, the false refusals as not run, the
// requests whose latest answer was a refusal without a holder although an earlier
// send ran, and the answered requests. A refusal without a holder is about that
// send only (section 7.1), a refusal by a holder about the ID.
func (s *dedupSimulation) count() (duplicates, falseNotRun, ranEarlier, answered int) {
	for _, ran := range s.refusedRan {
		if *ran {
			falseNotRun++
		}
	}
	for _, req := range s.requests {
		duplicates += max(0, req.runs-1)
		switch {
		case req.notRun && req.runs > 0 && req.noHolder:
			ranEarlier++
		case req.notRun && req.runs > 0:
			falseNotRun++
		}
		if req.answered {
			answered++
		}
	}
	return duplicates, falseNotRun, ranEarlier, answered
}

// Duplicates measures runs beyond the first, and false refusals as not run.
func Duplicates(seed uint64) []metric.Metric {
	s := runRequests(seed, false)
	duplicates, falseNotRun, ranEarlier, answered := s.count()
	note := fmt.Sprintf("virtual time; %d requests, %d retries, %d losses of the deduplication table, clocks wrong by up to %v; %.2f%% answered",
		len(s.requests), s.retries, s.holderLosses, maxClockError, 100*float64(answered)/float64(len(s.requests)))
	return []metric.Metric{
		{Name: "duplicate_runs", Value: float64(duplicates), Unit: "runs", HasBound: true, Seed: seed, Note: note},
		{Name: "false_not_run", Value: float64(falseNotRun), Unit: "refusals", HasBound: true, Seed: seed, Note: note},
		{Name: "no_holder_after_run", Value: float64(ranEarlier), Unit: "requests", Seed: seed, Note: note + "; the last send was refused without a holder, an earlier one ran"},
	}
}

// All runs all measurements of this package except Presets.
func All(seed uint64) []metric.Metric {
	var all []metric.Metric
	for _, measure := range []func(uint64) []metric.Metric{Goodput, Fairness, ColdStarts, KnownColdStarts, DomainReturn, Crash, Duplicates} {
		all = append(all, measure(seed)...)
	}
	return all
}
