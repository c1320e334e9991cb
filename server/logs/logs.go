// Package logs sets up the daemon's log: one line of key=value pairs for each event.
package logs

import (
	"io"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"dandelionhill.dev/api"
)

// timeFormat has milliseconds, because a takeover takes about a second and a move
// of keys a few milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// zerolog has no time format per logger.
func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that writes lines such as
// "time=2026-01-02T15:04:05.000Z level=info event=started vm=a1".
func New(w io.Writer, level string, vm api.VMID) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Errorf("log level %q is unknown: use debug, info, warn or error", level)
	}
	writer := zerolog.ConsoleWriter{
		Out: w, NoColor: true,
		PartsOrder:  []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FormatLevel: func(v any) string { return "level=" + toString(v) },
		FormatTimestamp: func(v any) string {
			return "time=" + toString(v)
		},
	}
	return zerolog.New(writer).Level(parsed).With().Timestamp().Str("vm", string(vm)).Logger(), nil
}

// bufferLines is the number of lines buffered while the output blocks.
const bufferLines = 4096

// Async returns a writer that never blocks. When bufferLines are waiting, new lines
// overwrite older ones, and dropped is called with the number lost.
func Async(w io.Writer, dropped func(lines int)) io.WriteCloser {
	return diode.NewWriter(w, bufferLines, 0, dropped)
}

func toString(v any) string {
	s, _ := v.(string)
	return s
}
