package election

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	readTime     = 10 * time.Millisecond // from a read to its response
	askTime      = 5 * time.Millisecond  // from a question to a reader to its response
	readJitter   = 150 * time.Millisecond
	readerJitter = 50 * time.Millisecond
)

// readVM is a VM that has lost its granter.
type readVM struct {
	reads      *LeaseReads
	voter      *Voter
	reader     bool
	lost       bool // it does not respond to others any more
	followedAt time.Duration
}

// readSim plays what VMs do after the loss of a granter at time 0, when the lease had an age. A
// read or a question takes effect when it is sent. Events at one time follow in a fixed order.
type readSim struct {
	vms      []*readVM
	events   []readEvent
	rng      *rand.Rand
	age      time.Duration
	version  int64 // of the row; a takeover raises it
	takenAt  time.Duration
	calls    int
	readings bool // VMs ask readers
	words    float64
}

type readEvent struct {
	at time.Duration
	vm *readVM
	do func(now time.Duration)
}

func (s *readSim) after(now, d time.Duration, vm *readVM, do func(now time.Duration)) {
	s.events = append(s.events, readEvent{now + d, vm, do})
}

// read is a read of the lease by a VM.
func (s *readSim) read(now time.Duration, vm *readVM) {
	s.calls++
	version := s.version
	s.after(now, readTime, vm, func(now time.Duration) {
		if version != 1 {
			vm.followedAt = now
			return
		}
		vm.reads.Read(version, now-readTime, vm.reader)
		s.next(now, vm, now-readTime, false)
	})
}

// next is what a VM does that knows the row as of a time.
func (s *readSim) next(now time.Duration, vm *readVM, as time.Duration, confirmed bool) {
	step := vm.voter.Next(now, Lease{Age: s.age + as, AskedAt: as}, true)
	if step == Campaign && (!confirmed || vm.reads.MayCampaign(now)) {
		jitter := readJitter
		if vm.reader && s.readings {
			jitter = readerJitter
		}
		s.after(now, time.Duration(s.rng.Int64N(int64(jitter))), vm, func(now time.Duration) { s.campaign(now, vm) })
		return
	}
	s.await(now, vm)
}

// campaign reads the lease again and takes it over if it has not changed.
func (s *readSim) campaign(now time.Duration, vm *readVM) {
	s.calls++
	version := s.version
	s.after(now, readTime, vm, func(now time.Duration) {
		if version != 1 {
			s.read(now, vm)
			return
		}
		s.calls++
		if s.version != 1 {
			s.after(now, readTime, vm, func(now time.Duration) { s.read(now, vm) })
			return
		}
		s.version, s.takenAt, vm.followedAt = 2, now, now
	})
}

// await waits for the next read, or for the word of a reader.
func (s *readSim) await(now time.Duration, vm *readVM) {
	readAt := max(vm.reads.ReadAt(vm.voter.CampaignAt(0, s.age)), now)
	askAt, asks := vm.reads.AskAt()
	if !s.readings {
		s.after(now, DefaultReadConfig().Interval, vm, func(now time.Duration) { s.read(now, vm) })
		return
	}
	if !asks {
		s.after(readAt, 0, vm, func(now time.Duration) { s.read(now, vm) })
		return
	}
	s.after(max(askAt, now), askTime, vm, func(now time.Duration) {
		var readers []*readVM
		for _, other := range s.vms {
			if other.reader {
				readers = append(readers, other)
			}
		}
		reader := readers[s.rng.IntN(len(readers))]
		if reader.lost || s.rng.Float64() >= s.words {
			s.after(max(readAt, now), 0, vm, func(now time.Duration) { s.read(now, vm) })
			return
		}
		if reader.followedAt > 0 && reader.followedAt <= now {
			vm.followedAt = now
			return
		}
		version, at, ok := reader.reads.Word()
		if !ok || !vm.reads.Vouched(version, at, reader.voter.WouldCampaign(now)) {
			s.after(max(readAt, now), 0, vm, func(now time.Duration) { s.read(now, vm) })
			return
		}
		s.next(now, vm, at, true)
	})
}

// run plays until no VM is left without a granter, and returns when the last one has one.
func (s *readSim) run() (last time.Duration) {
	for len(s.events) > 0 {
		i := 0
		for j := range s.events {
			if cmp.Compare(s.events[j].at, s.events[i].at) < 0 {
				i = j
			}
		}
		event := s.events[i]
		s.events = slices.Delete(s.events, i, i+1)
		if event.vm.followedAt == 0 {
			event.do(event.at)
		}
	}
	for _, vm := range s.vms {
		last = max(last, vm.followedAt)
	}
	return last
}

// readLoss describes the loss of a granter.
type readLoss struct {
	vms      int
	age      time.Duration // of the lease
	detected time.Duration // over which the VMs find out
	started  bool          // the VMs start then, so that none may take over at once
	lost     int           // readers that are lost with the granter
	words    float64       // part of the words of readers that arrive
}

