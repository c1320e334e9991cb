package forward

import (
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Cost is the average cost of a request.
type Cost struct {
	CPU         time.Duration // of all threads of this process
	Allocations float64
	Bytes       float64 // allocated
}

// RequestsPerCore returns the requests per second that one core can handle.
func (c Cost) RequestsPerCore() float64 { return 1 / c.CPU.Seconds() }

// Minus returns c less other.
func (c Cost) Minus(other Cost) Cost {
	return Cost{CPU: c.CPU - other.CPU, Allocations: c.Allocations - other.Allocations, Bytes: c.Bytes - other.Bytes}
}

// Measure calls do with the numbers from 0 to n-1 on concurrent workers. It
// measures processor time instead of elapsed time, because other programs share
// the machine.
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
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read resource usage")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
