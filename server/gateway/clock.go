package gateway

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// testClock, unless it is nil, replaces the clock of bootTime for the tests of this package.
var testClock atomic.Pointer[func() time.Duration]

// bootTime returns the time of a clock that also runs while the VM is suspended.
// Leases and promises are measured by it: Go's monotonic clock stops during a suspension.
func bootTime() time.Duration {
	if clock := testClock.Load(); clock != nil {
		return (*clock)()
	}
	return kernelTime()
}

func kernelTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "the kernel has no CLOCK_BOOTTIME"))
	}
	return time.Duration(ts.Nano())
}

// sharedClock estimates the store's monotonic clock, which all VMs share.
type sharedClock struct {
	offset time.Duration // the store's clock minus bootTime
	delay  time.Duration // half the round trip of the reading
	readAt time.Duration
	known  bool
}

// maxReadingAge is how long a reading is preferred to newer ones with a longer delay.
const maxReadingAge = 30 * time.Second

// observe takes a reading of the store's clock, requested and received at local times.
func (c *sharedClock) observe(sent, received, store time.Duration) {
	delay := (received - sent) / 2
	if c.known && delay > c.delay && received-c.readAt < maxReadingAge {
		return
	}
	*c = sharedClock{offset: store - sent - delay, delay: delay, readAt: received, known: true}
}

// latestMs returns an upper bound of the store's clock at a time on bootTime, in milliseconds. The
// store may have read its clock at any time between the request and the response.
func (c sharedClock) latestMs(boot time.Duration) int64 {
	return (c.at(boot) + c.delay + time.Millisecond - 1).Milliseconds()
}

// latestLocal returns an upper bound of the time on bootTime that latestMs states for a time.
func (c sharedClock) latestLocal(boot time.Duration) time.Duration {
	return boot + 2*c.delay + time.Millisecond
}

func (c sharedClock) at(boot time.Duration) time.Duration { return boot + c.offset }
