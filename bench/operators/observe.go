package operators

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/bench/history"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/control"
)

// observe repeats an observation until ctx ends.
func (r *run) observe(ctx context.Context, once func(context.Context)) {
	for ctx.Err() == nil {
		once(ctx)
		sleep(ctx, observeEvery)
	}
}

// observeVM records the document of a VM. The VM worked under it if it was ready
// between two reads of the same revision, because revisions of a VM only grow.
// It reports the revision under which the VM works, or 0.
func (r *run) observeVM(ctx context.Context, id api.VMID) uint64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vm, call := r.VMs[id], r.now()
	before, err := vm.Config(ctx)
	if err != nil {
		return 0
	}
	ready := vm.Ready(ctx) == nil
	doc, err := vm.Config(ctx)
	if err != nil {
		doc, ready = before, false
	}
	o, operations, err := describe(doc)
	if err != nil {
		return 0
	}
	o.VM, o.Call, o.Return = string(id), call, r.now()
	o.Serving = ready && before.Revision == doc.Revision
	r.log.AddObservation(o, operations)
	if !o.Serving {
		return 0
	}
	return o.Revision
}

// observeRow records the row of the table service.
func (r *run) observeRow(ctx context.Context) {
	if o, operations, err := r.row(ctx); err == nil {
		r.log.AddObservation(o, operations)
	}
}

// row reads the document from the table service in a transaction.
func (r *run) row(ctx context.Context) (history.Observation, []history.ListedOperation, error) {
	call := r.now()
	result, err := r.Table.Commit(ctx, platform.Txn{Reads: []string{control.ConfigKey}})
	if err != nil {
		return history.Observation{}, nil, errors.WithMessage(err, "read the configuration")
	}
	doc, err := config.Decode(result.Rows[0].Value)
	if err != nil {
		return history.Observation{}, nil, err
	}
	o, operations, err := describe(doc)
	o.Call, o.Return = call, r.now()
	return o, operations, err
}

// describe returns what the checkers need of a document.
func describe(doc *config.Document) (history.Observation, []history.ListedOperation, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return history.Observation{}, nil, errors.Wrap(err, "encode document")
	}
	sum := sha256.Sum256(data)
	o := history.Observation{Revision: doc.Revision, Digest: hex.EncodeToString(sum[:8]), Values: values(doc)}
	operations := make([]history.ListedOperation, 0, len(doc.Operations))
	for _, op := range doc.Operations {
		operations = append(operations, history.ListedOperation{Revision: op.Revision, Operation: op.ID})
		o.Operation = op.ID
	}
	return o, operations, nil
}

// settle waits until every VM works under the document of the row.
func (r *run) settle(ctx context.Context) error {
	for {
		o, _, err := r.row(ctx)
		if err != nil {
			return err
		}
		waiting := api.VMID("")
		for _, id := range r.VMOrder {
			if r.observeVM(ctx, id) != o.Revision {
				waiting = id
			}
		}
		if waiting == "" {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("VM %s does not work under revision %d", waiting, o.Revision)
		}
		sleep(ctx, r.CallInterval)
	}
}
