package routing

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
)

// Upstream is a registered process of a service.
type Upstream struct {
	ID      api.UpstreamID
	Service api.ServiceName
	Address string
	Domain  api.FailureDomain
	// Incarnation identifies one run of the process. A process that starts again under
	// its former ID has another incarnation and owns no keys.
	Incarnation int64
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining upstreams are about to stop and get no new work.
	Draining bool
	// ColdRemainingMs is how much longer it is cold, counted from its report.
	ColdRemainingMs int64
}

const (
	// maxSlots is far above what one process runs at a time: an upstream with more would get
	// all keys of its service.
	maxSlots = 1 << 16
	// MaxColdTime is far above the time for which a process is cold after its start.
	MaxColdTime = 24 * time.Hour
)

// Check reports why a registration names no upstream that can be used, nil if it does.
func (u Upstream) Check() error {
	colon := strings.LastIndexByte(u.Address, ':')
	if colon <= 0 {
		return errors.Errorf("register IP:port as the address, not %q", u.Address)
	}
	port, err := strconv.ParseUint(u.Address[colon+1:], 10, 16)
	switch {
	case err != nil || port == 0:
		return errors.Errorf("the port of the address %q is not between 1 and 65535", u.Address)
	case u.Service == "":
		return errors.New("the registration names no service")
	case u.Slots <= 0 || u.Slots > maxSlots:
		return errors.Errorf("the number of slots, %d, is not between 1 and %d", u.Slots, maxSlots)
	case u.ColdRemainingMs < 0 || u.ColdRemainingMs > MaxColdTime.Milliseconds():
		return errors.Errorf("the remaining cold time, %d ms, is not between 0 and %v", u.ColdRemainingMs, MaxColdTime)
	}
	return nil
}

// coldTolerance bounds the difference from the expected remaining cold time within which a
// registration says nothing new.
const coldTolerance = 250 * time.Millisecond

// Continues reports whether a registration says no more than an earlier one does, some time
// later: a cold upstream registers again and again with the time that is left.
func (u Upstream) Continues(earlier Upstream, elapsed time.Duration) bool {
	expected := max(time.Duration(earlier.ColdRemainingMs)*time.Millisecond-elapsed, 0)
	difference := (time.Duration(u.ColdRemainingMs)*time.Millisecond - expected).Abs()
	earlier.ColdRemainingMs = u.ColdRemainingMs
	return u == earlier && difference <= coldTolerance
}
