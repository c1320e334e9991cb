// Package operators changes the configuration of a running deployment as several
// operators do at once, observes what its VMs have in force, and records both
// for the checkers of package history.
package operators

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/wait"
)

// VM is the admin interface of an entry VM.
type VM interface {
	Change(ctx context.Context, change config.Change) (admin.ChangeResult, error)
	Operation(ctx context.Context, id string) (admin.OperationStatus, error)
	Config(ctx context.Context) (*config.Document, error)
	Ready(ctx context.Context) error
}

// Options describes a run.
type Options struct {
	VMs     map[api.VMID]VM
	VMOrder []api.VMID // the VMs in a fixed order, so that a seed picks the same ones
	Table   platform.Table
	// Operators is the number of operators that work at once, each on its own
	// changes one after another.
	Operators int
	// Changes is the number of changes of each operator.
	Changes int
	// CallInterval is the time between two calls of an operator.
	CallInterval time.Duration
	// RetryAfter is the time after which a change that got no answer is sent again.
	RetryAfter time.Duration
	// Faults are injected evenly over the changes. One that returns
	// an error ends the run.
	Faults []func() error
	// MaxDuration ends the changes early, on a busy machine, and spreads the faults over
	// that time; 0 is no limit.
	MaxDuration time.Duration
	Seed        uint64
}

const (
	// callTimeout bounds one call of an operator or an observer.
	callTimeout = 2 * time.Second
	// attempts is how often an operator sends a change that got no answer, each
	// time through another VM.
	attempts = 4
	// questions is how often an operator asks whether a change is accepted or in
	// force before going on without that report.
	questions = 20
	// reportEvery is the share of changes that an operator follows until they are
	// in force; following all of them would serialize the operators.
	reportEvery = 3
	// observeEvery is the interval at which each VM and the row are observed.
	observeEvery = 20 * time.Millisecond
	// changedUpstreams is the number of upstreams of a service that are drained and
	// put back; the others keep the service up.
	changedUpstreams = 4
)

// run is a run in progress.
type run struct {
	Options
	start time.Time
	log   history.ConfigurationLog
	ended atomic.Int64 // changes
}

func (r *run) now() time.Duration { return time.Since(r.start) }

// Run makes the changes and the faults and observes the VMs meanwhile. All faults
// must have ended after the last step. It then waits until every VM works under
// the newest document and returns the history.
func Run(ctx context.Context, o Options) (*history.Configuration, error) {
	r := &run{Options: o, start: time.Now()}
	if err := r.first(ctx); err != nil {
		return nil, err
	}
	observing, stop := context.WithCancel(ctx)
	defer stop()
	var observers, operators sync.WaitGroup
	observers.Go(func() { r.observe(observing, r.observeRow) })
	for _, id := range o.VMOrder {
		observers.Go(func() { r.observe(observing, func(ctx context.Context) { r.observeVM(ctx, id) }) })
	}
	for i := range o.Operators {
		operators.Go(func() { r.operate(ctx, i) })
	}
	err := r.fail(ctx)
	operators.Wait()
	if err == nil {
		err = r.settle(ctx)
	}
	stop()
	observers.Wait()
	if err != nil {
		return nil, err
	}
	final, operations, err := r.row(ctx)
	if err != nil {
		return nil, err
	}
	r.log.AddObservation(final, operations)
	return r.log.History(final), nil
}

// first records the changes that were made before the run as accepted.
func (r *run) first(ctx context.Context) error {
	o, operations, err := r.row(ctx)
	if err != nil {
		return err
	}
	for _, op := range operations {
		r.log.AddChange(history.Change{
			Operation: op.Operation, Return: r.now(), Result: history.Accepted, Revision: op.Revision,
		})
	}
	if len(operations) != int(o.Revision) {
		return errors.Errorf("revision %d lists %d operations: start the run on a new deployment", o.Revision, len(operations))
	}
	return nil
}

// fail runs the steps, each when its share of the changes has ended.
func (r *run) fail(ctx context.Context) error {
	for i, step := range r.Faults {
		for !r.due(float64(i+1) / float64(len(r.Faults)+1)) {
			if ctx.Err() != nil {
				return errors.Errorf("only %d of %d changes ended", r.ended.Load(), r.Operators*r.Changes)
			}
			sleep(ctx, r.CallInterval)
		}
		if err := step(); err != nil {
			return errors.WithMessagef(err, "step %d", i)
		}
	}
	return nil
}

// due reports whether a share of the changes has ended or of the time has passed.
func (r *run) due(share float64) bool {
	return float64(r.ended.Load()) >= share*float64(r.Operators*r.Changes) ||
		r.MaxDuration > 0 && float64(r.now()) >= share*float64(r.MaxDuration)
}

func sleep(ctx context.Context, d time.Duration) { wait.For(ctx, max(d, time.Millisecond)) }

