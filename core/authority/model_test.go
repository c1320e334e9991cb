package authority

import (
	"encoding/binary"
	"flag"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

var modelDepth = flag.Int("model.depth", 7, "depth of the exhaustive check, in steps")

// quantum is the step of time in the exhaustive check. The lease is chosen such
// that a promise given at one step has lapsed two steps later, and authority
// that was counted from the step in between has not.
const quantum = 250 * ms

var modelConfig = Config{Lease: 490 * ms, RenewEvery: quantum, RankDelay: 5, Drift: 0.01}

// flight is a message, or a call to the store, that has not arrived.
type flight struct {
	from, to int // to is -1 for the store
	msg      Message
	write    *WriteRecord // nil at the store: a read
	enc      string
}

// world of the exhaustive check: every machine, everything in flight, the row.
type modelState struct {
	now      time.Duration
	machines []*Machine
	encoded  []string
	starts   []int
	flights  []flight
	row      Record
	rowVer   uint64
	fence    api.Fence
	restarts int // left
	repeats  int // left
	wrong    string
}

// model explores every order of steps, breadth first.
type model struct {
	broken  variant
	visited map[[2]uint64]bool
	gains   int
}

func vmIndex(id api.VMID) int { return int(id[0] - 'a') }
func vmName(i int) api.VMID   { return api.VMID(string(rune('a' + i))) }

// claimState has a as candidate for a record of three members, all of which
// remember their ballots. Its first claim has been sent.
func (md *model) claimState(vms int) *modelState {
	s := &modelState{row: Record{Shard: shard, Version: 1, Members: []api.VMID{"a", "b", "c"}, WriteID: "first"}, rowVer: 1}
	for i := range vms {
		s.machines, s.encoded, s.starts = append(s.machines, nil), append(s.encoded, ""), append(s.starts, 0)
		md.start(s, i, i < 3)
	}
	md.apply(s, 0, s.machines[0].Tick(0))
	return s
}

// settle delivers what is in flight to and from the machines named.
func (md *model) settle(s *modelState, vms ...int) {
	for k := 0; k < len(s.flights); {
		f := s.flights[k]
		if !slices.Contains(vms, f.from) || !slices.Contains(vms, f.to) {
			k++
			continue
		}
		s.flights = slices.Delete(s.flights, k, k+1)
		md.deliver(s, f, true)
		k = 0
	}
}

// settledState has a as holder.
func (md *model) settledState(t *testing.T, vms int) *modelState {
	s := md.claimState(vms)
	md.settle(s, 0, 1, 2)
	_, _, ok := s.machines[0].Authority(0)
	require.True(t, ok)
	return s
}

// missedState has a as holder, whose last renewal has not reached b.
func (md *model) missedState(t *testing.T) *modelState {
	s := md.settledState(t, 3)
	s.now += quantum
	md.apply(s, 0, s.machines[0].Tick(s.now))
	md.settle(s, 0, 2)
	s.restarts = 1
	return s
}

func (md *model) start(s *modelState, i int, created bool) {
	cfg := modelConfig
	s.starts[i]++
	cfg.Incarnation = api.Incarnation(rune('0' + s.starts[i]))
	s.machines[i] = New(vmName(i), shard, cfg)
	md.apply(s, i, s.machines[i].Learn(s.now, s.row, s.rowVer, created))
}

// apply carries out the actions of machine i, which has just changed.
func (md *model) apply(s *modelState, i int, actions []Action) {
	for _, action := range actions {
		f := flight{from: i, to: -1}
		switch a := action.(type) {
		case Send:
			f.to, f.msg = vmIndex(a.To), a.Message
			if f.to >= len(s.machines) {
				continue
			}
		case WriteRecord:
			f.write = &a
		case ReadRecord:
		case Gained:
			md.gains++
			if a.Fence <= s.fence {
				s.wrong = "fence " + a.Fence.String() + " after " + s.fence.String()
			}
			s.fence = max(s.fence, a.Fence)
			continue
		default:
			continue
		}
		f.enc = string(appendFlight(nil, f))
		s.flights = append(s.flights, f)
		if md.broken.noQuorum && (f.msg.Type == Claim || f.msg.Type == Renew) {
			ack := f.msg
			ack.Type, ack.OK, ack.Member = ClaimAck, true, ""
			md.apply(s, i, s.machines[i].Receive(s.now, vmName(f.to), ack))
		}
	}
	if md.broken.noAbstention {
		s.machines[i].abstainUntil, s.machines[i].remembers = 0, true
	}
	s.encoded[i] = string(appendMachine(nil, s.machines[i]))
}

// deliver lets a flight arrive. answered is false if the answer of the store is lost.
func (md *model) deliver(s *modelState, f flight, answered bool) {
	switch {
	case f.to >= 0:
		m := s.machines[f.to]
		if md.broken.leaseFromAck && m.term != nil {
			for _, r := range m.term.rounds {
				r.sentAt = s.now
			}
		}
		md.apply(s, f.to, m.Receive(s.now, vmName(f.from), f.msg))
	case f.write != nil:
		result := WriteConflict
		if s.rowVer == f.write.BaseVersion {
			s.row, s.rowVer, result = f.write.Record, s.rowVer+1, WriteOK
		}
		if !answered {
			result = WriteUnknown
		}
		m := s.machines[f.from]
		md.apply(s, f.from, m.HandleWriteResult(s.now, f.write.Record, s.rowVer, result))
	default:
		md.apply(s, f.from, s.machines[f.from].Learn(s.now, s.row, s.rowVer, false))
	}
}

// fork copies a state so that machine i may change.
func (s *modelState) fork(i int) *modelState {
	c := *s
	c.machines, c.encoded = slices.Clone(s.machines), slices.Clone(s.encoded)
	c.flights, c.starts = slices.Clone(s.flights), slices.Clone(s.starts)
	if i >= 0 {
		c.machines[i] = cloneMachine(s.machines[i])
	}
	return &c
}

// successors returns the states that one step leads to: time advances, a
// machine ticks, something in flight arrives (and may arrive again), a machine
// restarts. Loss needs no step: what is lost never arrives.
func (md *model) successors(s *modelState) []*modelState {
	c := s.fork(-1)
	c.now += quantum
	next := []*modelState{c}
	for i := range s.machines {
		c := s.fork(i)
		md.apply(c, i, c.machines[i].Tick(c.now))
		next = append(next, c)
		if s.restarts > 0 {
			c := s.fork(i)
			c.restarts--
			c.flights = slices.DeleteFunc(c.flights, func(f flight) bool { return f.to == -1 && f.from == i && f.write == nil })
			md.start(c, i, false)
			next = append(next, c)
		}
	}
	for k, f := range s.flights {
		changed := f.to
		if changed < 0 {
			changed = f.from
		}
		for mode := range 3 { // once, with a repeat to come, answer lost
			if mode == 1 && (s.repeats == 0 || f.to < 0) || mode == 2 && f.write == nil {
				continue
			}
			c := s.fork(changed)
			if mode == 1 {
				c.repeats--
			} else {
				c.flights = slices.Delete(c.flights, k, k+1)
			}
			md.deliver(c, f, mode != 2)
			next = append(next, c)
		}
	}
	return next
}

func (md *model) hash(s *modelState) [2]uint64 {
	b := binary.AppendVarint(nil, int64(s.now))
	b = binary.AppendUvarint(b, uint64(s.fence))
	b = binary.AppendUvarint(b, s.rowVer)
	b = append(b, byte(s.restarts), byte(s.repeats))
	b = append(b, s.row.WriteID...)
	for _, e := range s.encoded {
		b = append(append(b, e...), 0xff)
	}
	flights := make([]string, len(s.flights))
	for i, f := range s.flights {
		flights[i] = f.enc
	}
	slices.Sort(flights)
	for _, f := range flights {
		b = append(append(b, f...), 0xfe)
	}
	first := xxhash.Sum64(b)
	return [2]uint64{first, xxhash.Sum64(binary.LittleEndian.AppendUint64(b, first))}
}

func (s *modelState) check() string {
	holders := 0
	for _, m := range s.machines {
		if _, _, ok := m.Authority(s.now); ok {
			holders++
		}
	}
	if holders > 1 {
		return "two holders"
	}
	return s.wrong
}

// explore visits every state within depth steps and returns the first thing that is wrong.
func (md *model) explore(start *modelState, depth int) (wrong string, at int) {
	md.visited = map[[2]uint64]bool{}
	frontier := []*modelState{start}
	md.visited[md.hash(start)] = true
	for at = range depth {
		var next []*modelState
		for _, s := range frontier {
			for _, c := range md.successors(s) {
				if wrong := c.check(); wrong != "" {
					return wrong, at + 1
				}
				if h := md.hash(c); !md.visited[h] {
					md.visited[h] = true
					next = append(next, c)
				}
			}
		}
		frontier = next
	}
	return "", depth
}

func TestEveryInterleavingToADepth(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		prep func(md *model) *modelState
	}{
		{"first claim", func(md *model) *modelState { return md.claimState(3) }},
		{"missed renewal and restart", func(md *model) *modelState { return md.missedState(t) }},
		{"restart and repeat", func(md *model) *modelState {
			s := md.settledState(t, 3)
			s.restarts, s.repeats = 1, 1
			return s
		}},
		{"release", func(md *model) *modelState {
			s := md.settledState(t, 3)
			s.repeats = 1
			md.apply(s, 0, s.machines[0].Release(0, "b"))
			return s
		}},
		{"replacement with lost answers", func(md *model) *modelState {
			s := md.settledState(t, 4)
			md.apply(s, 0, s.machines[0].Replace(0, "c", "d"))
			return s
		}},
	} {
		md := &model{}
		wrong, depth := md.explore(c.prep(md), *modelDepth)
		assert.Empty(t, wrong, c.name)
		t.Logf("%s: %d states within %d steps, authority gained on %d transitions", c.name, len(md.visited), depth, md.gains)
		assert.Positive(t, md.gains, "no takeover was reached: the depth is too small to show anything")
	}
}

