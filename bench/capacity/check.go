package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"dandelionhill.dev/bench/cluster"
	"dandelionhill.dev/core/config"
)

// Check is a measurement of a whole deployment of today's size. It shows the
// difference between the sum of the measured parts and the whole.
type Check struct {
	Name, Unit string
	Value      float64
	// Quantity names the computed figure that Value is compared with.
	Quantity    string
	Description string
}

// checkWindow is the time over which the deployment at rest is measured.
const checkWindow = 5 * time.Second

// Checks starts a deployment of today's size, twelve processes, and measures it
// at rest.
func Checks() ([]Check, error) {
	path := filepath.Join(ExamplesDir, "elozokozosseg", "configuration.json")
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	doc, err := config.Parse(path, data)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{Document: doc, VMs: vmsToday, ServiceTime: time.Millisecond, Binary: DaemonPath, Seed: 1})
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	if err := c.WaitServing(ctx); err != nil {
		return nil, err
	}
	before, err := processTimes(c)
	if err != nil {
		return nil, err
	}
	time.Sleep(checkWindow)
	after, err := processTimes(c)
	if err != nil {
		return nil, err
	}
	memory, err := residentMemory(c)
	if err != nil {
		return nil, err
	}
	return []Check{
		{"check_core", "cores per VM", round4((after - before).Seconds() / checkWindow.Seconds() / vmsToday), "check_core_formula", "mean processor time of twelve dandelionhilld processes at rest"},
		{"check_memory", "B per VM", round4(memory / vmsToday), "check_memory_formula", "mean resident memory of the same processes, the program and its runtime included"},
	}, nil
}

// residentMemory returns the resident memory of all VMs in bytes.
func residentMemory(c *cluster.Cluster) (float64, error) {
	total := 0.0
	for _, vm := range c.VMs {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.PID()))
		if err != nil {
			return 0, err
		}
		_, rest, found := strings.Cut(string(data), "VmRSS:")
		fields := strings.Fields(rest)
		if !found || len(fields) < 2 || fields[1] != "kB" {
			return 0, fmt.Errorf("no VmRSS for VM %s", vm.Settings.VM)
		}
		kilobytes, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			return 0, err
		}
		total += kilobytes * 1024
	}
	return total, nil
}
