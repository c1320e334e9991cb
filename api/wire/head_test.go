package wire

import "testing"

// TestDecodeHead guards against a refusal of the wrong call: of a message without room only the first
// bytes are known.
func TestDecodeHead(t *testing.T) {
	for kind := range payloads() {
		for _, callID := range []uint64{0, 1, 300, 1 << 40} {
			data, err := Encode(kind, callID, Config{Document: make([]byte, 1000)})
			if err != nil {
				t.Fatal(err)
			}
			frame, err := DecodeHead(data[:100])
			if err != nil || frame.Type != kind || frame.CallID != callID {
				t.Fatalf("%s, call %d: %+v, %v", kind, callID, frame, err)
			}
		}
	}
}
