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

// epoch is the wall clock at the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0)

const (
	orders        = 120_000
	orderRate     = 1200.0
	lossEvery     = 10 * time.Second
	takeover      = 1100 * time.Millisecond
	halfSkew      = 250 * time.Millisecond
	callerPatient = 300 * time.Millisecond
	maxSends      = 6
)

// order is one request that may not be repeated, as its caller sees it.
type order struct {
	id      string
	service time.Duration
	sends   int
	runs    int
	settled bool
	// notRun is set while the last word of the router is that it did not run,
	// noHolder if that was said without a holder, which alone knows the IDs.
	notRun, noHolder bool
}

// counter counts the outcomes of all orders.
type counter struct {
	e       *engine
	shape   shape
	sh      *shard // nil during a takeover
	ups     []*upstream
	memory  *dedup.Table
	waiters map[string][]func(api.Outcome)
	vmError time.Duration
	blind   bool // runs each repeat again, as a check of the count
	orders  []*order
	resends int
	losses  int
	// refused tells for each send that was refused as not run whether it ran,
	// before or after the refusal.
	refused []*bool
}

func (k *counter) wall() time.Time { return epoch.Add(k.e.now + k.vmError) }

func (k *counter) clockError() time.Duration {
	return time.Duration((2*k.e.rng.Float64() - 1) * float64(halfSkew))
}

// lose drops the holder with its memory; another VM takes over.
func (k *counter) lose() {
	k.losses++
	k.sh.dead = true
	k.sh, k.memory = nil, nil
	k.waiters = map[string][]func(api.Outcome){}
	k.e.after(takeover, k.install)
}

func (k *counter) install() {
	k.vmError = k.clockError()
	k.memory = dedup.New(dedup.Config{}, k.wall())
	sh := newShard(k.e, k.shape, dispatch.Config{})
	if k.ups != nil {
		sh.ups = k.ups
		for _, u := range k.ups {
			sh.byID[u.id] = u
		}
	}
	k.sh, k.ups = sh, sh.ups
}

// send sends an order; the caller sends it again if no answer comes in time.
func (k *counter) send(o *order) {
	o.sends++
	o.notRun, o.noHolder = false, false
	sends := o.sends
	again := func() {
		if !o.settled && o.sends == sends && sends < maxSends {
			k.resends++
			k.send(o)
		}
	}
	k.e.after(callerPatient, again)
	k.handle(o, func(outcome api.Outcome) {
		if k.e.rng.Float64() < 0.05 {
			return // the answer is lost on its way to the caller
		}
		switch outcome {
		case api.Answered:
			o.settled, o.notRun = true, false
		case api.NotRun:
			if o.sends == sends {
				o.notRun, o.noHolder = true, k.sh == nil
			}
		case api.Unknown:
		}
	})
}

// handle is what the holder does with an order.
func (k *counter) handle(o *order, answer func(api.Outcome)) {
	if k.sh == nil {
		answer(api.NotRun)
		return
	}
	d := k.memory.Begin(k.wall(), o.id)
	switch {
	case d.Action == dedup.Run || k.blind:
	case d.Action == dedup.Wait:
		k.waiters[o.id] = append(k.waiters[o.id], answer)
		return
	case d.Action == dedup.Recorded:
		answer(api.Answered)
		return
	default:
		answer(d.Refusal.Outcome)
		return
	}
	ran := new(bool)
	k.sh.arrive(call{
		caller: fmt.Sprint("caller", len(o.id)+o.sends), timeout: callerPatient, service: o.service, ran: func() { o.runs++; *ran = true },
		end: func(_ call, r result) {
			if r.outcome == api.Answered && k.e.rng.Float64() < 0.01 {
				r.outcome = api.Unknown // the connection broke after the run
			}
			if r.outcome == api.NotRun {
				k.refused = append(k.refused, ran)
			}
			k.memory.Finish(k.wall(), o.id, dedup.Result{Outcome: r.outcome, Answer: &dedup.Answer{Status: 200}})
			for _, w := range k.waiters[o.id] {
				w(r.outcome)
			}
			delete(k.waiters, o.id)
			answer(r.outcome)
		},
	})
}

// runOrders sends all orders, with resends, lost answers and lost memories.
func runOrders(seed uint64, blind bool) *counter {
	e := newEngine(seed)
	k := &counter{e: e, shape: ordinary(false), blind: blind, waiters: map[string][]func(api.Outcome){}}
	k.install()
	end := time.Duration(orders / orderRate * float64(time.Second))
	e.every(orderRate, end+time.Second, func() {
		if len(k.orders) == orders {
			return
		}
		o := &order{id: k.newID(), service: e.lognormal(k.shape.mean, k.shape.sigma)}
		k.orders = append(k.orders, o)
		k.send(o)
	})
	for at := lossEvery; at < end; at += lossEvery {
		e.after(at, k.lose)
	}
	e.run(end + 10*time.Second)
	return k
}

// newID returns a UUIDv7 dated by the clock of a caller.
func (k *counter) newID() string {
	var u uuid.UUID
	ms := epoch.Add(k.e.now + k.clockError()).UnixMilli()
	binary.BigEndian.PutUint64(u[:8], uint64(ms)<<16)
	binary.BigEndian.PutUint64(u[8:], uint64(len(k.orders)))
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

// count returns the runs beyond the first, the refusals as not run that were
// false, and the orders of which a refusal without a holder was the last word
// although an earlier send ran. Such a refusal speaks of its own send only
// (section 7.1); a refusal by a holder speaks of the ID.
func (k *counter) count() (duplicates, falseNotRun, ranEarlier, answered int) {
	for _, ran := range k.refused {
		if *ran {
			falseNotRun++
		}
	}
	for _, o := range k.orders {
		duplicates += max(0, o.runs-1)
		switch {
		case o.notRun && o.runs > 0 && o.noHolder:
			ranEarlier++
		case o.notRun && o.runs > 0:
			falseNotRun++
		}
		if o.settled {
			answered++
		}
	}
	return duplicates, falseNotRun, ranEarlier, answered
}

// Duplicates measures runs beyond the first, and false statements that a
// request did not run.
func Duplicates(seed uint64) []metric.Metric {
	k := runOrders(seed, false)
	duplicates, falseNotRun, ranEarlier, answered := k.count()
	note := fmt.Sprintf("virtual time; %d requests, %d resends, %d losses of the memory, clocks wrong by up to %v; %.2f%% answered",
		len(k.orders), k.resends, k.losses, halfSkew, 100*float64(answered)/float64(len(k.orders)))
	return []metric.Metric{
		{Name: "duplicate_runs", Value: float64(duplicates), Unit: "runs", HasBound: true, Seed: seed, Note: note},
		{Name: "false_not_run", Value: float64(falseNotRun), Unit: "refusals", HasBound: true, Seed: seed, Note: note},
		{Name: "no_holder_after_run", Value: float64(ranEarlier), Unit: "requests", Seed: seed, Note: note + "; the last send was refused without a holder, an earlier one ran"},
	}
}

// All measures everything in this package.
func All(seed uint64) []metric.Metric {
	var all []metric.Metric
	for _, measure := range []func(uint64) []metric.Metric{Goodput, Fairness, Cold, KnownCold, Comeback, Crash, Duplicates} {
		all = append(all, measure(seed)...)
	}
	return all
}
