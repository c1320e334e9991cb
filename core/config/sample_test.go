package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const sample = `{
  // A small valid document.
  "region": "bengal",
  "failure_domains": [{"name": "howrah"}, {"name": "sealdah"}],
  "services": [
    {
      "name": "trayhouse", "keyed": true, "ranges": 64, "shards": 2, "upstream_checks": "fence",
      "slots": 3, "connections": 50, "max_body": 65536,
      "upstreams": [
        {"id": "tray-1", "address": "127.0.0.1:9001", "failure_domain": "howrah"},
        {"id": "tray-2", "address": "127.0.0.1:9002", "failure_domain": "sealdah"},
        {"id": "tray-3", "address": "127.0.0.1:9003", "failure_domain": "sealdah"},
      ],
    },
  ],
  "presets": [
    {
      "name": "ordinary", "queue_length": 20, "slot_factor": 1, "retry_budget": 0.1, "hedge_budget": 0.05,
      "domain_reserve": 0.25, "ramp_step": 1, "cold_start": 1, "moves_per_second": 5, "rebalance_above": 1.15,
      "rebalance_after": "10s", "default_timeout": "2s", "lame_duck": "2s",
    },
    {
      "name": "peak", "queue_length": 10, "slot_factor": 1, "retry_budget": 0.05, "hedge_budget": 0.02,
      "domain_reserve": 0, "ramp_step": 1, "cold_start": 1, "moves_per_second": 1, "rebalance_above": 1.3,
      "rebalance_after": "30s", "default_timeout": "1500ms", "lame_duck": "2s",
    },
  ],
  "active_preset": "ordinary",
}
`

// initialDocument returns the sample at revision 1.
func initialDocument(t *testing.T) *Document {
	t.Helper()
	doc, err := Parse("sample.json", []byte(sample))
	require.NoError(t, err)
	doc, err = Apply(nil, Change{OperationID: "init", By: "anna", Kind: Init, Document: doc})
	require.NoError(t, err)
	return doc
}

func TestEveryKindOfChangeTakesEffect(t *testing.T) {
	doc := initialDocument(t)
	preset := doc.Presets[1]
	preset.QueueLength = 11
	service := doc.Services[0]
	service.MaxBody = 1000
	changes := []struct {
		ch     Change
		entity string
		kind   DifferenceKind
	}{
		{Change{Kind: SetPreset, Name: "peak"}, "active preset", Changed},
		{Change{Kind: PutPreset, Preset: &preset}, "preset peak", Changed},
		{Change{Kind: PutService, Service: &service}, "service trayhouse", Changed},
		{Change{Kind: PutFailureDomain, Name: "barasat"}, "failure domain barasat", Added},
		{Change{Kind: DomainOut, Name: "howrah"}, "failure domain howrah", Changed},
		{Change{Kind: DomainIn, Name: "howrah"}, "failure domain howrah", Changed},
		{Change{Kind: VMOut, Name: "vm-1"}, "VM vm-1", Added},
		{Change{Kind: VMIn, Name: "vm-1"}, "VM vm-1", Removed},
		{Change{Kind: DrainUpstream, Name: "tray-1"}, "upstream tray-1", Changed},
		{Change{Kind: Undrain, Name: "tray-1"}, "upstream tray-1", Changed},
		{Change{Kind: ConfirmLost, Name: "tray-3"}, "upstream tray-3", Changed},
		{Change{Kind: AddUpstream, Name: "trayhouse", Upstream: &Upstream{ID: "tray-4", Address: "127.0.0.1:9004", FailureDomain: "barasat"}}, "upstream tray-4", Added},
		{Change{Kind: RemoveUpstream, Name: "tray-3"}, "upstream tray-3", Removed},
	}
	for i, c := range changes {
		c.ch.OperationID = fmt.Sprintf("op-%d", i)
		c.ch.BaseRevision = doc.Revision
		before, err := Encode(doc)
		require.NoError(t, err)
		next, err := Apply(doc, c.ch)
		require.NoError(t, err, "%s", c.ch.Kind)
		require.Equal(t, []Difference{{c.entity, c.kind}}, Diff(doc, next), "%s", c.ch.Kind)
		require.Equal(t, doc.Revision+1, next.Revision)
		after, err := Encode(doc)
		require.NoError(t, err)
		require.Equal(t, string(before), string(after), "%s changed its input", c.ch.Kind)
		again, err := Apply(next, c.ch)
		require.NoError(t, err)
		require.Same(t, next, again, "a retry of %s had a second effect", c.ch.Kind)
		doc = next
	}
	next, err := Apply(doc, Change{OperationID: "last", BaseRevision: doc.Revision, Kind: RemoveService, Name: "trayhouse"})
	require.NoError(t, err)
	require.Empty(t, next.Services)

	data, err := Encode(doc)
	require.NoError(t, err)
	decoded, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, doc, decoded)
}
