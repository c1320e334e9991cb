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

// observe repeats an observation until ctx is done.
func (r *run) observe(ctx context.Context, once func(context.Context)) {
	for ctx.Err() == nil {
		once(ctx)
		sleep(ctx, observeInterval)
	}
}

// observeVM records the document of a VM. The VM took requests under it if it was
// ready between two reads of the same revision, because revisions of a VM only
// grow. It returns the revision under which the VM takes requests, or 0.
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
	o, operations, err := observationOf(doc)
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
	if o, operations, err := r.readRow(ctx); err == nil {
		r.log.AddObservation(o, operations)
	}
}

// readRow reads the document from the table service in a transaction.
func (r *run) readRow(ctx context.Context) (history.Observation, []history.ListedOperation, error) {
	call := r.now()
	result, err := r.Table.Commit(ctx, platform.Txn{Reads: []string{control.ConfigKey}})
	if err != nil {
		return history.Observation{}, nil, errors.WithMessage(err, "read the configuration")
	}
	doc, err := config.Decode(result.Rows[0].Value)
	if err != nil {
		return history.Observation{}, nil, err
	}
	o, operations, err := observationOf(doc)
	o.Call, o.Return = call, r.now()
	return o, operations, err
}

// observationOf returns the observation of a document and the operations that
// it lists.
func observationOf(doc *config.Document) (history.Observation, []history.ListedOperation, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return history.Observation{}, nil, errors.Wrap(err, "encode document")
	}
	sum := sha256.Sum256(data)
	o := history.Observation{Revision: doc.Revision, Digest: hex.EncodeToString(sum[:8]), Values: entityStates(doc)}
	operations := make([]history.ListedOperation, 0, len(doc.Operations))
	for _, op := range doc.Operations {
		operations = append(operations, history.ListedOperation{Revision: op.Revision, Operation: op.ID})
		o.Operation = op.ID
	}
	return o, operations, nil
}

// waitConverged waits until every VM takes requests under the document of the row.
func (r *run) waitConverged(ctx context.Context) error {
	for {
		o, _, err := r.readRow(ctx)
		if err != nil {
			return err
		}
		lagging := api.VMID("")
		for _, id := range r.VMOrder {
			if r.observeVM(ctx, id) != o.Revision {
				lagging = id
			}
		}
		if lagging == "" {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("VM %s does not take requests under revision %d", lagging, o.Revision)
		}
		sleep(ctx, r.CallInterval)
	}
}
