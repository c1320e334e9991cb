package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"dandelionhill.dev/api"
)

// TestMain fixes the seed of rapid unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// delayedDelivery is a grant or a reading that has not arrived yet.
type delayedDelivery struct {
	at      time.Duration // true time of arrival
	deliver func()
}

// pair is a table and a guard with different clock rates, and the messages between them.
type pair struct {
	intN             func(n int) int
	now              time.Duration // true time
	tableRate        float64
	guardRate        float64
	table            *Table
	guard            *Guard
	incarnation      int
	inFlight         []delayedDelivery
	authority        time.Duration // on the table's clock
	countFromArrival bool          // broken: the holder counts its lease from the arrival of the reading
	sends            int
	violation        string
}

func newPair(intN func(n int) int, drift float64, countFromArrival bool) *pair {
	cfg := DefaultConfig()
	cfg.Drift = drift
	p := &pair{
		intN: intN, table: NewTable(cfg), guard: NewGuard(ChecksFence), countFromArrival: countFromArrival,
		tableRate: 1, guardRate: 1, authority: 2 * time.Second,
	}
	if intN(2) == 0 {
		p.tableRate = 1.0098
	} else {
		p.guardRate = 1.0098
	}
	return p
}

func (p *pair) tableClock() time.Duration { return time.Duration(float64(p.now) * p.tableRate) }
func (p *pair) guardClock() time.Duration {
	return time.Minute + time.Duration(float64(p.now)*p.guardRate)
}

func (p *pair) deliverLater(fn func()) {
	delay := time.Duration(p.intN(3000)) * time.Microsecond
	if p.intN(6) == 0 {
		delay = time.Duration(p.intN(900)) * ms
	}
	p.inFlight = append(p.inFlight, delayedDelivery{p.now + delay, fn})
}

// exchange sends a grant, or only asks for a reading, and handles the response.
func (p *pair) exchange() {
	sent := p.tableClock()
	until, ok := p.table.Offer(sent, p.authority, "u")
	p.deliverLater(func() {
		accepted := ok && p.guard.Grant(p.guardClock(), 1, until, []int{0}) == nil
		r := ClockReading{Incarnation: api.Incarnation(fmt.Sprint(p.incarnation)), Clock: p.guardClock().Truncate(ms), SentAt: sent}
		p.deliverLater(func() {
			r.ReceivedAt = p.tableClock()
			if p.countFromArrival {
				r.SentAt = r.ReceivedAt
			}
			if !p.table.Observe("u", r) && accepted {
				p.table.Acknowledge("u", until)
			}
		})
	})
}

// check compares the state of the table with that of the guard at one true time.
func (p *pair) check() {
	now, clock := p.tableClock(), p.guardClock()
	// After a restart not yet observed by the table, the new process may hold an
	// older grant or none, and refuses what the table still allows.
	u := p.table.upstreams["u"]
	sameIncarnation := u != nil && u.reading.Incarnation == api.Incarnation(fmt.Sprint(p.incarnation))
	if p.table.Expired(now, "u") && p.guard.Owns(clock, 0) {
		p.violation = "expired for the table, not for the guard"
	}
	if clock < p.guard.Until() && now >= p.authority {
		p.violation = "the lease outlasts the authority"
	}
	if sameIncarnation && p.table.MaySend(now, "u") && clock >= p.guard.Until() {
		p.violation = "the table may send after the expiry"
	}
	wanted := now + time.Duration(p.intN(700))*ms
	if deadline, ok := p.table.Deadline(now, wanted, "u"); ok {
		p.sends++
		if sameIncarnation && deadline > p.guard.Until() {
			p.violation = "the deadline is after the lease"
		}
		remaining := time.Duration(float64(wanted-now) / p.tableRate * p.guardRate)
		if deadline > clock+remaining+ms {
			p.violation = "the deadline is later than requested"
		}
	}
}

func (p *pair) run(steps int) {
	for range steps {
		p.now += time.Duration(p.intN(60000)) * time.Microsecond
		for k := 0; k < len(p.inFlight); {
			if p.inFlight[k].at > p.now {
				k++
				continue
			}
			f := p.inFlight[k]
			p.inFlight = append(p.inFlight[:k], p.inFlight[k+1:]...)
			if p.intN(10) > 0 {
				f.deliver()
			}
			k = 0
		}
		switch p.intN(40) {
		case 0:
			p.now += time.Duration(p.intN(1200)) * ms // both idle
		case 1:
			p.incarnation++
			p.guard = NewGuard(ChecksFence)
		case 2, 3: // idle until just after the expiry
			if u := p.table.upstreams["u"]; u != nil && u.expiresAt > p.tableClock() {
				p.now = time.Duration(float64(u.expiresAt)/p.tableRate) + 10*time.Microsecond
				if p.check(); p.violation != "" {
					return
				}
				continue
			}
		}
		if now := p.tableClock(); now < p.authority {
			p.authority = max(p.authority, now+time.Duration(p.intN(1000))*ms)
			p.exchange()
		}
		if p.check(); p.violation != "" {
			return
		}
	}
}

// The table must never permit what the guard refuses, with clocks at the limit of
// the drift, delayed and lost responses, and restarts.
func TestTableAgreesWithGuard(t *testing.T) {
	sends := 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		p := newPair(rand.New(rand.NewPCG(seed, 3)).IntN, 0.01, false)
		p.run(120)
		if p.violation != "" {
			t.Fatalf("at %v: %s", p.now, p.violation)
		}
		sends += p.sends
	})
	assert.Positive(t, sends, "no request was ever allowed")
	t.Logf("%d requests allowed", sends)
}

// TestFastUpstreamClock guards against a holder that treats a lease as valid after it has
// expired on the fast clock of an upstream, as occurred with this seed.
func TestFastUpstreamClock(t *testing.T) {
	p := newPair(rand.New(rand.NewPCG(0x2f08067613, 3)).IntN, 0.01, false)
	p.run(120)
	assert.Empty(t, p.violation)
}

// TestBrokenTablesAreDetected guards against checks that cannot fail: they must detect a table
// that ignores drift and one that counts its lease from the arrival of a reading.
func TestBrokenTablesAreDetected(t *testing.T) {
	for _, c := range []struct {
		name             string
		drift            float64
		countFromArrival bool
		want             string
	}{
		{"no drift", 0, false, "expired for the table"},
		{"counted from arrival", 0.01, true, "may send after the expiry"},
	} {
		found := false
		for seed := uint64(1); seed <= 500 && !found; seed++ {
			p := newPair(rand.New(rand.NewPCG(seed, 3)).IntN, c.drift, c.countFromArrival)
			p.run(120)
			if found = strings.Contains(p.violation, c.want); found {
				t.Logf("%s: detected with seed %d", c.name, seed)
			}
		}
		assert.True(t, found, "%s is not detected", c.name)
	}
}