// The exhaustive check must find broken rules within the depth that it uses.
func TestEveryInterleavingFindsBrokenRules(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		broken variant
		prep   func(md *model) *modelState
	}{
		{"abstention skipped", variant{noAbstention: true}, func(md *model) *modelState { return md.missedState(t) }},
		{"authority without quorum", variant{noQuorum: true}, func(md *model) *modelState { return md.settledState(t, 3) }},
		{"lease counted from the ack", variant{leaseFromAck: true}, func(md *model) *modelState { return md.claimState(3) }},
	} {
		md := &model{broken: c.broken}
		wrong, depth := md.explore(c.prep(md), *modelDepth)
		assert.Equal(t, "two holders", wrong, c.name)
		t.Logf("%s: %q after %d states, within %d steps", c.name, wrong, len(md.visited), depth)
	}
}

// The encoding below must change with the types that it encodes.
func TestModelEncodesEveryField(t *testing.T) {
	for _, c := range []struct {
		value  any
		fields int
	}{{Machine{}, 26}, {term{}, 11}, {round{}, 4}, {pendingWrite{}, 4}, {Message{}, 9}, {Record{}, 5}} {
		typ := reflect.TypeOf(c.value)
		assert.Equal(t, c.fields, typ.NumField(), "%v has changed: adapt cloneMachine and appendMachine", typ)
	}
}
