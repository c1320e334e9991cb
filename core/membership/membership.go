// Package membership keeps one VM's view of the other entry VMs, from their
// heartbeats and from the platform's list, which lags.
//
// Safety never depends on this view; it chooses routes, members of shards and
// the order of takeovers. The one exception is Gone, which authority uses: it
// is true only for an incarnation that the list has reported as gone.
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
	// Alive VMs are heard.
	Alive State = "alive"
	// Suspect VMs have not been heard for Config.SuspectAfter, or not regularly
	// since then.
	Suspect State = "suspect"
	// Unreachable VMs are heard by others but not by this VM.
	Unreachable State = "unreachable"
	// Dead VMs are heard by nobody, or listed as gone.
	Dead State = "dead"
	// Leaving VMs are stopping by plan.
	Leaving State = "leaving"
)

// ListState is the state of a VM in the platform's list.
type ListState string

const (
	// ListLive is a running VM.
	ListLive ListState = "live"
	// ListLeaving is a VM that will be stopped.
	ListLeaving ListState = "leaving"
	// ListGone is a VM that ran and runs no more.
	ListGone ListState = "gone"
)

// Heartbeat is what a VM tells all others about itself.
type Heartbeat struct {
	From        api.VMID
	Incarnation api.Incarnation
	Leaving     bool
	Reachable   []api.VMID // the VMs that the sender hears
}

// Config has the intervals of section 6 of the design page.
type Config struct {
	HeartbeatEvery time.Duration
	SuspectAfter   time.Duration
	DeadAfter      time.Duration
	// RecoverAfter is the number of consecutive heartbeats that make a suspect
	// VM alive again. It prevents flapping when messages are lost in one
	// direction.
	RecoverAfter int
	// ListLag bounds how old the platform's list may be. A report does not
	// count against an incarnation that was first heard within this time,
	// because it may still be about the one before.
	ListLag time.Duration
}

// DefaultConfig returns the intervals of the design page. The page does not
// bound the lag of the list; 10 s is ten intervals of reading it.
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
	Incarnation api.Incarnation // empty if the VM was never heard
	From, To    State
}

// Table is the view of one VM. It is not safe for concurrent use.
type Table struct {
	self  api.VMID
	cfg   Config
	peers map[api.VMID]*peer
	order []*peer // by ID
}

// New returns a view in which the peers are known but have not been heard. They
// count as suspect until they are heard, or dead after Config.DeadAfter.
func New(self api.VMID, cfg Config, peers []api.VMID) *Table {
	t := &Table{self: self, cfg: cfg, peers: make(map[api.VMID]*peer, len(peers))}
	for _, vm := range peers {
		t.learn(0, vm)
	}
	return t
}

// learn returns the entry of a VM, adding it if needed.
func (t *Table) learn(now time.Duration, vm api.VMID) *peer {
	if p := t.peers[vm]; p != nil || vm == t.self {
		return p
	}
	p := &peer{id: vm, state: Suspect, reported: Suspect, lastHeard: now, vouched: never}
	t.peers[vm] = p
	at, _ := slices.BinarySearchFunc(t.order, p, func(x, y *peer) int { return cmp.Compare(x.id, y.id) })
	t.order = slices.Insert(t.order, at, p)
	return p
}

// HandleHeartbeat takes a heartbeat. It adds a sender that was not known.
func (t *Table) HandleHeartbeat(now time.Duration, hb Heartbeat) {
	p := t.learn(now, hb.From)
	if p == nil || !p.heard(now, hb, t.cfg) {
		return
	}
	for _, vm := range hb.Reachable {
		if other := t.peers[vm]; other != nil && other != p {
			other.vouched = now
		}
	}
}

// UpdateFromList takes a reading of the platform's list. It adds VMs that were not
// known. A VM that the list does not name keeps its state.
func (t *Table) UpdateFromList(now time.Duration, states map[api.VMID]ListState) {
	for vm, state := range states {
		p := t.learn(now, vm)
		if p == nil {
			continue
		}
		if p.listed != state {
			p.listed, p.listedSince = state, now
		}
		p.checkGone(now, t.cfg)
	}
}

// Tick updates the states for the time that has passed and returns the changes
// since the last Tick in the order of VM IDs. A state can lag behind until Tick
// is called.
func (t *Table) Tick(now time.Duration) []Change {
	var changes []Change
	for _, p := range t.order {
		p.update(now, t.cfg)
		if p.state != p.reported {
			changes = append(changes, Change{VM: p.id, Incarnation: p.incarnation, From: p.reported, To: p.state})
			p.reported = p.state
		}
	}
	return changes
}

// State returns the state of a VM as of the last call of Tick, HandleHeartbeat or UpdateFromList.
// A VM sees itself as alive.
func (t *Table) State(vm api.VMID) State {
	if vm == t.self {
		return Alive
	}
	if p := t.peers[vm]; p != nil {
		return p.state
	}
	return ""
}

// Gone reports whether the list has reported the VM as gone and no new
// incarnation has been heard since. A VM that was never listed is not gone.
func (t *Table) Gone(vm api.VMID) bool {
	p := t.peers[vm]
	return p != nil && p.gone
}

// Incarnation returns the last incarnation heard, or an empty one.
func (t *Table) Incarnation(vm api.VMID) api.Incarnation {
	if p := t.peers[vm]; p != nil {
		return p.incarnation
	}
	return ""
}

// Reachable returns the VMs heard within Config.SuspectAfter, in the order of IDs,
// for this VM's own heartbeats.
func (t *Table) Reachable(now time.Duration) []api.VMID {
	out := make([]api.VMID, 0, len(t.order))
	for _, p := range t.order {
		if p.hearing(now, t.cfg) {
			out = append(out, p.id)
		}
	}
	return out
}

// HasMajority reports whether this VM hears more than half of the known VMs,
// itself included. Dead VMs count as known unless they are gone: a minority
// cut off from the others must not take itself for all that is left.
// A configuration is not confirmed by this rule: gone VMs count there, and VMs
// that have restarted without the store do not (section 8 of the design page).
func (t *Table) HasMajority(now time.Duration) bool {
	known, heard := 1, 1
	for _, p := range t.order {
		if p.gone {
			continue
		}
		known++
		if p.hearing(now, t.cfg) {
			heard++
		}
	}
	return 2*heard > known
}

// VMs returns all known VMs except this one, in the order of IDs.
func (t *Table) VMs() []api.VMID {
	out := make([]api.VMID, len(t.order))
	for i, p := range t.order {
		out[i] = p.id
	}
	return out
}
