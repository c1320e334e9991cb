package dedup

import (
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// canonicalLength is the length of the hyphenated form. No other form is accepted,
// so that one ID does not appear in several forms in logs and caches.
const canonicalLength = 36

// ID is a parsed request ID.
type ID [16]byte

// ParseID parses a UUID version 7 in its hyphenated form, in either case.
func ParseID(text string) (ID, error) {
	if len(text) != canonicalLength {
		return ID{}, errors.Errorf("request ID has %d characters: write a UUID in its hyphenated form of %d", len(text), canonicalLength)
	}
	u, err := uuid.Parse(text)
	if err != nil {
		return ID{}, errors.Wrap(err, "request ID is not a UUID")
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return ID{}, errors.Errorf("request ID is a UUID of version %d and variant %s: use version 7", u.Version(), u.Variant())
	}
	return ID(u), nil
}

// UnixMilli returns the time embedded in id, in milliseconds since 1970.
func (id ID) UnixMilli() int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// String returns the hyphenated form.
func (id ID) String() string { return uuid.UUID(id).String() }