// operate makes the changes of one operator.
func (r *run) operate(ctx context.Context, operator int) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(operator)))
	for i := range r.Changes {
		if ctx.Err() != nil || r.MaxDuration > 0 && r.now() >= r.MaxDuration {
			return
		}
		if c, ok := r.change(ctx, rng, fmt.Sprintf("operator-%d-%d", operator, i), i%reportEvery == 0); ok {
			r.log.AddChange(c)
		}
		r.ended.Add(1)
		sleep(ctx, r.CallInterval)
	}
}

// change reads the document of a VM, decides and sends one change. It reports
// false if no VM showed its document.
func (r *run) change(ctx context.Context, rng *rand.Rand, id string, follow bool) (history.Change, bool) {
	at, pick := rng.IntN(len(r.VMOrder)), rng.Uint64()
	var doc *config.Document
	for i := 0; doc == nil; i++ {
		if i == len(r.VMOrder) {
			return history.Change{}, false
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		read, err := r.VMs[r.VMOrder[at]].Config(call)
		cancel()
		if err == nil {
			doc = read
		} else {
			at = (at + 1) % len(r.VMOrder)
		}
	}
	change, value := decide(doc, pick)
	change.OperationID, change.BaseRevision = id, doc.Revision
	c := history.Change{
		Operation: id, Entity: change.Entity(), Value: value, Base: doc.Revision, Call: r.now(), Result: history.NoAnswer,
	}
	for i := range attempts {
		vm := r.VMs[r.VMOrder[(at+i)%len(r.VMOrder)]]
		if r.send(ctx, vm, change, &c, follow) {
			break
		}
		sleep(ctx, r.RetryAfter)
	}
	if c.Result != history.Accepted {
		c.Return = r.now()
	}
	return c, true
}

// send sends a change through a VM and reports whether its result is known. With
// follow it also waits for the report that the change is in force.
func (r *run) send(ctx context.Context, vm VM, change config.Change, c *history.Change, follow bool) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	result, err := vm.Change(call, change)
	cancel()
	var refused *admin.Error
	if errors.As(err, &refused) {
		switch refused.Kind {
		case admin.Conflict:
			c.Result = history.Conflict
			return true
		case admin.Refused, admin.NotFound, admin.BadRequest:
			c.Result = history.Refused
			return true
		}
	}
	if err != nil {
		return false
	}
	status := result.OperationStatus
	for range questions {
		if c.Result != history.Accepted && (status.State == admin.StateAccepted || status.State == admin.StateInForce) {
			c.Result, c.Revision, c.Return = history.Accepted, status.Revision, r.now()
		}
		if status.State == admin.StateInForce {
			c.InForce = r.now()
		}
		if c.InForce > 0 || c.Result == history.Accepted && !follow {
			break
		}
		sleep(ctx, r.CallInterval)
		call, cancel := context.WithTimeout(ctx, callTimeout)
		next, err := vm.Operation(call, change.OperationID)
		cancel()
		if err != nil {
			break
		}
		status = next
	}
	return c.Result == history.Accepted
}

// decide makes a change of the preset in force, of a failure domain or of an
// upstream, and returns the value that it gives to its entity.
func decide(doc *config.Document, pick uint64) (config.Change, string) {
	service := doc.Services[pick%uint64(len(doc.Services))]
	upstream := service.Upstreams[pick/8%changedUpstreams]
	domain := doc.FailureDomains[len(doc.FailureDomains)-1]
	switch pick / 64 % 4 {
	case 0:
		if upstream.Drained {
			return config.Change{Kind: config.Undrain, Name: string(upstream.ID)}, active
		}
		return config.Change{Kind: config.DrainUpstream, Name: string(upstream.ID)}, drained
	case 1:
		if domain.Out {
			return config.Change{Kind: config.DomainIn, Name: string(domain.Name)}, active
		}
		return config.Change{Kind: config.DomainOut, Name: string(domain.Name)}, out
	default:
		preset := doc.Presets[pick/256%uint64(len(doc.Presets))].Name
		return config.Change{Kind: config.SetPreset, Name: preset}, preset
	}
}

// The values of upstreams and failure domains.
const (
	active  = "active"
	drained = "drained"
	out     = "out"
)

// values returns the state of the entities that decide may change.
func values(doc *config.Document) map[string]string {
	entity := func(kind config.ChangeKind, name string) string {
		return (&config.Change{Kind: kind, Name: name}).Entity()
	}
	all := map[string]string{entity(config.SetPreset, doc.ActivePreset): doc.ActivePreset}
	for _, d := range doc.FailureDomains {
		state := active
		if d.Out {
			state = out
		}
		all[entity(config.DomainOut, string(d.Name))] = state
	}
	for _, s := range doc.Services {
		for _, u := range s.Upstreams[:changedUpstreams] {
			state := active
			if u.Drained {
				state = drained
			}
			all[entity(config.DrainUpstream, string(u.ID))] = state
		}
	}
	return all
}
