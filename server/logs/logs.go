// Package logs sets up the daemon's log: one line of key=value pairs for each event.
package logs

import (
	"io"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"dandelionhill.dev/api"
)

// timeFormat has milliseconds: a takeover takes about a second, a move a few
// milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// The library has no setting of a logger for this.
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
		FormatLevel: func(v any) string { return "level=" + text(v) },
		FormatTimestamp: func(v any) string {
			return "time=" + text(v)
		},
	}
	return zerolog.New(writer).Level(parsed).With().Timestamp().Str("vm", string(vm)).Logger(), nil
}

// bufferLines is the number of lines that wait while the log is not read.
const bufferLines = 4096

// Async returns a writer that never blocks: lines beyond bufferLines that are not
// read replace older ones. dropped is told how many.
func Async(w io.Writer, dropped func(lines int)) io.WriteCloser {
	return diode.NewWriter(w, bufferLines, 0, dropped)
}

func text(v any) string {
	s, _ := v.(string)
	return s
}
