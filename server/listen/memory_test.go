package listen

import (
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"
)

// TestMachineMemory guards against a limit above that of a control group, also of one above the
// process's own, and against one that is made of what cannot be read.
func TestMachineMemory(t *testing.T) {
	const meminfo, v2, v1 = "proc/meminfo", "sys/fs/cgroup", "sys/fs/cgroup/memory"
	for name, c := range map[string]struct {
		files map[string]string
		want  int64
	}{
		"nothing can be read":     {want: 0},
		"machine":                 {map[string]string{meminfo: "MemTotal:  2048 kB\nMemFree: 1 kB\n", "proc/self/cgroup": "0::/\n"}, 2 << 20},
		"malformed":               {map[string]string{meminfo: "MemTotal: many kB\n", "proc/self/cgroup": "0\n:\n0::../..\n"}, 0},
		"group":                   {map[string]string{meminfo: "MemTotal: 2048 kB\n", "proc/self/cgroup": "0::/a/b\n", v2 + "/a/b/memory.max": "1000000\n", v2 + "/a/memory.max": "max\n"}, 1_000_000},
		"group above":             {map[string]string{meminfo: "MemTotal: 2048 kB\n", "proc/self/cgroup": "0::/a/b\n", v2 + "/a/b/memory.max": "max\n", v2 + "/a/memory.max": "900000\n"}, 900_000},
		"group above the machine": {map[string]string{meminfo: "MemTotal: 2048 kB\n", "proc/self/cgroup": "0::/a\n", v2 + "/a/memory.max": "9000000\n"}, 2 << 20},
		"container":               {map[string]string{meminfo: "MemTotal: 2048 kB\n", "proc/self/cgroup": "0::/outside\n", v2 + "/memory.max": "800000\n"}, 800_000},
		"version 1":               {map[string]string{meminfo: "MemTotal: 2048 kB\n", "proc/self/cgroup": "5:cpu,cpuacct:/a\n4:memory:/a\n", v1 + "/a/memory.limit_in_bytes": "700000\n", v1 + "/memory.limit_in_bytes": "9223372036854771712\n"}, 700_000},
	} {
		root := fstest.MapFS{}
		for file, text := range c.files {
			root[file] = &fstest.MapFile{Data: []byte(text)}
		}
		require.Equal(t, c.want, machineMemory(root), name)
	}
	require.Positive(t, MachineMemoryMB(), "this machine")
}
