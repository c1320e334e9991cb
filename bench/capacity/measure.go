package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// Sizes span at least two decades in at least four steps.
var (
	smallSizes = []int{10, 31, 100, 316, 1000}
	largeSizes = []int{100, 1000, 10_000, 100_000}
)

// minRepeats is the minimum number of runs of each timed measurement. The median
// is reported, because other programs share the machine.
const minRepeats = 5

// Measurement measures one slope.
type Measurement struct {
	Name, Unit string
	// Description of what is measured, for the page.
	Description string
	Sizes       []int
	cost        func(n int) (float64, error)
}

// Run measures all sizes and fits a line.
func (m Measurement) Run() (Slope, error) {
	costs := make([]float64, 0, len(m.Sizes))
	for _, n := range m.Sizes {
		cost, err := m.cost(n)
		if err != nil {
			return Slope{}, fmt.Errorf("measure %s at size %d: %w", m.Name, n, err)
		}
		costs = append(costs, cost)
	}
	return fit(m.Name, m.Unit, m.Sizes, costs), nil
}

// Measurements lists all measurements in the order of the page.
func Measurements() []Measurement {
	return slices.Concat(memoryMeasurements(), timeMeasurements(), wireMeasurements(), connectionMeasurements(), loopMeasurements())
}

// stableMemStats returns the memory statistics after goroutines of earlier
// measurements had time to end and garbage was collected.
func stableMemStats() (m runtime.MemStats) {
	for range 3 {
		runtime.GC()
		time.Sleep(20 * time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}

// memoryOf returns the median, over memoryRepeats repeats, of the heap and stacks
// that build keeps in use until stop is called.
func memoryOf(build func() (kept any, stop func(), err error)) (float64, error) {
	used := make([]float64, 0, memoryRepeats)
	for range memoryRepeats {
		before := stableMemStats()
		kept, stop, err := build()
		if err != nil {
			return 0, err
		}
		after := stableMemStats()
		runtime.KeepAlive(kept)
		stop()
		used = append(used, float64(after.HeapAlloc+after.StackInuse)-float64(before.HeapAlloc+before.StackInuse))
	}
	slices.Sort(used)
	return used[len(used)/2], nil
}

// memoryRepeats is the number of repeats of each measurement of memory.
const memoryRepeats = 3

// heapBytes returns the memory used by what build returns.
func heapBytes(build func() any) float64 {
	used, _ := memoryOf(func() (any, func(), error) { return build(), func() {}, nil })
	return used
}

// minMeasureTime is the minimum total time of the repeats of a run, so that clock
// resolution and a single interruption do not determine the result.
const minMeasureTime = 5 * time.Millisecond

// nanoseconds returns the median time of run, which is prepared for each repeat.
func nanoseconds(prepare func() (run func())) float64 {
	prepare()() // warms caches
	times := make([]float64, 0, minRepeats)
	total := time.Duration(0)
	for len(times) < minRepeats || total < minMeasureTime {
		run := prepare()
		start := time.Now()
		run()
		took := time.Since(start)
		total += took
		times = append(times, float64(took.Nanoseconds()))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// Generated names are as long as those of the target deployment: 13,000 VMs and
// five-digit numbers of upstreams and shards.
func vmID(i int) api.VMID             { return api.VMID(fmt.Sprintf("vm-%05d", i)) }
func upstreamID(i int) api.UpstreamID { return api.UpstreamID(fmt.Sprintf("foglalas-%05d", i)) }
func shardID(i int) api.ShardID       { return api.ShardID{Service: "foglalas", Index: i} }

func vmIDs(n int) []api.VMID {
	ids := make([]api.VMID, n)
	for i := range ids {
		ids[i] = vmID(i)
	}
	return ids
}
