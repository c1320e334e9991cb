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

// quantum is the time step of the exhaustive check. The lease is chosen such
// that a promise made at one step has expired two steps later, while authority
// counted from the step in between has not.
const quantum = 250 * ms

var modelConfig = Config{Lease: 490 * ms, RenewEvery: quantum, RankDelay: 5, Drift: 0.01}

// inFlight is a message or a call to the store that has not arrived yet.
type inFlight struct {
	from, to int // to is -1 for the store
	msg      Message
	write    *WriteRecord // nil at the store: a read
	encoded  string
}

// modelState is one state of the exhaustive check: the machines, everything in
// flight and the row.
type modelState struct {
	now        time.Duration
	machines   []*Machine
	encoded    []string
	starts     []int
	inFlight   []inFlight
	row        Record
	rowVersion uint64
	fence      api.Fence
	restarts   int // remaining
	repeats    int // remaining duplicate deliveries
	violation  string
}

// model explores every order of steps breadth first.
type model struct {
	broken  variant
	visited map[[2]uint64]bool
	gains   int
}

func vmIndex(id api.VMID) int { return int(id[0] - 'a') }
func vmName(i int) api.VMID   { return api.VMID(string(rune('a' + i))) }

// claimState returns a state in which a is candidate under a record of three
// members that know all ballots. Its first claim has been sent.
func (md *model) claimState(vms int) *modelState {
	s := &modelState{row: Record{Shard: shard, Version: 1, Members: []api.VMID{"a", "b", "c"}, WriteID: "first"}, rowVersion: 1}
	for i := range vms {
		s.machines, s.encoded, s.starts = append(s.machines, nil), append(s.encoded, ""), append(s.starts, 0)
		md.start(s, i, i < 3)
	}
	md.apply(s, 0, s.machines[0].Tick(0))
	return s
}

// settle delivers everything in flight between the named machines.
func (md *model) settle(s *modelState, vms ...int) {
	for k := 0; k < len(s.inFlight); {
		f := s.inFlight[k]
		if !slices.Contains(vms, f.from) || !slices.Contains(vms, f.to) {
			k++
			continue
		}
		s.inFlight = slices.Delete(s.inFlight, k, k+1)
		md.deliver(s, f, true)
		k = 0
	}
}

// settledState returns a state in which a is holder.
func (md *model) settledState(t *testing.T, vms int) *modelState {
	s := md.claimState(vms)
	md.settle(s, 0, 1, 2)
	_, _, ok := s.machines[0].Authority(0)
	require.True(t, ok)
	return s
}

// missedRenewalState returns a state in which a is holder and its last renewal
// has not reached b.
func (md *model) missedRenewalState(t *testing.T) *modelState {
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
	md.apply(s, i, s.machines[i].Learn(s.now, s.row, s.rowVersion, created))
}

// apply carries out the actions of machine i and encodes its changed state.
func (md *model) apply(s *modelState, i int, actions []Action) {
	for _, action := range actions {
		f := inFlight{from: i, to: -1}
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
				s.violation = "fence " + a.Fence.String() + " after " + s.fence.String()
			}
			s.fence = max(s.fence, a.Fence)
			continue
		default:
			continue
		}
		f.encoded = string(appendInFlight(nil, f))
		s.inFlight = append(s.inFlight, f)
		if md.broken.noQuorum && (f.msg.Type == Claim || f.msg.Type == Renew) {
			ack := f.msg
			ack.Type, ack.OK, ack.Member = ClaimAck, true, ""
			md.apply(s, i, s.machines[i].Receive(s.now, vmName(f.to), ack))
		}
	}
	if md.broken.noAbstention {
		s.machines[i].abstainUntil, s.machines[i].ballotsKnown = 0, true
	}
	s.encoded[i] = string(appendMachine(nil, s.machines[i]))
}

// deliver delivers f. responded is false if the response of the store is lost.
func (md *model) deliver(s *modelState, f inFlight, responded bool) {
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
		if s.rowVersion == f.write.BaseVersion {
			s.row, s.rowVersion, result = f.write.Record, s.rowVersion+1, WriteOK
		}
		if !responded {
			result = WriteUnknown
		}
		m := s.machines[f.from]
		md.apply(s, f.from, m.HandleWriteResult(s.now, f.write.Record, s.rowVersion, result))
	default:
		md.apply(s, f.from, s.machines[f.from].Learn(s.now, s.row, s.rowVersion, false))
	}
}

