package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

const ms = time.Millisecond

func reading(inc api.Incarnation, clock, sent, received time.Duration) ClockReading {
	return ClockReading{Incarnation: inc, Clock: clock * ms, SentAt: sent * ms, ReceivedAt: received * ms}
}

func TestLeaseTimes(t *testing.T) {
	tab := NewTable(DefaultConfig())
	_, ok := tab.Offer(0, time.Second, "u")
	assert.False(t, ok, "no reading yet")
	tab.Observe("u", reading("i", 5000, 100, 102))
	until, ok := tab.Offer(103*ms, 2*time.Second, "u")
	require.True(t, ok)
	assert.Equal(t, 5600*ms, until)
	assert.False(t, tab.MaySend(104*ms, "u"), "not acknowledged")
	assert.False(t, tab.Expired(104*ms, "u"), "but it may have arrived")
	tab.Acknowledge("u", until)
	assert.True(t, tab.MaySend(694*ms, "u"))
	assert.False(t, tab.MaySend(695*ms, "u"), "counted from the sending of the reading's request, with drift")
	assert.False(t, tab.Expired(708*ms, "u"), "counted from the arrival of the reading, with drift")
	assert.True(t, tab.Expired(709*ms, "u"))
}

func TestLeaseEndsWithinAuthority(t *testing.T) {
	tab := NewTable(DefaultConfig())
	tab.Observe("u", reading("i", 0, 0, 100))
	until, ok := tab.Offer(100*ms, 302*ms, "u")
	require.True(t, ok)
	assert.Equal(t, 200*ms, until)
	_, ok = tab.Offer(100*ms, 99*ms, "u")
	assert.False(t, ok)
}

// The upstream cannot order an offer that ends no later than the previous one.
func TestOffersEndInOrder(t *testing.T) {
	tab := NewTable(DefaultConfig())
	tab.Observe("u", reading("i", 0, 0, 1))
	_, ok := tab.Offer(1*ms, time.Second, "u")
	require.True(t, ok)
	_, ok = tab.Offer(2*ms, time.Second, "u")
	assert.False(t, ok)
}

func TestDeadlineStaysInLease(t *testing.T) {
	tab := NewTable(DefaultConfig())
	tab.Observe("u", reading("i", 1000, 0, 2))
	until, _ := tab.Offer(2*ms, time.Second, "u")
	tab.Acknowledge("u", until)
	d, ok := tab.Deadline(3*ms, 10*time.Second, "u")
	require.True(t, ok)
	assert.Equal(t, until, d)
	d, ok = tab.Deadline(3*ms, 104*ms, "u")
	require.True(t, ok)
	assert.LessOrEqual(t, d, 1102*ms)
	assert.Greater(t, d, 1098*ms)
	_, ok = tab.Deadline(3*ms, 3*ms, "u")
	assert.False(t, ok)
}

// TestDeadlineMayHavePassed guards against a refusal for the deadline that counts as a sign of
// overload, and against a real one that does not.
func TestDeadlineMayHavePassed(t *testing.T) {
	tab := NewTable(DefaultConfig())
	assert.True(t, tab.MayHavePassed(0, time.Second, "u"), "an unknown upstream")
	tab.Observe("u", reading("i", 1000, 0, 2))
	until, _ := tab.Offer(2*ms, time.Second, "u")
	tab.Acknowledge("u", until)
	for _, left := range []time.Duration{ms, 2 * ms, 20 * ms, 200 * ms} {
		const now = 100 * ms
		d, ok := tab.Deadline(now, now+left, "u")
		if !ok {
			continue
		}
		assert.Equal(t, left < 10*ms, tab.MayHavePassed(now, d, "u"), left)
		assert.True(t, tab.MayHavePassed(now+left, d, "u"), left)
	}
}

