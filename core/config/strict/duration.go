package strict

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written in JSON as a string with units,
// such as "250ms" or "10s".
type Duration time.Duration

// AsDuration returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// String returns the form used in files.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration with a unit (ns, us, ms, s, m, h)", text)
	}
	*d = Duration(parsed)
	return nil
}
