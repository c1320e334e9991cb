package control

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config"
)

// example returns a configuration with services.
func example(t *testing.T) *config.Document {
	t.Helper()
	path := "../../examples/hooghly/configuration.json"
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	doc, err := config.Parse(path, data)
	require.NoError(t, err)
	return doc
}

// change makes a change through a VM, based on its document.
func (w *world) change(id api.VMID, ch config.Change) (err error) {
	ch.BaseRevision = w.vms[id].revision()
	w.ask(id, func(ctx context.Context, c *Control) { _, err = c.Change(ctx, ch, false) })
	return err
}

// forget makes so many changes that the document forgets the earlier ones. Only
// one VM gets it.
func (w *world) forget(id api.VMID) {
	doc := w.vms[id].doc
	for i := range config.MaxOperations {
		var err error
		doc, err = config.Apply(doc, config.Change{
			OperationID: fmt.Sprint("preset-", i), BaseRevision: doc.Revision, Kind: config.SetPreset, Name: doc.ActivePreset,
		})
		require.NoError(w.t, err)
	}
	w.put(doc)
	w.read(id)
}

// Guards against two owners of a key when a service is removed and put again
// with another division into shards: a VM that missed the removal may still hold
// a shard of the former service.
func TestNameOfRemovedServiceWaitsForFormerHolders(t *testing.T) {
	for _, forgotten := range []bool{false, true} {
		t.Run(fmt.Sprintf("removal forgotten %v", forgotten), func(t *testing.T) {
			w := newWorld(t, "a", "b", "c")
			doc := example(t)
			require.NoError(t, w.change("a", config.Change{OperationID: "init", Kind: config.Init, Document: doc}))
			w.read(w.ids...)
			w.exchange(5, w.ids...)
			service := doc.Services[0]
			require.NotNil(t, w.vms["c"].shards[api.ShardID{Service: service.Name}])
			require.NoError(t, w.change("a", config.Change{OperationID: "remove", Kind: config.RemoveService, Name: string(service.Name)}))
			if forgotten {
				w.forget("a")
			}
			w.exchange(10, "a", "b") // c is cut off and may hold a shard of the service
			service.Shards = 2
			put := config.Change{OperationID: "put", Kind: config.PutService, Service: &service}
			requireRefused := func() {
				t.Helper()
				var refused *config.RefusalError
				require.True(t, errors.As(w.change("a", put), &refused))
				require.Equal(t, config.NotPermitted, refused.Kind)
			}
			require.NotNil(t, w.vms["c"].shards[api.ShardID{Service: service.Name}])
			requireRefused()
			w.exchange(5, w.ids...) // c gives the shard up in the first of them, less than the lease ago
			require.Nil(t, w.vms["c"].shards[api.ShardID{Service: service.Name}])
			requireRefused() // leases that c has granted may last for the time of its authority
			w.exchange(5, w.ids...)
			require.NoError(t, w.change("a", put))
			require.NoError(t, w.change("a", put), "a repeat has no second effect")
		})
	}
}

// Guards against a rule that keeps operators from putting a service under a name
// that was never used, while a VM is cut off.
func TestUnusedNameDoesNotWait(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	doc := example(t)
	require.NoError(t, w.change("a", config.Change{OperationID: "init", Kind: config.Init, Document: doc}))
	service := doc.Clone().Services[0]
	service.Name = "unused"
	for i := range service.Upstreams {
		service.Upstreams[i].ID += "-2"
		service.Upstreams[i].Address = fmt.Sprintf("127.0.0.2:%d", 9000+i)
	}
	require.NoError(t, w.change("a", config.Change{OperationID: "put", Kind: config.PutService, Service: &service}))
}
