package gateway

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
)

// TestOlderFenceIsStopped guards against a grant under a lower fence than one under which the
// keys were granted to another upstream.
func TestOlderFenceIsStopped(t *testing.T) {
	var log bytes.Buffer
	span := ownership.Span{First: 16, Last: 31}
	stored := systemState{owners: map[api.ServiceName][]ownership.Entry{"keyed": {{Span: span, Fence: 7}}}}
	e := &elector{log: zerolog.New(&log)}
	calls := newCallQueues(&granter{elector: e, initial: stored})
	grant := func(service api.ServiceName, first, last int, fence int64) bool {
		return calls.checkFence(service, ownership.Action{Kind: ownership.Grant, Span: ownership.Span{First: first, Last: last}, Fence: fence})
	}
	require.False(t, grant("keyed", 0, 20, 6), "the store holds a higher fence")
	require.Contains(t, log.String(), `"event":"grant_stopped","service":"keyed","upstream":"","first":0,"last":20,"fence":6,"highest":7`)
	require.True(t, grant("keyed", 16, 31, 7), "a renewal")
	require.True(t, grant("keyed", 24, 31, 9))
	require.False(t, grant("keyed", 16, 31, 8))
	require.True(t, grant("keyed", 16, 23, 8))
	require.True(t, grant("other", 16, 31, 1), "keys of another service")
}
