package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionhill.dev/api"
)

// TestGuardRenewsOnlyTheGrantNamed guards against a renewal that extends the lease of
// unintended ranges: of another list, of another fence, or expired, whatever the checks.
func TestGuardRenewsOnlyTheGrantNamed(t *testing.T) {
	for _, checks := range []Checks{ChecksFence, ChecksDeadline, ChecksNone} {
		g := NewGuard(checks)
		assert.ErrorIs(t, g.Renew(0, 5, 600*ms, 500*ms), ErrUnknownGrant, "no grant yet")
		require.NoError(t, g.Grant(0, 5, 500*ms, []int{1, 2}))
		require.NoError(t, g.Renew(0, 5, 600*ms, 500*ms))
		require.NoError(t, g.Renew(0, 5, 700*ms, 500*ms), "after renewals the grant is still named by its own end")
		assert.ErrorIs(t, g.Renew(0, 5, 800*ms, 700*ms), ErrUnknownGrant, "a renewal lists no ranges")
		assert.ErrorIs(t, g.Renew(0, 6, 800*ms, 500*ms), ErrUnknownGrant, "another fence")
		assert.Equal(t, []int{1, 2}, g.Ranges())
		assert.Equal(t, 700*ms, g.Until())
		require.NoError(t, g.Grant(0, 5, 800*ms, []int{1}))
		assert.ErrorIs(t, g.Renew(0, 5, 900*ms, 500*ms), ErrUnknownGrant, "another list")
		assert.Equal(t, []int{1}, g.Ranges())
	}
	g := NewGuard(ChecksFence)
	require.NoError(t, g.Grant(0, 5, 500*ms, []int{1}))
	require.NoError(t, g.Renew(0, 5, 600*ms, 500*ms))
	assert.ErrorIs(t, g.Renew(0, 4, 700*ms, 500*ms), ErrStaleFence)
	assert.ErrorIs(t, g.Renew(0, 5, 550*ms, 500*ms), ErrStaleGrant)
	assert.ErrorIs(t, g.Renew(800*ms, 5, 700*ms, 500*ms), ErrGrantExpired)
}

// renewalSimulation simulates a holder that changes the ranges of one upstream,
// with grants and responses that are delayed, lost and out of order, takeovers
// and restarts.
type renewalSimulation struct {
	random      *rand.Rand
	now         time.Duration
	fence       api.Fence
	table       *Table
	guard       *Guard
	checks      Checks
	incarnation int
	ranges      []int
	inFlight    []delayedDelivery
	broken      string
	accepted    int // renewals accepted
	refused     int // renewals refused because the grant is unknown
	violation   string
}

func (r *renewalSimulation) deliverLater(fn func()) {
	delay := time.Duration(r.random.IntN(5000)) * time.Microsecond
	if r.random.IntN(5) == 0 {
		delay = time.Duration(r.random.IntN(800)) * ms
	}
	if r.random.IntN(10) > 0 {
		r.inFlight = append(r.inFlight, delayedDelivery{r.now + delay, fn})
	}
}

// renew returns the guard's response to a renewal, or that of a broken guard.
func (r *renewalSimulation) renew(fence api.Fence, until, rangesUntil time.Duration) error {
	switch {
	case r.broken == "any list" && fence == r.guard.fence:
		rangesUntil = r.guard.rangesUntil
	case r.broken == "any fence":
		rangesUntil, r.guard.fence = r.guard.rangesUntil, fence
	}
	return r.guard.Renew(r.now, fence, until, rangesUntil)
}

