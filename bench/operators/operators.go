// Package operators simulates concurrent operators that change the configuration
// of a running deployment. It observes the documents of the VMs meanwhile and
// records changes and observations for the checkers of package history.
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
	// Operators is the number of concurrent operators. Each makes its changes one
	// after another.
	Operators int
	// Changes is the number of changes of each operator.
	Changes int
	// CallInterval is the time between two calls of an operator.
	CallInterval time.Duration
	// RetryAfter is the time after which a change that got no answer is sent again.
	RetryAfter time.Duration
	// Faults are injected in order, spread evenly over the changes. One that
	// returns an error ends the run.
	Faults []func() error
	// MaxDuration ends the changes early on a busy machine; the faults are spread
	// over at most that time. 0 is no limit.
	MaxDuration time.Duration
	Seed        uint64
}

const (
	// callTimeout bounds one call of an operator or an observer.
	callTimeout = 2 * time.Second
	// maxAttempts is how often an operator sends a change that got no answer, each
	// time through another VM.
	maxAttempts = 4
	// maxPolls is how often an operator asks whether a change is accepted or in
	// force before it continues without that report.
	maxPolls = 20
	// followEvery is n if an operator follows every n-th change until it is in
	// force; following all of them would serialize the operators.
	followEvery = 3
	// observeInterval is the interval at which each VM and the row are observed.
	observeInterval = 20 * time.Millisecond
	// changedUpstreams is the number of upstreams of a service that are drained and
	// put back; the others keep the service up.
	changedUpstreams = 4
)

// run is a run in progress.
type run struct {
	Options
	start        time.Time
	log          history.ConfigurationLog
	endedChanges atomic.Int64
}

func (r *run) now() time.Duration { return time.Since(r.start) }

// Run makes the changes, injects the faults and observes the VMs meanwhile. The
// last of Faults must leave no fault in place. Run then waits until every VM takes
// requests under the newest document and returns the history.
func Run(ctx context.Context, o Options) (*history.Configuration, error) {
	r := &run{Options: o, start: time.Now()}
	if err := r.recordInitialChanges(ctx); err != nil {
		return nil, err
	}
	observeCtx, stop := context.WithCancel(ctx)
	defer stop()
	var observers, operators sync.WaitGroup
	observers.Go(func() { r.observe(observeCtx, r.observeRow) })
	for _, id := range o.VMOrder {
		observers.Go(func() { r.observe(observeCtx, func(ctx context.Context) { r.observeVM(ctx, id) }) })
	}
	for i := range o.Operators {
		operators.Go(func() { r.operate(ctx, i) })
	}
	err := r.injectFaults(ctx)
	operators.Wait()
	if err == nil {
		err = r.waitConverged(ctx)
	}
	stop()
	observers.Wait()
	if err != nil {
		return nil, err
	}
	final, operations, err := r.readRow(ctx)
	if err != nil {
		return nil, err
	}
	r.log.AddObservation(final, operations)
	return r.log.History(final), nil
}

// recordInitialChanges records the changes that were made before the run as accepted.
func (r *run) recordInitialChanges(ctx context.Context) error {
	o, operations, err := r.readRow(ctx)
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

// injectFaults injects each fault when its share of the changes has ended.
func (r *run) injectFaults(ctx context.Context) error {
	for i, step := range r.Faults {
		for !r.reached(float64(i+1) / float64(len(r.Faults)+1)) {
			if ctx.Err() != nil {
				return errors.Errorf("only %d of %d changes ended", r.endedChanges.Load(), r.Operators*r.Changes)
			}
			sleep(ctx, r.CallInterval)
		}
		if err := step(); err != nil {
			return errors.WithMessagef(err, "fault %d", i)
		}
	}
	return nil
}

// reached reports whether a share of the changes has ended or of MaxDuration has passed.
func (r *run) reached(share float64) bool {
	return float64(r.endedChanges.Load()) >= share*float64(r.Operators*r.Changes) ||
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
		if c, ok := r.change(ctx, rng, fmt.Sprintf("operator-%d-%d", operator, i), i%followEvery == 0); ok {
			r.log.AddChange(c)
		}
		r.endedChanges.Add(1)
		sleep(ctx, r.CallInterval)
	}
}

// change reads the document of a VM, picks a change and sends it. It returns
// false if no VM returned its document.
func (r *run) change(ctx context.Context, rng *rand.Rand, id string, follow bool) (history.Change, bool) {
	vmIndex, pick := rng.IntN(len(r.VMOrder)), rng.Uint64()
	var doc *config.Document
	for i := 0; doc == nil; i++ {
		if i == len(r.VMOrder) {
			return history.Change{}, false
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		read, err := r.VMs[r.VMOrder[vmIndex]].Config(callCtx)
		cancel()
		if err == nil {
			doc = read
		} else {
			vmIndex = (vmIndex + 1) % len(r.VMOrder)
		}
	}
	change, value := pickChange(doc, pick)
	change.OperationID, change.BaseRevision = id, doc.Revision
	c := history.Change{
		Operation: id, Entity: change.Entity(), Value: value, Base: doc.Revision, Call: r.now(), Result: history.NoAnswer,
	}
	for i := range maxAttempts {
		vm := r.VMs[r.VMOrder[(vmIndex+i)%len(r.VMOrder)]]
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
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	result, err := vm.Change(callCtx, change)
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
	for range maxPolls {
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
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		next, err := vm.Operation(callCtx, change.OperationID)
		cancel()
		if err != nil {
			break
		}
		status = next
	}
	return c.Result == history.Accepted
}

// pickChange returns a change of the active preset, of a failure domain or of an
// upstream, and the new state of its entity.
func pickChange(doc *config.Document, pick uint64) (config.Change, string) {
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
		return config.Change{Kind: config.DomainOut, Name: string(domain.Name)}, outOfService
	default:
		preset := doc.Presets[pick/256%uint64(len(doc.Presets))].Name
		return config.Change{Kind: config.SetPreset, Name: preset}, preset
	}
}

// The states of upstreams and failure domains.
const (
	active       = "active"
	drained      = "drained"
	outOfService = "out"
)

// entityStates returns the state of the entities that pickChange may change.
func entityStates(doc *config.Document) map[string]string {
	entity := func(kind config.ChangeKind, name string) string {
		return (&config.Change{Kind: kind, Name: name}).Entity()
	}
	states := map[string]string{entity(config.SetPreset, doc.ActivePreset): doc.ActivePreset}
	for _, d := range doc.FailureDomains {
		state := active
		if d.Out {
			state = outOfService
		}
		states[entity(config.DomainOut, string(d.Name))] = state
	}
	for _, s := range doc.Services {
		for _, u := range s.Upstreams[:changedUpstreams] {
			state := active
			if u.Drained {
				state = drained
			}
			states[entity(config.DrainUpstream, string(u.ID))] = state
		}
	}
	return states
}
