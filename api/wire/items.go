package wire

// The major types and the additional information of RFC 8949.
const (
	majorBytes, majorText   = 2, 3
	oneByte, eightBytes     = 24, 27
	majorBits, argumentMask = 5, 31
)

// Items returns the number of data items in an encoded message, which is at least that of the values
// that are decoded from it. It says what decoding may cost before anything is decoded: a message of
// 130 KB may hold 131,072 empty structures. It stops where the message is malformed.
func Items(data []byte) int64 {
	items := int64(0)
	for len(data) > 0 {
		major, argument := data[0]>>majorBits, uint64(data[0]&argumentMask)
		data = data[1:]
		items++
		if argument >= oneByte && argument <= eightBytes {
			size := 1 << (argument - oneByte)
			if len(data) < size {
				return items
			}
			argument = 0
			for _, b := range data[:size] {
				argument = argument<<8 | uint64(b)
			}
			data = data[size:]
		} else if argument > eightBytes {
			argument = 0 // of indefinite length: its parts follow
		}
		if major == majorBytes || major == majorText {
			if argument > uint64(len(data)) {
				return items
			}
			data = data[argument:]
		}
	}
	return items
}
