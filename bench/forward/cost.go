package forward

import (
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Cost is what one request costs on average.
type Cost struct {
	CPU         time.Duration // of all threads of this process
	Allocations float64
	Bytes       float64 // allocated
}

// RequestsPerCore returns the requests a second that one core carries.
func (c Cost) RequestsPerCore() float64 { return 1 / c.CPU.Seconds() }

// Minus returns the cost without the share of other.
func (c Cost) Minus(other Cost) Cost {
	return Cost{CPU: c.CPU - other.CPU, Allocations: c.Allocations - other.Allocations, Bytes: c.Bytes - other.Bytes}
}

// Measure calls do with the numbers from 0 to n-1 on some workers at once.
// Processor time is counted instead of elapsed time, because other programs
// share the machine.
func Measure(do func(int) error, n, workers int) (Cost, error) {
	var next atomic.Int64
	var failure atomic.Pointer[error]
	var group sync.WaitGroup
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, err := processTime()
	if err != nil {
		return Cost{}, err
	}
	for range workers {
		group.Go(func() {
			for failure.Load() == nil {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				if err := do(i); err != nil {
					failure.Store(&err)
				}
			}
		})
	}
	group.Wait()
	if failed := failure.Load(); failed != nil {
		return Cost{}, *failed
	}
	end, err := processTime()
	if err != nil {
		return Cost{}, err
	}
	runtime.ReadMemStats(&after)
	return Cost{
		CPU:         (end - start) / time.Duration(n),
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(n),
		Bytes:       float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
	}, nil
}

// processTime returns the processor time that the process has used.
func processTime() (time.Duration, error) {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return 0, errors.Wrap(err, "read the use of resources")
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano()), nil
}
