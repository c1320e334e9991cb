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

// Guards against a renewal that extends the lease of other ranges than those it
// means: of another list, of another fence, or lapsed, whatever the checks.
func TestGuardRenewsOnlyTheGrantNamed(t *testing.T) {
	for _, checks := range []Checks{ChecksFence, ChecksDeadline, ChecksNone} {
		g := NewGuard(checks)
		assert.ErrorIs(t, g.Renew(0, 5, 600*ms, 500*ms), ErrUnknownGrant, "no grant yet")
		require.NoError(t, g.Grant(0, 5, 500*ms, []int{1, 2}))
		require.NoError(t, g.Renew(0, 5, 600*ms, 500*ms))
		require.NoError(t, g.Renew(0, 5, 700*ms, 500*ms), "after renewals the list keeps its name")
		assert.ErrorIs(t, g.Renew(0, 5, 800*ms, 700*ms), ErrUnknownGrant, "a renewal lists nothing")
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

// renewals is a holder that changes the ranges of one upstream, with answers
// and grants that are delayed, lost and out of order, takeovers and restarts.
type renewals struct {
	rng         *rand.Rand
	now         time.Duration
	fence       api.Fence
	table       *Table
	guard       *Guard
	checks      Checks
	incarnation int
	ranges      []int
	flights     []grantInFlight
	broken      string
	kept        int // renewals accepted
	refused     int // renewals refused for lack of the grant
	wrong       string
}

func (r *renewals) later(fn func()) {
	delay := time.Duration(r.rng.IntN(5000)) * time.Microsecond
	if r.rng.IntN(5) == 0 {
		delay = time.Duration(r.rng.IntN(800)) * ms
	}
	if r.rng.IntN(10) > 0 {
		r.flights = append(r.flights, grantInFlight{r.now + delay, fn})
	}
}

// renew is the guard's answer to a renewal, or that of a broken guard.
func (r *renewals) renew(fence api.Fence, until, listed time.Duration) error {
	switch {
	case r.broken == "any list" && fence == r.guard.fence:
		listed = r.guard.listed
	case r.broken == "any fence":
		listed, r.guard.fence = r.guard.listed, fence
	}
	return r.guard.Renew(r.now, fence, until, listed)
}

func (r *renewals) exchange() {
	sent, fence, table, incarnation := r.now, r.fence, r.table, r.incarnation
	ranges := slices.Clone(r.ranges)
	until, offered := table.Offer(sent, sent+time.Second, "u")
	listed, short := table.RenewableGrant("u", ranges)
	if r.broken == "any ranges" && table.ups["u"] != nil {
		listed, short = table.ups["u"].listed, table.ups["u"].listed > 0
	}
	if known := table.ups["u"]; known != nil && known.known {
		incarnation = int(known.reading.Incarnation[0] - 'a')
	}
	r.later(func() {
		accepted, unknown := false, false
		if offered && incarnation == r.incarnation {
			var err error
			if short {
				err = r.renew(fence, until, listed)
			} else {
				err = r.guard.Grant(r.now, fence, until, ranges)
			}
			accepted, unknown = err == nil, err == ErrUnknownGrant
			if accepted && (r.guard.fence != fence || !slices.Equal(r.guard.Ranges(), ranges)) {
				r.wrong = fmt.Sprintf("fence %d keeps %v of fence %d, the holder meant %v", fence, r.guard.Ranges(), r.guard.fence, ranges)
			}
		}
		if accepted && short {
			r.kept++
		}
		reading := ClockReading{Incarnation: api.Incarnation(rune('a' + r.incarnation)), Clock: r.now, SentAt: sent}
		r.later(func() {
			reading.ReceivedAt = r.now
			restarted := table.Observe("u", reading)
			switch {
			case restarted:
			case accepted:
				table.Acknowledge("u", until)
				if !short {
					table.RecordRanges("u", until, ranges)
				}
			case unknown:
				r.refused++
				table.ClearRanges("u")
			}
		})
	})
}

func (r *renewals) run(steps int) {
	for range steps {
		r.now += time.Duration(r.rng.IntN(50)) * ms
		slices.SortStableFunc(r.flights, func(a, b grantInFlight) int { return int(a.at - b.at) })
		for len(r.flights) > 0 && r.flights[0].at <= r.now {
			f := r.flights[0]
			r.flights = r.flights[1:]
			f.deliver()
		}
		switch r.rng.IntN(25) {
		case 0:
			r.fence, r.table = r.fence+1, NewTable(DefaultConfig())
		case 1:
			r.incarnation++
			r.guard = NewGuard(r.checks)
		case 2, 3, 4:
			r.ranges = [][]int{nil, {1}, {1, 2}, {2}}[r.rng.IntN(4)]
		}
		r.exchange()
		if r.wrong != "" {
			return
		}
	}
}

func newRenewals(seed uint64, broken string) *renewals {
	rng := rand.New(rand.NewPCG(seed, 5))
	checks := []Checks{ChecksFence, ChecksDeadline, ChecksNone}[rng.IntN(3)]
	return &renewals{
		rng: rng, now: time.Second, fence: 1, broken: broken, table: NewTable(DefaultConfig()), guard: NewGuard(checks), checks: checks,
	}
}

// An accepted renewal must leave the upstream with the ranges that the holder
// meant when it sent it.
func TestRenewalsKeepTheRangesMeant(t *testing.T) {
	kept, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := newRenewals(rapid.Uint64().Draw(t, "seed"), "")
		r.run(60)
		if r.wrong != "" {
			t.Fatalf("at %v: %s", r.now, r.wrong)
		}
		kept, refused = kept+r.kept, refused+r.refused
	})
	assert.Positive(t, kept, "no renewal was accepted")
	assert.Positive(t, refused, "no renewal was refused")
	t.Logf("%d renewals accepted, %d refused", kept, refused)
}

// The check must notice guards that compare neither list nor fence, and a
// holder that renews without comparing the ranges.
func TestBrokenRenewalsAreCaught(t *testing.T) {
	for _, broken := range []string{"any list", "any fence", "any ranges"} {
		found := false
		for seed := uint64(1); seed <= 500 && !found; seed++ {
			r := newRenewals(seed, broken)
			r.run(60)
			if found = r.wrong != ""; found {
				t.Logf("%s: caught with seed %d", broken, seed)
			}
		}
		assert.True(t, found, "%s is not noticed", broken)
	}
}
