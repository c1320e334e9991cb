package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// TestStatus guards against a status that differs from the state of the VMs, and against
// VMs that cannot be found from the store.
func TestStatus(t *testing.T) {
	d := newDeployment(t)
	d.addUpstream("k1", "keyed")
	a, b := d.startVM("vm-a"), d.startVM("vm-b")
	d.requireServed(a, keyedPath, 1)
	d.requireServed(b, keyedPath, 1)
	resp, _ := d.do(b, http.MethodGet, plainPath, -1, 50*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	d.eventually(func() bool { return a.control.view().rank+b.control.view().rank == 1 }, "one VM is the granter, the other follows it")

	stored, err := ReadStoreState(context.Background(), d.storeAddr)
	require.NoError(t, err)
	owner, ok := stored.Owner("keyed", 1)
	require.True(t, ok)
	require.Equal(t, "k1", string(owner.Owner.UpstreamID))
	granter, err := ReadStatus(context.Background(), stored.Address)
	require.NoError(t, err)
	require.Equal(t, stored.Granter, granter.VM)
	require.Contains(t, granter.Peers, a.settings.Listen.Peers)
	require.Contains(t, granter.Peers, b.settings.Listen.Peers)
	for _, g := range []*Gateway{a, b} {
		status, err := ReadStatus(context.Background(), g.settings.Listen.Peers)
		require.NoError(t, err)
		require.True(t, status.Ready)
		require.Equal(t, int64(1), status.ConfigurationVersion)
		require.Equal(t, stored.Granter, status.Granter)
		require.Equal(t, UpstreamCounts{Known: 1, Usable: 1}, status.Upstreams["keyed"])
		require.NotEmpty(t, status.Version)
		require.Contains(t, status.TableAgesMs, fleet.TableOperator)
		require.Contains(t, status.TableAgesMs, fleet.TableUpstreams)
	}
	status, err := ReadStatus(context.Background(), b.settings.Listen.Peers)
	require.NoError(t, err)
	require.Positive(t, status.Refused[string(noUpstream)])
}
