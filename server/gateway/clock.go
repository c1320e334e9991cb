package gateway

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// bootTime returns a clock that also counts the time for which the VM was
// suspended. Authority to grant ends by this clock: the steady clock of the Go
// runtime stands still during a suspension.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "the kernel has no CLOCK_BOOTTIME"))
	}
	return time.Duration(ts.Nano())
}

// sharedClock estimates the store's steady clock, which all VMs see.
type sharedClock struct {
	offset time.Duration // the store's clock minus bootTime
	travel time.Duration // half the round trip of the reading
	readAt time.Duration
	known  bool
}

// sharedClockAge is how long a reading is preferred to one with a longer way.
const sharedClockAge = 30 * time.Second

// observe takes a reading that the store gave between two local times.
func (c *sharedClock) observe(sent, received, store time.Duration) {
	travel := (received - sent) / 2
	if c.known && travel > c.travel && received-c.readAt < sharedClockAge {
		return
	}
	*c = sharedClock{offset: store - sent - travel, travel: travel, readAt: received, known: true}
}

func (c sharedClock) at(boot time.Duration) time.Duration { return boot + c.offset }
