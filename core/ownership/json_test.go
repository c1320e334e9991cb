package ownership

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEntryJSON guards against a change of the names in the output of
// dandelionctl --json gateway.
func TestEntryJSON(t *testing.T) {
	text, err := json.Marshal(Entry{Span: Span{1, 2}, Owner: Owner{UpstreamID: "a", Incarnation: 3}, Fence: 4})
	require.NoError(t, err)
	require.Equal(t, `{"Span":{"First":1,"Last":2},"Owner":{"Upstream":"a","Life":3},"Fence":4}`, string(text))
}
