package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/server/settings"
)

// TestMain runs the daemon in place of the tests if the environment asks for it.
func TestMain(m *testing.M) {
	if args := os.Getenv("DANDELIONHILLD_ARGS"); args != "" {
		os.Args = append([]string{"dandelionhilld"}, strings.Fields(args)...)
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestHangupBeforeTheSettingsAreRead guards against a process that SIGHUP ends because it comes
// before the process has asked for the signal. The settings come from a pipe, so that the process
// waits for them when the signal arrives.
func TestHangupBeforeTheSettingsAreRead(t *testing.T) {
	for _, kind := range []string{"gateway ", ""} {
		path := filepath.Join(t.TempDir(), "settings")
		require.NoError(t, syscall.Mkfifo(path, 0o600))
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "DANDELIONHILLD_ARGS="+kind+"-settings "+path)
		var out strings.Builder
		cmd.Stderr = &out
		require.NoError(t, cmd.Start())
		settings, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for the process to open it
		require.NoError(t, err)
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		_, err = settings.WriteString("{}")
		require.NoError(t, err)
		require.NoError(t, settings.Close())
		var exit *exec.ExitError
		require.ErrorAs(t, cmd.Wait(), &exit)
		require.Equal(t, 1, exit.ExitCode(), "%v: %s", exit, &out)
		require.Contains(t, out.String(), "the field is missing", "the process has read its settings")
	}
}

// TestMemoryOfMachine guards against a daemon whose memory has no limit because its settings state none,
// and against a setting that is ignored.
func TestMemoryOfMachine(t *testing.T) {
	for _, c := range []struct {
		set, machine, want int
		source             string
	}{{0, 512, 512, "machine"}, {100, 512, 100, "settings"}, {0, 0, 0, "unknown"}} {
		s := &settings.Settings{MemoryMB: c.set}
		require.Equal(t, c.source, setMemory(s, c.machine))
		require.Equal(t, c.want, s.MemoryMB)
	}
}
