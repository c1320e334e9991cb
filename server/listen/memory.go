package listen

import (
	"io/fs"
	"os"
	"path"
	"strconv"
	"strings"
)

// MachineMemoryMB returns the memory that this process may use, in megabytes: that of the machine, or
// the lowest limit of its control group and of those above it. It is 0 if neither can be read.
func MachineMemoryMB() int { return int(machineMemory(os.DirFS("/")) >> 20) }

func machineMemory(root fs.FS) int64 {
	limit := int64(0)
	lower := func(bytes int64) {
		if bytes > 0 && (limit == 0 || bytes < limit) {
			limit = bytes
		}
	}
	for _, line := range lines(root, "proc/meminfo") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "MemTotal:" && fields[2] == "kB" {
			lower(number(fields[1]) << 10)
		}
	}
	for _, line := range lines(root, "proc/self/cgroup") {
		parts := strings.SplitN(line, ":", 3)
		if len(parts) != 3 {
			continue
		}
		dir, file := "sys/fs/cgroup", "memory.max"
		if parts[1] != "" { // a controller of version 1
			if !strings.Contains(","+parts[1]+",", ",memory,") {
				continue
			}
			dir, file = "sys/fs/cgroup/memory", "memory.limit_in_bytes"
		}
		// In a container the path may be one outside of it: the limits above still hold.
		for group := path.Join("/", parts[2]); ; group = path.Dir(group) {
			for _, text := range lines(root, path.Join(dir, group, file)) {
				lower(number(text)) // "max" is none
			}
			if group == "/" {
				break
			}
		}
	}
	return limit
}

// lines returns the lines of a file, none if it cannot be read.
func lines(root fs.FS, name string) []string {
	data, err := fs.ReadFile(root, name)
	if err != nil {
		return nil
	}
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}

// number returns a number above 0, else 0.
func number(text string) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0
	}
	return max(n, 0)
}
