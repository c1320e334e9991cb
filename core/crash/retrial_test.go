package crash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/crash"
)

// sharedConfig is that of VMs that share evidence.
var sharedConfig = crash.Config{
	Quarantine: 30 * time.Second, SuspectTTL: 30 * time.Second, ProvenTTL: 30 * time.Second, Capacity: 4096,
	Slot: 5 * time.Second, MaxQuarantine: 16 * time.Minute, Retention: time.Hour,
}

const (
	// stable is the time without disruption after which a VM counts as in touch.
	stable = 3 * time.Second
	tick   = 20 * time.Millisecond
)

// sharedVM is a VM of a simulated deployment.
type sharedVM struct {
	evidence *crash.Evidence
	// upAt is when the VM starts, cutUntil the end of a cut from the others, heardAt when the
	// granter last reached it, linkedAt since when without a gap.
	upAt, cutUntil, heardAt, linkedAt time.Duration
}

type message struct {
	at      time.Duration
	to      int
	fromHub bool
	entries []crash.Entry
}

// sharedFleet simulates VMs that exchange evidence through one of them, the granter.
type sharedFleet struct {
	random *rand.Rand
	vms    []*sharedVM
	flight []message
	now    time.Duration
}

func newSharedFleet(n int, seed uint64) *sharedFleet {
	f := &sharedFleet{random: rand.New(rand.NewPCG(seed, 1))}
	for range n {
		f.vms = append(f.vms, &sharedVM{evidence: crash.New(sharedConfig), linkedAt: -time.Hour})
	}
	return f
}

func (f *sharedFleet) up(i int) bool { return f.now >= f.vms[i].upAt }

func (f *sharedFleet) reaches(i int) bool { return f.up(i) && f.now >= f.vms[i].cutUntil }

func (f *sharedFleet) inTouch(i int) bool {
	v := f.vms[i]
	return (v.upAt == 0 || f.now >= v.upAt+stable) && (v.cutUntil == 0 || f.now >= v.cutUntil+stable)
}

// granter returns the VM through which the others exchange evidence.
func (f *sharedFleet) granter() int {
	for i := range f.vms {
		if f.reaches(i) && f.inTouch(i) {
			return i
		}
	}
	return 0
}

// turn returns the turn of a VM, which has a rank only while it hears from the granter.
func (f *sharedFleet) turn(i int) crash.Turn {
	v := f.vms[i]
	if f.now-v.heardAt > time.Second || f.now-v.linkedAt < 5*time.Second {
		return crash.Turn{Rank: -1, VMs: len(f.vms)}
	}
	return crash.Turn{Rank: i, VMs: len(f.vms)}
}

func (f *sharedFleet) step() {
	f.now += tick
	hub := f.granter()
	delay := func() time.Duration { return f.now + time.Duration(5+f.random.IntN(150))*time.Millisecond }
	var broadcast []crash.Entry
	if f.now%(200*time.Millisecond) == 0 {
		broadcast = f.vms[hub].evidence.Snapshot(512)
	}
	for i := range f.vms {
		if !f.reaches(i) {
			continue
		}
		if (int(f.now/tick)+i)%20 == 0 {
			f.flight = append(f.flight, message{delay(), hub, false, f.vms[i].evidence.Snapshot(512)})
		}
		if f.now%(200*time.Millisecond) == 0 {
			f.flight = append(f.flight, message{delay(), i, true, broadcast})
		}
	}
	kept := f.flight[:0]
	for _, m := range f.flight {
		if m.at > f.now {
			kept = append(kept, m)
			continue
		}
		if !f.reaches(m.to) {
			continue
		}
		v := f.vms[m.to]
		v.evidence.Merge(f.now, m.entries)
		if m.fromHub {
			if f.now-v.heardAt > time.Second {
				v.linkedAt = f.now
			}
			v.heardAt = f.now
		}
	}
	f.flight = kept
}

