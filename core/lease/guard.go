package lease

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
)

// Checks selects the checks of an upstream: the setting upstream_checks.
type Checks string

// The values of upstream_checks.
const (
	ChecksFence    Checks = "fence"    // fence, granted ranges, expiry, deadline
	ChecksDeadline Checks = "deadline" // the deadline only
	ChecksNone     Checks = "none"
)

// The reasons why a Guard refuses a grant or a request.
var (
	ErrStaleFence         = errors.New("the fence is lower than one already accepted: another VM holds the shard")
	ErrUngrantedFence     = errors.New("no grant with this fence was accepted: send a grant first")
	ErrGrantExpired       = errors.New("the grant ends before now on this upstream's clock: take a new reading")
	ErrStaleGrant         = errors.New("a later grant with this fence was accepted: ignore this response")
	ErrUnknownGrant       = errors.New("the ranges are not those of the grant that this renewal names: send a grant that lists them")
	ErrNotGranted         = errors.New("the range is not granted to this upstream: send the request to its owner")
	ErrLeaseExpired       = errors.New("the lease has expired: renew it")
	ErrDeadlinePassed     = errors.New("the deadline has passed on this upstream's clock: the request was not run")
	ErrDeadlineAfterLease = errors.New("the deadline is after the end of the lease: shorten it")
)

// NoRange stands for the range of a request to an unkeyed service, which no
// upstream owns exclusively.
const NoRange = -1

// Guard is the upstream's side of a lease. Its times are readings of the
// upstream's own clock. A restarted upstream starts with a new Guard.
type Guard struct {
	checks      Checks
	fence       api.Fence
	until       time.Duration
	rangesUntil time.Duration // the end, as sent, of the grant that listed the ranges
	ranges      map[int]bool
}

// NewGuard returns a guard that has accepted no grant.
func NewGuard(checks Checks) *Guard { return &Guard{checks: checks, ranges: map[int]bool{}} }

// Fence returns the highest fence accepted.
func (g *Guard) Fence() api.Fence { return g.fence }

// Until returns the end of the lease.
func (g *Guard) Until() time.Duration { return g.until }

// Owns reports whether this upstream holds a range at now.
func (g *Guard) Owns(now time.Duration, rangeIndex int) bool {
	return now < g.until && g.ranges[rangeIndex]
}

// Ranges returns the ranges of the last grant, in order.
func (g *Guard) Ranges() []int {
	all := make([]int, 0, len(g.ranges))
	for rangeIndex := range g.ranges {
		all = append(all, rangeIndex)
	}
	slices.Sort(all)
	return all
}

// Grant accepts a grant, which replaces the previous one. With ChecksFence,
// grants of one fence are ordered by their end, so that a delayed or repeated
// grant does not restore a range that a later grant removed.
func (g *Guard) Grant(now time.Duration, fence api.Fence, until time.Duration, ranges []int) error {
	if err := g.checkOrder(now, fence, until); err != nil {
		return err
	}
	if g.checks == ChecksFence && fence == g.fence && until == g.until && !g.equalRanges(ranges) {
		return ErrStaleGrant
	}
	g.fence, g.until, g.rangesUntil = fence, until, until
	g.ranges = make(map[int]bool, len(ranges))
	for _, rangeIndex := range ranges {
		g.ranges[rangeIndex] = true
	}
	return nil
}

// Renew accepts a grant without ranges that refers, by its end, to the grant that
// listed them. It extends the lease only if the ranges are still those of that
// grant, whatever the checks: a holder cannot know which ranges another one listed.
func (g *Guard) Renew(now time.Duration, fence api.Fence, until, rangesUntil time.Duration) error {
	if err := g.checkOrder(now, fence, until); err != nil {
		return err
	}
	if fence != g.fence || rangesUntil != g.rangesUntil {
		return ErrUnknownGrant
	}
	g.until = until
	return nil
}

// checkOrder refuses expired grants and grants superseded by a later one.
func (g *Guard) checkOrder(now time.Duration, fence api.Fence, until time.Duration) error {
	switch {
	case g.checks != ChecksFence:
		return nil
	case fence < g.fence:
		return ErrStaleFence
	case until <= now:
		return ErrGrantExpired
	case fence == g.fence && until < g.until:
		return ErrStaleGrant
	}
	return nil
}

func (g *Guard) equalRanges(ranges []int) bool {
	sorted := slices.Sorted(slices.Values(ranges))
	return slices.Equal(slices.Compact(sorted), g.Ranges())
}

// Check decides whether a request may start. A run that starts ends by its deadline.
func (g *Guard) Check(now time.Duration, fence api.Fence, rangeIndex int, deadline time.Duration) error {
	if g.checks == ChecksNone {
		return nil
	}
	if deadline <= now {
		return ErrDeadlinePassed
	}
	if g.checks == ChecksDeadline {
		return nil
	}
	switch {
	case fence < g.fence:
		return ErrStaleFence
	case fence > g.fence:
		return ErrUngrantedFence
	case now >= g.until:
		return ErrLeaseExpired
	case rangeIndex == NoRange:
		return nil
	case !g.ranges[rangeIndex]:
		return ErrNotGranted
	case deadline > g.until:
		return ErrDeadlineAfterLease
	}
	return nil
}