// fork copies a state so that machine i may change.
func (s *modelState) fork(i int) *modelState {
	c := *s
	c.machines, c.encoded = slices.Clone(s.machines), slices.Clone(s.encoded)
	c.inFlight, c.starts = slices.Clone(s.inFlight), slices.Clone(s.starts)
	if i >= 0 {
		c.machines[i] = cloneMachine(s.machines[i])
	}
	return &c
}

// successors returns the states after one step: time advances, a machine ticks,
// a message or store call arrives (and may arrive again), or a machine restarts.
// Loss needs no step: a lost message never arrives.
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
			c.inFlight = slices.DeleteFunc(c.inFlight, func(f inFlight) bool { return f.to == -1 && f.from == i && f.write == nil })
			md.start(c, i, false)
			next = append(next, c)
		}
	}
	for k, f := range s.inFlight {
		changed := f.to
		if changed < 0 {
			changed = f.from
		}
		for mode := range 3 { // once, with a duplicate to come, response lost
			if mode == 1 && (s.repeats == 0 || f.to < 0) || mode == 2 && f.write == nil {
				continue
			}
			c := s.fork(changed)
			if mode == 1 {
				c.repeats--
			} else {
				c.inFlight = slices.Delete(c.inFlight, k, k+1)
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
	b = binary.AppendUvarint(b, s.rowVersion)
	b = append(b, byte(s.restarts), byte(s.repeats))
	b = append(b, s.row.WriteID...)
	for _, e := range s.encoded {
		b = append(append(b, e...), 0xff)
	}
	flights := make([]string, len(s.inFlight))
	for i, f := range s.inFlight {
		flights[i] = f.encoded
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
	return s.violation
}

// explore visits every state within depth steps and returns the first violation.
func (md *model) explore(start *modelState, depth int) (violation string, at int) {
	md.visited = map[[2]uint64]bool{}
	frontier := []*modelState{start}
	md.visited[md.hash(start)] = true
	for at = range depth {
		var next []*modelState
		for _, s := range frontier {
			for _, c := range md.successors(s) {
				if violation := c.check(); violation != "" {
					return violation, at + 1
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
		{"missed renewal and restart", func(md *model) *modelState { return md.missedRenewalState(t) }},
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
		{"replacement with lost responses", func(md *model) *modelState {
			s := md.settledState(t, 4)
			md.apply(s, 0, s.machines[0].Replace(0, "c", "d"))
			return s
		}},
	} {
		md := &model{}
		violation, depth := md.explore(c.prep(md), *modelDepth)
		assert.Empty(t, violation, c.name)
		t.Logf("%s: %d states within %d steps, authority gained on %d transitions", c.name, len(md.visited), depth, md.gains)
		assert.Positive(t, md.gains, "no takeover was reached: the depth is too small")
	}
}

// TestEveryInterleavingFindsBrokenRules guards against an exhaustive check that cannot fail:
// it must detect each broken rule within its depth.
func TestEveryInterleavingFindsBrokenRules(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		broken variant
		prep   func(md *model) *modelState
	}{
		{"abstention skipped", variant{noAbstention: true}, func(md *model) *modelState { return md.missedRenewalState(t) }},
		{"authority without quorum", variant{noQuorum: true}, func(md *model) *modelState { return md.settledState(t, 3) }},
		{"lease counted from the ack", variant{leaseFromAck: true}, func(md *model) *modelState { return md.claimState(3) }},
	} {
		md := &model{broken: c.broken}
		violation, depth := md.explore(c.prep(md), *modelDepth)
		assert.Equal(t, "two holders", violation, c.name)
		t.Logf("%s: %q after %d states, within %d steps", c.name, violation, len(md.visited), depth)
	}
}

// TestModelEncodesEveryField guards against fields that cloneMachine or appendMachine leave
// out.
func TestModelEncodesEveryField(t *testing.T) {
	for _, c := range []struct {
		value  any
		fields int
	}{{Machine{}, 26}, {term{}, 11}, {round{}, 4}, {pendingWrite{}, 4}, {Message{}, 9}, {Record{}, 5}} {
		typ := reflect.TypeOf(c.value)
		assert.Equal(t, c.fields, typ.NumField(), "%v has changed: adapt cloneMachine and appendMachine", typ)
	}
}