// TestCrashingRequestComesAgain guards against a request that crashes upstreams and is let through
// again by each VM when its quarantine ends (BUDGET).
func TestCrashingRequestComesAgain(t *testing.T) {
	for _, c := range []struct {
		name               string
		vms, requests      int
		gap                time.Duration
		restarts, cuts, on bool // on: the granter too
	}{
		{name: "8 VMs", vms: 8, requests: 1, gap: 160 * time.Millisecond},
		{name: "11 VMs that restart", vms: 11, requests: 1, gap: 160 * time.Millisecond, restarts: true},
		{name: "11 VMs with cuts", vms: 11, requests: 1, gap: 160 * time.Millisecond, cuts: true},
		{name: "11 VMs, restarts and cuts of the granter", vms: 11, requests: 1, gap: 60 * time.Millisecond, restarts: true, cuts: true, on: true},
		{name: "300 VMs", vms: 300, requests: 1, gap: 20 * time.Millisecond},
		{name: "300 VMs, restarts and cuts", vms: 300, requests: 1, gap: 20 * time.Millisecond, restarts: true, cuts: true, on: true},
		{name: "11 VMs, 60 requests", vms: 11, requests: 60, gap: 20 * time.Millisecond, restarts: true, cuts: true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				f := newSharedFleet(c.vms, seed)
				type run struct {
					vm          int
					fingerprint uint64
					endsAt      time.Duration
				}
				crashes, late := make(map[uint64][]time.Duration), make(map[uint64][]time.Duration)
				var running, waiting []run
				start := func(i int, fingerprint uint64) {
					if !f.up(i) || !f.vms[i].evidence.Start(f.now, fingerprint, f.turn(i)) {
						return
					}
					running = append(running, run{i, fingerprint, f.now + time.Duration(20+f.random.IntN(300))*time.Millisecond})
					if seen := crashes[fingerprint]; len(seen) >= 3 && f.now > seen[2]+stable && f.inTouch(i) {
						late[fingerprint] = append(late[fingerprint], f.now)
					}
				}
				for f.now < 240*time.Second {
					f.step()
					first := 1
					if c.on {
						first = 0
					}
					if f.now%(4*time.Second) == 0 {
						if v := f.vms[first+f.random.IntN(c.vms-first)]; c.restarts {
							v.evidence, v.upAt, v.heardAt = crash.New(sharedConfig), f.now+time.Duration(f.random.IntN(3000))*time.Millisecond, -time.Hour
						}
						if v := f.vms[first+f.random.IntN(c.vms-first)]; c.cuts {
							v.cutUntil = f.now + time.Duration(f.random.IntN(40))*time.Second
						}
					}
					kept := running[:0]
					for _, r := range running {
						if f.now < r.endsAt {
							kept = append(kept, r)
							continue
						}
						crashes[r.fingerprint] = append(crashes[r.fingerprint], f.now)
						f.vms[r.vm].evidence.Crashed(f.now, []uint64{r.fingerprint})
					}
					running = kept
					waits := waiting[:0]
					for _, r := range waiting {
						if f.now < r.endsAt {
							waits = append(waits, r)
							continue
						}
						start(r.vm, r.fingerprint)
					}
					waiting = waits
					if f.now%c.gap != 0 {
						continue
					}
					for range max(1, c.requests/8) {
						i, fingerprint := f.random.IntN(c.vms), uint64(1000+f.random.IntN(c.requests))
						if !f.up(i) {
							continue
						}
						if wait, ok := f.vms[i].evidence.Claim(f.now, fingerprint, f.turn(i)); ok && wait > 0 {
							waiting = append(waiting, run{i, fingerprint, f.now + wait})
						} else if ok {
							start(i, fingerprint)
						}
					}
				}
				tried := 0
				for fingerprint, at := range late {
					require.LessOrEqual(t, len(at), 3, "request %d reaches upstreams at %v", fingerprint, at)
					for i := 1; i < len(at); i++ {
						require.Greater(t, at[i]-at[i-1], sharedConfig.Quarantine, "%v", at)
					}
					tried += len(at)
				}
				require.Positive(t, tried, "requests are tried again")
			})
		}
	}
}

// TestSoundRequestIsReleased guards against a sound request that stays in quarantine because
// upstreams ended for another reason while they ran it.
func TestSoundRequestIsReleased(t *testing.T) {
	f := newSharedFleet(11, 1)
	for f.now < 10*time.Second {
		f.step()
	}
	for range 2 {
		crashOnce(f.vms[3].evidence, f.now, poison)
	}
	began, refused := f.now, 0
	for f.now < began+80*time.Second {
		f.step()
		v := f.random.IntN(len(f.vms))
		if wait, ok := f.vms[v].evidence.Claim(f.now, poison, f.turn(v)); ok && wait == 0 && f.vms[v].evidence.Start(f.now, poison, f.turn(v)) {
			f.vms[v].evidence.Succeeded(f.now, poison)
			continue
		}
		refused++
		require.Less(t, f.now, began+sharedConfig.Quarantine+26*time.Second, "a turn of one of 11 places comes within six slots")
	}
	require.Positive(t, refused)
	for i, v := range f.vms {
		require.Equal(t, crash.Normal, v.evidence.Admit(f.now, poison), "VM %d", i)
	}
}

// TestLostDomainKeepsRequestsOut guards against the quarantine of a sound request that runs on several
// upstreams when these end for another reason.
func TestLostDomainKeepsRequestsOut(t *testing.T) {
	a, b := crash.New(sharedConfig), crash.New(sharedConfig)
	for range 3 {
		a.Started(0, 1)
		b.Started(0, 1)
	}
	for range 3 {
		a.Crashed(1, []uint64{1})
	}
	b.Merge(2, a.Snapshot(10))
	for range 3 {
		b.Crashed(3, []uint64{1})
	}
	for _, e := range []*crash.Evidence{a, b} {
		require.Equal(t, crash.Exclusive, e.Admit(4, 1))
		e.Started(4, 1)
		e.Started(4, 1)
		e.Crashed(5, []uint64{1})
		require.Equal(t, crash.Quarantined, e.Admit(5, 1), "a crash of a run that began later counts")
	}
}