func TestNewIncarnation(t *testing.T) {
	tab := NewTable(DefaultConfig())
	tab.Observe("u", reading("i", 1000, 0, 2))
	until, _ := tab.Offer(2*ms, time.Second, "u")
	tab.Acknowledge("u", until)
	assert.False(t, tab.Observe("u", reading("j", 5, 1, 4)), "may be older than the current incarnation")
	assert.True(t, tab.Observe("u", reading("j", 5, 10, 12)))
	assert.False(t, tab.MaySend(12*ms, "u"))
	assert.False(t, tab.Expired(12*ms, "u"), "the first grant can still reach the new process")
	assert.True(t, tab.Expired(609*ms, "u"))
	assert.False(t, tab.Observe("u", reading("i", 1000, 13, 14)), "a former incarnation does not return")
}

func TestInheritedLeases(t *testing.T) {
	old := NewTable(DefaultConfig())
	old.Observe("u", reading("i", 0, 0, 2))
	old.Offer(2*ms, time.Second, "u")
	outstanding := old.Outstanding(8 * ms)
	assert.Equal(t, 600*ms+1, outstanding["u"])
	successor := NewTable(DefaultConfig())
	assert.True(t, successor.Expired(0, "u"))
	successor.Inherit(0, outstanding)
	assert.False(t, successor.Expired(605*ms, "u"))
	assert.True(t, successor.Inherited(605*ms, "u"))
	assert.True(t, successor.Expired(607*ms, "u"))
}

func TestGuardChecks(t *testing.T) {
	g := NewGuard(ChecksFence)
	assert.ErrorIs(t, g.Grant(100*ms, 5, 100*ms, nil), ErrGrantExpired)
	require.NoError(t, g.Grant(100*ms, 5, 700*ms, []int{1, 2}))
	assert.ErrorIs(t, g.Grant(100*ms, 4, 900*ms, []int{1}), ErrStaleFence)
	assert.NoError(t, g.Check(100*ms, 5, 1, 700*ms))
	assert.ErrorIs(t, g.Check(100*ms, 4, 1, 700*ms), ErrStaleFence)
	assert.ErrorIs(t, g.Check(100*ms, 6, 1, 700*ms), ErrUngrantedFence)
	assert.ErrorIs(t, g.Check(100*ms, 5, 3, 700*ms), ErrNotGranted)
	assert.ErrorIs(t, g.Check(100*ms, 5, 1, 100*ms), ErrDeadlinePassed)
	assert.ErrorIs(t, g.Check(100*ms, 5, 1, 701*ms), ErrDeadlineAfterLease)
	assert.NoError(t, g.Check(100*ms, 5, NoRange, 701*ms), "a request without an owner may outlast the lease")
	assert.ErrorIs(t, g.Check(100*ms, 4, NoRange, 701*ms), ErrStaleFence)
	assert.ErrorIs(t, g.Check(700*ms, 5, 1, 800*ms), ErrLeaseExpired)
	assert.True(t, g.Owns(699*ms, 2))
	assert.False(t, g.Owns(700*ms, 2))
}

// A delayed grant must not restore a range that a later grant removed.
func TestGuardOrdersGrants(t *testing.T) {
	g := NewGuard(ChecksFence)
	require.NoError(t, g.Grant(0, 5, 600*ms, []int{2, 1}))
	require.NoError(t, g.Grant(0, 5, 600*ms, []int{1, 2}), "a repeated grant is accepted again")
	assert.ErrorIs(t, g.Grant(0, 5, 600*ms, []int{1}), ErrStaleGrant)
	require.NoError(t, g.Grant(0, 5, 601*ms, []int{1}))
	assert.ErrorIs(t, g.Grant(0, 5, 600*ms, []int{1, 2}), ErrStaleGrant)
	assert.Equal(t, []int{1}, g.Ranges())
	require.NoError(t, g.Grant(0, 6, 500*ms, []int{2}), "a higher fence replaces everything")
}

func TestGuardModes(t *testing.T) {
	g := NewGuard(ChecksDeadline)
	require.NoError(t, g.Grant(0, 5, 600*ms, nil))
	require.NoError(t, g.Grant(0, 4, 500*ms, nil))
	assert.NoError(t, g.Check(900*ms, 1, 9, 901*ms))
	assert.ErrorIs(t, g.Check(900*ms, 1, 9, 900*ms), ErrDeadlinePassed)
	assert.NoError(t, NewGuard(ChecksNone).Check(900*ms, 1, 9, 1))
}