func (r *renewalSimulation) exchange() {
	sent, fence, table, incarnation := r.now, r.fence, r.table, r.incarnation
	ranges := slices.Clone(r.ranges)
	until, offered := table.Offer(sent, sent+time.Second, "u")
	rangesUntil, renewal := table.RenewableGrant("u", ranges)
	if r.broken == "any ranges" && table.upstreams["u"] != nil {
		rangesUntil, renewal = table.upstreams["u"].rangesUntil, table.upstreams["u"].rangesUntil > 0
	}
	if known := table.upstreams["u"]; known != nil && known.observed {
		incarnation = int(known.reading.Incarnation[0] - 'a')
	}
	r.deliverLater(func() {
		accepted, unknown := false, false
		if offered && incarnation == r.incarnation {
			var err error
			if renewal {
				err = r.renew(fence, until, rangesUntil)
			} else {
				err = r.guard.Grant(r.now, fence, until, ranges)
			}
			accepted, unknown = err == nil, err == ErrUnknownGrant
			if accepted && (r.guard.fence != fence || !slices.Equal(r.guard.Ranges(), ranges)) {
				r.violation = fmt.Sprintf("fence %d keeps %v of fence %d, the holder intended %v", fence, r.guard.Ranges(), r.guard.fence, ranges)
			}
		}
		if accepted && renewal {
			r.accepted++
		}
		reading := ClockReading{Incarnation: api.Incarnation(rune('a' + r.incarnation)), Clock: r.now, SentAt: sent}
		r.deliverLater(func() {
			reading.ReceivedAt = r.now
			restarted := table.Observe("u", reading)
			switch {
			case restarted:
			case accepted:
				table.Acknowledge("u", until)
				if !renewal {
					table.RecordRanges("u", until, ranges)
				}
			case unknown:
				r.refused++
				table.ClearRanges("u")
			}
		})
	})
}

func (r *renewalSimulation) run(steps int) {
	for range steps {
		r.now += time.Duration(r.random.IntN(50)) * ms
		slices.SortStableFunc(r.inFlight, func(a, b delayedDelivery) int { return int(a.at - b.at) })
		for len(r.inFlight) > 0 && r.inFlight[0].at <= r.now {
			f := r.inFlight[0]
			r.inFlight = r.inFlight[1:]
			f.deliver()
		}
		switch r.random.IntN(25) {
		case 0:
			r.fence, r.table = r.fence+1, NewTable(DefaultConfig())
		case 1:
			r.incarnation++
			r.guard = NewGuard(r.checks)
		case 2, 3, 4:
			r.ranges = [][]int{nil, {1}, {1, 2}, {2}}[r.random.IntN(4)]
		}
		r.exchange()
		if r.violation != "" {
			return
		}
	}
}

func newRenewalSimulation(seed uint64, broken string) *renewalSimulation {
	random := rand.New(rand.NewPCG(seed, 5))
	checks := []Checks{ChecksFence, ChecksDeadline, ChecksNone}[random.IntN(3)]
	return &renewalSimulation{
		random: random, now: time.Second, fence: 1, broken: broken, table: NewTable(DefaultConfig()), guard: NewGuard(checks), checks: checks,
	}
}

// An accepted renewal must leave the upstream with the ranges that the holder
// had when it sent the renewal.
func TestRenewalsKeepTheIntendedRanges(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := newRenewalSimulation(rapid.Uint64().Draw(t, "seed"), "")
		r.run(60)
		if r.violation != "" {
			t.Fatalf("at %v: %s", r.now, r.violation)
		}
		accepted, refused = accepted+r.accepted, refused+r.refused
	})
	assert.Positive(t, accepted, "no renewal was accepted")
	assert.Positive(t, refused, "no renewal was refused")
	t.Logf("%d renewals accepted, %d refused", accepted, refused)
}

// TestBrokenRenewalsAreDetected guards against a check that cannot fail: it must detect guards
// that do not compare the list or the fence, and a holder that renews without comparing the
// ranges.
func TestBrokenRenewalsAreDetected(t *testing.T) {
	for _, broken := range []string{"any list", "any fence", "any ranges"} {
		found := false
		for seed := uint64(1); seed <= 500 && !found; seed++ {
			r := newRenewalSimulation(seed, broken)
			r.run(60)
			if found = r.violation != ""; found {
				t.Logf("%s: detected with seed %d", broken, seed)
			}
		}
		assert.True(t, found, "%s is not detected", broken)
	}
}