// TestOneTrialPerTurn guards against a VM that tries several crashing requests at once, and one of
// them on several upstreams.
func TestOneTrialPerTurn(t *testing.T) {
	e := crash.New(sharedConfig)
	crashOnce(e, 0, 16)
	crashOnce(e, 0, 16)
	crashOnce(e, 0, 32)
	crashOnce(e, 0, 32)
	turn := crash.Turn{Rank: 0, VMs: 11}
	ends := sharedConfig.Quarantine
	claim := func(now time.Duration, fingerprint uint64, turn crash.Turn) bool {
		_, ok := e.Claim(now, fingerprint, turn)
		return ok
	}
	require.False(t, claim(ends-1, 16, turn))
	require.False(t, claim(ends, 16, crash.Turn{Rank: 1, VMs: 11}), "the turn of another VM")
	require.False(t, claim(ends, 16, crash.Turn{Rank: -1, VMs: 11}), "a VM that hears nothing of the others")
	wait, ok := e.Claim(ends, 16, turn)
	require.True(t, ok)
	require.Positive(t, wait)
	require.Equal(t, 2, e.Snapshot(1)[0].Level, "the others learn of the claim")
	require.False(t, claim(ends, 32, turn), "one at a time")
	require.False(t, e.Start(ends+wait-1, 16, turn), "before the others have learnt of it")
	require.False(t, e.Start(ends+wait, 16, crash.Turn{Rank: -1, VMs: 11}), "the others may not have learnt of it")
	require.True(t, e.Start(ends+wait, 16, turn))
	require.False(t, e.Start(ends+wait, 16, turn), "one run")
	require.False(t, claim(ends+wait, 16, turn))
	e.Crashed(ends+wait, []uint64{16})
	require.False(t, e.Start(ends+wait, 16, turn))
	require.False(t, claim(3*ends-1, 16, turn), "the next quarantine is twice as long")
	require.True(t, claim(3*ends, 16, turn))
}

// TestMixedVersions guards against evidence of an earlier version that is not understood.
func TestMixedVersions(t *testing.T) {
	e := crash.New(sharedConfig)
	e.Merge(0, []crash.Entry{{Fingerprint: poison, Quarantined: true, Remaining: 20 * time.Second}, {Fingerprint: 1, Remaining: 20 * time.Second}})
	require.Equal(t, crash.Quarantined, e.Admit(1, poison))
	require.Equal(t, crash.Exclusive, e.Admit(1, 1))
	// An earlier version ignores entries without a second left, and takes others as they are.
	old := crash.New(crash.Config{Quarantine: 30 * time.Second})
	old.Merge(0, e.Snapshot(10))
	require.Equal(t, crash.Quarantined, old.Admit(1, poison))
}

// TestSharedCapacity guards against shared evidence that grows without bound.
func TestSharedCapacity(t *testing.T) {
	cfg := sharedConfig
	cfg.Capacity = 100
	a, b := crash.New(cfg), crash.New(cfg)
	for f := range uint64(3000) {
		crashOnce(a, 0, f)
		crashOnce(a, 0, f)
		b.Merge(0, a.Snapshot(64))
	}
	require.LessOrEqual(t, a.Len(), 100)
	require.LessOrEqual(t, b.Len(), 100)
	a.Merge(2*time.Hour, nil)
	require.LessOrEqual(t, len(a.Snapshot(1000)), 100)
}

// TestMayContinue guards against a run that is sent although evidence of another VM came after it
// was recorded, and against a quarantine that never ends because its trial is stopped.
func TestMayContinue(t *testing.T) {
	const fingerprint = 7
	e := crash.New(sharedConfig)
	turn := crash.Turn{Rank: 0, VMs: 1}
	require.True(t, e.Start(0, fingerprint, turn))
	require.True(t, e.MayContinue(0, fingerprint))
	e.Merge(time.Second, []crash.Entry{{Fingerprint: fingerprint, Quarantined: true, Level: 1, Remaining: 30 * time.Second}})
	require.False(t, e.MayContinue(time.Second, fingerprint))
	e.Ended(time.Second, fingerprint)
	now, claimed := 32*time.Second, false
	for ; !claimed && now < time.Minute; now += tick {
		_, claimed = e.Claim(now, fingerprint, turn)
	}
	require.True(t, claimed)
	now += sharedConfig.Slot / 4
	require.True(t, e.Start(now, fingerprint, turn))
	require.True(t, e.MayContinue(now, fingerprint), "the trial after the quarantine")
}
