package logs

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against times in whole seconds, which do not tell the order of events
// on several VMs, and against lines that are not key=value pairs.
func TestLine(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info", "a1")
	require.NoError(t, err)
	log.Info().Str("event", "started").Msg("")
	require.Regexp(t, `^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}(Z|[+-]\d\d:\d\d) level=info event=started vm=a1\n$`, out.String())
	_, err = New(&out, "loud", "a1")
	require.Error(t, err)
}
