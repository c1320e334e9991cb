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

// change applies a change through a VM, based on its document.
func (env *testEnv) change(id api.VMID, ch config.Change) (err error) {
	ch.BaseRevision = env.vms[id].revision()
	env.call(id, func(ctx context.Context, c *Control) { _, err = c.Change(ctx, ch, false) })
	return err
}

// pruneOperations makes so many changes that the document no longer lists the
// earlier ones. Only one VM reads it.
func (env *testEnv) pruneOperations(id api.VMID) {
	doc := env.vms[id].doc
	for i := range config.MaxOperations {
		var err error
		doc, err = config.Apply(doc, config.Change{
			OperationID: fmt.Sprint("preset-", i), BaseRevision: doc.Revision, Kind: config.SetPreset, Name: doc.ActivePreset,
		})
		require.NoError(env.t, err)
	}
	env.put(doc)
	env.readStore(id)
}

// TestNameOfRemovedServiceWaitsForFormerHolders checks that a key never has two owners
// if a service is removed and put again with other shards: a VM that missed the
// removal may still hold a shard of the former service.
func TestNameOfRemovedServiceWaitsForFormerHolders(t *testing.T) {
	for _, pruned := range []bool{false, true} {
		t.Run(fmt.Sprintf("removal pruned %v", pruned), func(t *testing.T) {
			env := newTestEnv(t, "a", "b", "c")
			doc := example(t)
			require.NoError(t, env.change("a", config.Change{OperationID: "init", Kind: config.Init, Document: doc}))
			env.readStore(env.ids...)
			env.runIntervals(5, env.ids...)
			service := doc.Services[0]
			require.NotNil(t, env.vms["c"].shards[api.ShardID{Service: service.Name}])
			require.NoError(t, env.change("a", config.Change{OperationID: "remove", Kind: config.RemoveService, Name: string(service.Name)}))
			if pruned {
				env.pruneOperations("a")
			}
			env.runIntervals(10, "a", "b") // c is partitioned and may hold a shard of the service
			service.Shards = 2
			put := config.Change{OperationID: "put", Kind: config.PutService, Service: &service}
			requireRefused := func() {
				t.Helper()
				var refused *config.RefusalError
				require.True(t, errors.As(env.change("a", put), &refused))
				require.Equal(t, config.NotPermitted, refused.Kind)
			}
			require.NotNil(t, env.vms["c"].shards[api.ShardID{Service: service.Name}])
			requireRefused()
			env.runIntervals(5, env.ids...) // c loses the shard in the first of them, less than the lease ago
			require.Nil(t, env.vms["c"].shards[api.ShardID{Service: service.Name}])
			requireRefused() // leases that c has granted may last as long as its authority
			env.runIntervals(5, env.ids...)
			require.NoError(t, env.change("a", put))
			require.NoError(t, env.change("a", put), "a retry has no second effect")
		})
	}
}

// TestUnusedNameDoesNotWait checks that a service can be put under a name that was
// never used while a VM is partitioned.
func TestUnusedNameDoesNotWait(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c")
	doc := example(t)
	require.NoError(t, env.change("a", config.Change{OperationID: "init", Kind: config.Init, Document: doc}))
	service := doc.Clone().Services[0]
	service.Name = "unused"
	for i := range service.Upstreams {
		service.Upstreams[i].ID += "-2"
		service.Upstreams[i].Address = fmt.Sprintf("127.0.0.2:%d", 9000+i)
	}
	require.NoError(t, env.change("a", config.Change{OperationID: "put", Kind: config.PutService, Service: &service}))
}
