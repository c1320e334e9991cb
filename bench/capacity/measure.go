package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// Sizes span two decades or more with at least four steps.
var (
	smallSizes = []int{10, 31, 100, 316, 1000}
	largeSizes = []int{100, 1000, 10_000, 100_000}
)

// repeats is the least number of runs of each timed measurement; the median
// counts, because other programs share the machine.
const repeats = 5

// Measurement measures one slope.
type Measurement struct {
	Name, Unit string
	// What says what is measured, for the page.
	What  string
	Sizes []int
	cost  func(n int) (float64, error)
}

// Run measures all sizes and fits the line.
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

// settle lets what earlier measurements left end, and collects the garbage.
func settle() (m runtime.MemStats) {
	for range 3 {
		runtime.GC()
		time.Sleep(20 * time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}

// memoryOf returns the median, over a few repeats, of the heap and stacks that
// build keeps in use until stop is called.
func memoryOf(build func() (kept any, stop func(), err error)) (float64, error) {
	used := make([]float64, 0, memoryRepeats)
	for range memoryRepeats {
		before := settle()
		kept, stop, err := build()
		if err != nil {
			return 0, err
		}
		after := settle()
		runtime.KeepAlive(kept)
		stop()
		used = append(used, float64(after.HeapAlloc+after.StackInuse)-float64(before.HeapAlloc+before.StackInuse))
	}
	slices.Sort(used)
	return used[len(used)/2], nil
}

// memoryRepeats is the number of repeats of each measurement of memory.
const memoryRepeats = 3

// heap returns the memory that build keeps reachable.
func heap(build func() any) float64 {
	used, _ := memoryOf(func() (any, func(), error) { return build(), func() {}, nil })
	return used
}

// leastTime is the time for which a short run is repeated, so that the
// resolution of the clock and one interruption do not decide the result.
const leastTime = 5 * time.Millisecond

// nanoseconds returns the median time of run, which is made anew for each repeat.
func nanoseconds(prepare func() (run func())) float64 {
	prepare()() // fills caches
	times := make([]float64, 0, repeats)
	total := time.Duration(0)
	for len(times) < repeats || total < leastTime {
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

// Names as long as those of the target deployment: 13,000 VMs and five-digit
// numbers of upstreams and shards.
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
