// Package membership is the failure detector of an entry VM for the other entry
// VMs. It combines their heartbeats with the platform's list, which lags.
//
// Safety does not depend on the result, which selects routes, members of shards
// and the order of takeovers. The one exception is Gone, which package authority
// uses: it is true only for an incarnation that the list has reported as gone.
package membership

import (
	"cmp"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// State is the local view of a VM. The empty State means that the VM is unknown.
type State string

const (
	// Alive means that heartbeats arrive.
	Alive State = "alive"
	// Suspect means that no heartbeat arrived for Config.SuspectAfter, or not
	// regularly since then.
	Suspect State = "suspect"
	// Unreachable means that heartbeats reach other VMs but not this one.
	Unreachable State = "unreachable"
	// Dead means that heartbeats reach no VM, or that the VM is listed as gone.
	Dead State = "dead"
	// Leaving means that the VM is stopping as planned.
	Leaving State = "leaving"
)

// ListState is the state of a VM in the platform's list.
type ListState string

const (
	// ListLive is a running VM.
	ListLive ListState = "live"
	// ListLeaving is a VM that will be stopped.
	ListLeaving ListState = "leaving"
	// ListGone is a VM that has stopped for good.
	ListGone ListState = "gone"
)

// Heartbeat is the periodic message of a VM to all others.
type Heartbeat struct {
	From        api.VMID
	Incarnation api.Incarnation
	Leaving     bool
	Reachable   []api.VMID // the VMs whose heartbeats reach the sender
}

// Config holds the intervals of section 6 of the design page.
type Config struct {
	HeartbeatEvery time.Duration
	SuspectAfter   time.Duration
	DeadAfter      time.Duration
	// RecoverAfter is the number of consecutive heartbeats that make a suspect
	// VM alive again. It prevents flapping when messages are lost in one
	// direction.
	RecoverAfter int
	// ListLag is the maximum age of the platform's list. A report does not count
	// against an incarnation whose first heartbeat is more recent than this,
	// because it may refer to the previous one.
	ListLag time.Duration
}

// DefaultConfig returns the intervals of the design page, which does not bound
// the lag of the list: 10 s is ten read intervals of the list.
func DefaultConfig() Config {
	return Config{
		HeartbeatEvery: 200 * time.Millisecond,
		SuspectAfter:   time.Second,
		DeadAfter:      3 * time.Second,
		RecoverAfter:   3,
		ListLag:        10 * time.Second,
	}
}

// Change is a change of the state of a VM.
type Change struct {
	VM          api.VMID
	Incarnation api.Incarnation // empty if no heartbeat ever arrived
	From, To    State
}

// Table holds the states of the other VMs. It is not safe for concurrent use.
type Table struct {
	self   api.VMID
	cfg    Config
	peers  map[api.VMID]*peer
	sorted []*peer // by ID
}

// New returns a table with the given peers. They are suspect until their first
// heartbeat, or dead after Config.DeadAfter.
func New(self api.VMID, cfg Config, peers []api.VMID) *Table {
	t := &Table{self: self, cfg: cfg, peers: make(map[api.VMID]*peer, len(peers))}
	for _, vm := range peers {
		t.getOrAdd(0, vm)
	}
	return t
}

// getOrAdd returns the entry of a VM, adding it if needed.
func (t *Table) getOrAdd(now time.Duration, vm api.VMID) *peer {
	if p := t.peers[vm]; p != nil || vm == t.self {
		return p
	}
	p := &peer{id: vm, state: Suspect, reported: Suspect, lastHeard: now, lastHeardByOthers: distantPast}
	t.peers[vm] = p
	at, _ := slices.BinarySearchFunc(t.sorted, p, func(x, y *peer) int { return cmp.Compare(x.id, y.id) })
	t.sorted = slices.Insert(t.sorted, at, p)
	return p
}

// HandleHeartbeat processes a heartbeat. It adds an unknown sender.
func (t *Table) HandleHeartbeat(now time.Duration, hb Heartbeat) {
	p := t.getOrAdd(now, hb.From)
	if p == nil || !p.handleHeartbeat(now, hb, t.cfg) {
		return
	}
	for _, vm := range hb.Reachable {
		if other := t.peers[vm]; other != nil && other != p {
			other.lastHeardByOthers = now
		}
	}
}

// Stalled records that this process has not run for a time before now. It counts against the state of
// no VM: nothing was read meanwhile. Reachable and HasMajority, which state what was heard, and Gone are
// as without a stall.
func (t *Table) Stalled(now, stall time.Duration) {
	for _, p := range t.sorted {
		// A heartbeat may have been read after the stall and before this call.
		p.excused = min(p.excused+stall, now-p.lastHeard)
	}
}

// UpdateFromList processes a reading of the platform's list. It adds unknown VMs.
// A VM that is missing from the list keeps its state.
func (t *Table) UpdateFromList(now time.Duration, states map[api.VMID]ListState) {
	for vm, state := range states {
		p := t.getOrAdd(now, vm)
		if p == nil {
			continue
		}
		if p.listed != state {
			p.listed, p.listedSince = state, now
		}
		p.checkGone(now, t.cfg)
	}
}

// Tick updates the states to now and returns the changes since the last Tick, by
// VM ID. States can be out of date until Tick is called.
func (t *Table) Tick(now time.Duration) []Change {
	var changes []Change
	for _, p := range t.sorted {
		p.update(now, t.cfg)
		if p.state != p.reported {
			changes = append(changes, Change{VM: p.id, Incarnation: p.incarnation, From: p.reported, To: p.state})
			p.reported = p.state
		}
	}
	return changes
}

// State returns the state of a VM as of the last call of Tick, HandleHeartbeat or
// UpdateFromList. The state of this VM itself is alive.
func (t *Table) State(vm api.VMID) State {
	if vm == t.self {
		return Alive
	}
	if p := t.peers[vm]; p != nil {
		return p.state
	}
	return ""
}

// Gone reports whether the list has reported the VM as gone and no heartbeat of a
// new incarnation arrived since. A VM that was never listed is not gone.
func (t *Table) Gone(vm api.VMID) bool {
	p := t.peers[vm]
	return p != nil && p.gone
}

// Incarnation returns the incarnation of the last heartbeat, or an empty one.
func (t *Table) Incarnation(vm api.VMID) api.Incarnation {
	if p := t.peers[vm]; p != nil {
		return p.incarnation
	}
	return ""
}

// Reachable returns, by ID, the VMs with a heartbeat within Config.SuspectAfter,
// to be sent in this VM's own heartbeats.
func (t *Table) Reachable(now time.Duration) []api.VMID {
	out := make([]api.VMID, 0, len(t.sorted))
	for _, p := range t.sorted {
		if p.reachable(now, t.cfg) {
			out = append(out, p.id)
		}
	}
	return out
}

// HasMajority reports whether more than half of the known VMs, including this
// one, are reachable. Dead VMs count as known unless they are gone, so that a
// partitioned minority never counts as a majority. The confirmation of a
// configuration follows another rule: gone VMs count there, and VMs that have
// restarted without the store do not (section 8 of the design page).
func (t *Table) HasMajority(now time.Duration) bool {
	known, reachable := 1, 1
	for _, p := range t.sorted {
		if p.gone {
			continue
		}
		known++
		if p.reachable(now, t.cfg) {
			reachable++
		}
	}
	return 2*reachable > known
}

// VMs returns all known VMs except this one, by ID.
func (t *Table) VMs() []api.VMID {
	out := make([]api.VMID, len(t.sorted))
	for i, p := range t.sorted {
		out[i] = p.id
	}
	return out
}
