package gateway

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/platform/httpconn/httpconntest"
)

// TestStoreResetDuringCommit guards against a transaction that counts as accepted although the store
// reset the connection before it had read the transaction.
func TestStoreResetDuringCommit(t *testing.T) {
	network := &httpconntest.Network{HoldWrite: true}
	address := network.ServeReset(t, "HTTP/1.1 200 OK\r\n\r\n{}")
	store := fleet.NewStore(address, newStoreClientOn(network.Dial))
	_, err := store.Commit(t.Context(), fleet.Tx{Put: []fleet.Put{{Value: make([]byte, uploadBytes)}}})
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
