package placement

import (
	"cmp"
	"slices"

	"dandelionhill.dev/api"
)

// memberCount is the number of members of a shard. Two of three grant authority
// over it.
const memberCount = 3

// VM is an entry VM that can be a member of a shard.
type VM struct {
	ID     api.VMID
	Domain api.FailureDomain
}

// Members returns the members of a shard, the preferred holder first. They are
// in different failure domains where possible. The shards of a service with
// lower indexes are placed first, so that no VM becomes a member of a second shard
// before the others are members of one, as far as failure domains allow.
func Members(shard api.ShardID, vms []VM) []api.VMID {
	m := newMemberChooser(vms)
	var chosen []api.VMID
	for i := 0; i <= shard.Index; i++ {
		chosen = m.choose(api.ShardID{Service: shard.Service, Index: i})
	}
	return chosen
}

// AllMembers returns the members of several shards, balanced over all VMs in the
// order of the shards. It takes one pass, where Members repeats that of all shards
// with lower indexes.
func AllMembers(shards []api.ShardID, vms []VM) [][]api.VMID {
	m := newMemberChooser(vms)
	all := make([][]api.VMID, len(shards))
	for i, shard := range shards {
		all[i] = m.choose(shard)
	}
	return all
}

// Replacement returns the VM that replaces a member that is gone. The other members
// stay. ok is false if no other VM is available.
func Replacement(shard api.ShardID, members []api.VMID, gone api.VMID, vms []VM) (vm api.VMID, ok bool) {
	m := newMemberChooser(slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return v.ID == gone }))
	domains := map[api.FailureDomain]int{}
	taken := map[api.VMID]bool{}
	for _, v := range m.vms {
		if slices.Contains(members, v.ID) {
			taken[v.ID] = true
			domains[v.Domain]++
		}
	}
	best := m.best(shard, taken, domains)
	if best < 0 {
		return "", false
	}
	return m.vms[best].ID, true
}

// memberChooser chooses members and counts the memberships of each VM.
type memberChooser struct {
	vms         []VM // by ID
	memberships []int
	preferred   []int // memberships as preferred holder
}

func newMemberChooser(vms []VM) *memberChooser {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(x, y VM) int { return cmp.Compare(x.ID, y.ID) })
	sorted = slices.CompactFunc(sorted, func(x, y VM) bool { return x.ID == y.ID })
	return &memberChooser{vms: sorted, memberships: make([]int, len(sorted)), preferred: make([]int, len(sorted))}
}

// choose chooses the members of one shard and counts their memberships.
func (m *memberChooser) choose(shard api.ShardID) []api.VMID {
	taken := map[api.VMID]bool{}
	domains := map[api.FailureDomain]int{}
	var chosen []api.VMID
	for len(chosen) < memberCount {
		best := m.best(shard, taken, domains)
		if best < 0 {
			break
		}
		vm := m.vms[best]
		taken[vm.ID] = true
		domains[vm.Domain]++
		m.memberships[best]++
		if len(chosen) == 0 {
			m.preferred[best]++
		}
		chosen = append(chosen, vm.ID)
	}
	return chosen
}

// best returns the position of the VM for the next membership, or -1. In this order
// it prefers a failure domain not yet used, the fewest memberships as preferred
// holder (for the first member, because holders forward all requests), the fewest
// memberships, and the highest rendezvous score.
func (m *memberChooser) best(shard api.ShardID, taken map[api.VMID]bool, domains map[api.FailureDomain]int) int {
	best, bestScore := -1, uint64(0)
	for i, vm := range m.vms {
		if taken[vm.ID] {
			continue
		}
		s := score(shard.String(), string(vm.ID))
		if best >= 0 {
			byPreferred := 0
			if len(taken) == 0 {
				byPreferred = cmp.Compare(m.preferred[i], m.preferred[best])
			}
			if cmp.Or(
				cmp.Compare(domains[vm.Domain], domains[m.vms[best].Domain]),
				byPreferred,
				cmp.Compare(m.memberships[i], m.memberships[best]),
				cmp.Compare(bestScore, s),
			) >= 0 {
				continue
			}
		}
		best, bestScore = i, s
	}
	return best
}
