package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// count returns the data items of a decoded value.
func count(value any) int64 {
	items := int64(1)
	switch v := value.(type) {
	case []any:
		for _, element := range v {
			items += count(element)
		}
	case map[any]any:
		for key, element := range v {
			items += count(key) + count(element)
		}
	}
	return items
}

// FuzzItems guards against a message whose decoded form has more items than counted, and against a
// malformed one that is read beyond its end.
func FuzzItems(f *testing.F) {
	for _, value := range []any{
		0, "text", []byte("bytes"), 1 << 40, []any{}, make([]map[int]any, 300), map[string]any{"a": []int{1, 2, 1000}, "b": map[int]string{1: "c"}},
	} {
		data, err := cbor.Marshal(value)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0x9f, 0x01, 0x5f, 0x41, 0x61, 0xff, 0xff}) // indefinite lengths
	f.Add([]byte{0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		items := Items(data)
		require.LessOrEqual(t, items, int64(len(data)))
		var value any
		if cbor.Unmarshal(data, &value) == nil {
			require.GreaterOrEqual(t, items, count(value))
		}
	})
}