func (l readLoss) play(seed uint64, readings bool) (s *readSim, last time.Duration) {
	s = &readSim{rng: rand.New(rand.NewPCG(seed, 7)), age: l.age, version: 1, readings: readings, words: l.words}
	startedAt := -time.Hour
	if l.started {
		startedAt = 0
	}
	for i := range l.vms {
		vm := &readVM{reads: NewLeaseReads(DefaultReadConfig()), voter: NewVoter(DefaultConfig(), startedAt), reader: i < Readers(l.vms)}
		if readings && Readers(l.vms) > 0 && vm.reader && i < l.lost {
			vm.lost, vm.followedAt = true, time.Nanosecond
		}
		s.vms = append(s.vms, vm)
		found := time.Duration(s.rng.Int64N(int64(l.detected) + 1))
		s.after(0, found, vm, func(now time.Duration) { s.read(now, vm) })
	}
	s.readings = readings && Readers(l.vms) > 0
	return s, s.run()
}

// TestReadsAfterLoss guards against reads of the lease that grow with the number of VMs, and
// against a VM that finds the next granter later, or a takeover that is later, because others read
// for it: also if readers are lost, if their word is, and if all VMs have just started.
func TestReadsAfterLoss(t *testing.T) {
	for name, loss := range map[string]readLoss{
		"process killed":     {detected: 0, words: 1},
		"VM lost":            {detected: 250 * time.Millisecond, age: 700 * time.Millisecond, words: 1},
		"all started":        {detected: 200 * time.Millisecond, age: 5 * time.Second, started: true, words: 1},
		"a reader is lost":   {lost: 1, words: 1},
		"half of words lost": {words: 0.5},
		"no words":           {words: 0},
		"no readers":         {lost: 10, words: 1},
	} {
		for _, vms := range []int{3, 70, 300} {
			t.Run(fmt.Sprint(name, vms), func(t *testing.T) {
				loss.vms = vms
				var before, now int
				var takenBefore, taken, latestBefore, latest time.Duration
				const rounds = 40
				for seed := range uint64(rounds) {
					l := loss
					if !l.started && l.age == 0 {
						l.age = time.Duration(seed) * time.Second / rounds
					}
					alone, lastAlone := l.play(seed, false)
					with, last := l.play(seed, true)
					before, now = before+alone.calls, now+with.calls
					takenBefore, taken = takenBefore+alone.takenAt, taken+with.takenAt
					latestBefore, latest = max(latestBefore, lastAlone-alone.takenAt), max(latest, last-with.takenAt)
				}
				t.Logf("calls %d to %d; taken over after %v to %v; the last VM follows %v to %v later",
					before/rounds, now/rounds, takenBefore/rounds, taken/rounds, latestBefore, latest)
				bound := DefaultReadConfig().Interval + 2*readTime
				require.LessOrEqual(t, latest, max(bound, latestBefore))
				require.LessOrEqual(t, now, before+rounds*Readers(vms)*2)
				if loss.lost == 0 && loss.words > 0 {
					require.LessOrEqual(t, taken, takenBefore+rounds*20*time.Millisecond)
				}
				if loss.words == 1 && loss.lost == 0 && vms > 3 {
					require.Less(t, now, before/2)
				}
			})
		}
	}
}

// TestLeaseReads guards against a VM that relies on an old word, on one of another version, or on
// one for longer than it would wait for its own read.
func TestLeaseReads(t *testing.T) {
	cfg := DefaultReadConfig()
	r := NewLeaseReads(cfg)
	require.False(t, r.Vouched(5, time.Second, true), "this VM has not read the row")
	r.Read(5, time.Second, false)
	require.False(t, r.Vouched(6, 2*time.Second, true))
	require.False(t, r.Vouched(5, time.Second, true))
	require.Equal(t, time.Second+cfg.Interval, r.ReadAt(0))
	require.True(t, r.MayCampaign(time.Second), "no reader has given its word")
	require.True(t, r.Vouched(5, 2*time.Second, true))
	require.Equal(t, 2*time.Second+cfg.Interval, r.ReadAt(2100*time.Millisecond))
	require.False(t, r.MayCampaign(2*time.Second))
	require.True(t, r.MayCampaign(2*time.Second+cfg.CampaignGrace), "the readers have not taken over")
	require.True(t, r.Vouched(5, 3*time.Second, false))
	require.True(t, r.MayCampaign(3*time.Second), "the reader cannot take over")
	r.Read(6, 4*time.Second, true)
	_, asks := r.AskAt()
	require.False(t, asks)
	require.Equal(t, 4*time.Second+cfg.ReaderInterval, r.ReadAt(0))
	require.Equal(t, 4010*time.Millisecond, r.ReadAt(4010*time.Millisecond), "a reader reads when it takes the lease over")
}
