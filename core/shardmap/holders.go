package shardmap

import (
	"time"

	"dandelionhill.dev/api"
)

// DefaultClaimExpiry is the time after which a claim that is not repeated in
// heartbeats counts no longer. It equals the time after which a silent VM is
// dead, and is longer than a takeover takes.
const DefaultClaimExpiry = 3 * time.Second

// Holders chooses the holder of each shard from the claims that VMs make in
// their heartbeats. A wrong choice costs a refusal (not_holder) and a repeat; it
// never lets two VMs act.
type Holders struct {
	expiry time.Duration
	claims map[api.ShardID]claim
	byVM   map[api.VMID][]api.ShardID // shards whose claim is the VM's
}

// claim is the claim with the highest fence that was heard for a shard.
type claim struct {
	vm        api.VMID
	fence     api.Fence
	heard     time.Duration
	withdrawn bool
}

// NewHolders returns an empty view. Claims expire after the given time.
func NewHolders(expiry time.Duration) *Holders {
	return &Holders{expiry: expiry, claims: map[api.ShardID]claim{}, byVM: map[api.VMID][]api.ShardID{}}
}

// RecordClaims takes the shards that a VM says it holds, from one heartbeat. A shard
// that the VM claimed before and no longer lists is withdrawn.
func (h *Holders) RecordClaims(now time.Duration, vm api.VMID, held map[api.ShardID]api.Fence) {
	for _, shard := range h.byVM[vm] {
		if _, still := held[shard]; !still {
			h.withdraw(shard, vm)
		}
	}
	mine := h.byVM[vm][:0]
	for shard, fence := range held {
		c, known := h.claims[shard]
		// A lower fence is that of a former holder. It counts again only when
		// the higher one has expired.
		if known && fence < c.fence && now-c.heard < h.expiry {
			continue
		}
		h.claims[shard] = claim{vm: vm, fence: fence, heard: now}
		mine = append(mine, shard)
	}
	if len(mine) == 0 {
		delete(h.byVM, vm)
		return
	}
	h.byVM[vm] = mine
}

// Forget withdraws all claims of a VM, for example because it is dead.
func (h *Holders) Forget(vm api.VMID) {
	for _, shard := range h.byVM[vm] {
		h.withdraw(shard, vm)
	}
	delete(h.byVM, vm)
}

// withdraw ends a claim but keeps its fence, so that a delayed claim of a
// former holder is not taken up.
func (h *Holders) withdraw(shard api.ShardID, vm api.VMID) {
	if c := h.claims[shard]; c.vm == vm {
		c.withdrawn = true
		h.claims[shard] = c
	}
}

// Holder returns the VM with the highest fence for a shard. ok is false if no
// claim is known, or the latest one has been withdrawn or has expired.
func (h *Holders) Holder(now time.Duration, shard api.ShardID) (vm api.VMID, fence api.Fence, ok bool) {
	c, known := h.claims[shard]
	if !known || c.withdrawn || now-c.heard >= h.expiry {
		return "", 0, false
	}
	return c.vm, c.fence, true
}
