package shardmap

import (
	"time"

	"dandelionhill.dev/api"
)

// DefaultClaimExpiry is the time after which a claim that is not repeated in
// heartbeats expires. It equals the time after which a VM without heartbeats is
// dead, and is longer than a takeover takes.
const DefaultClaimExpiry = 3 * time.Second

// Holders tracks the holder of each shard by the claims in the heartbeats of VMs. A
// wrong result costs a refusal (not_holder) and a retry, but never lets two VMs act
// as holder.
type Holders struct {
	expiry time.Duration
	claims map[api.ShardID]claim
	byVM   map[api.VMID][]api.ShardID // shards claimed by each VM
}

// claim is the claim with the highest fence for a shard.
type claim struct {
	vm        api.VMID
	fence     api.Fence
	claimedAt time.Duration
	withdrawn bool
}

// NewHolders returns Holders without claims. Claims expire after the given time.
func NewHolders(expiry time.Duration) *Holders {
	return &Holders{expiry: expiry, claims: map[api.ShardID]claim{}, byVM: map[api.VMID][]api.ShardID{}}
}

// RecordClaims records the shards that a VM claims in one heartbeat. A shard that
// the VM claimed before and no longer lists is withdrawn.
func (h *Holders) RecordClaims(now time.Duration, vm api.VMID, held map[api.ShardID]api.Fence) {
	for _, shard := range h.byVM[vm] {
		if _, still := held[shard]; !still {
			h.withdraw(shard, vm)
		}
	}
	mine := h.byVM[vm][:0]
	for shard, fence := range held {
		c, known := h.claims[shard]
		// A lower fence is that of a former holder. It is accepted only when the
		// higher one has expired.
		if known && fence < c.fence && now-c.claimedAt < h.expiry {
			continue
		}
		h.claims[shard] = claim{vm: vm, fence: fence, claimedAt: now}
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

// withdraw ends a claim but keeps its fence, so that a delayed claim of a former
// holder is not accepted.
func (h *Holders) withdraw(shard api.ShardID, vm api.VMID) {
	if c := h.claims[shard]; c.vm == vm {
		c.withdrawn = true
		h.claims[shard] = c
	}
}

// Holder returns the VM with the highest fence for a shard. ok is false if there is
// no claim, or the claim was withdrawn or has expired.
func (h *Holders) Holder(now time.Duration, shard api.ShardID) (vm api.VMID, fence api.Fence, ok bool) {
	c, known := h.claims[shard]
	if !known || c.withdrawn || now-c.claimedAt >= h.expiry {
		return "", 0, false
	}
	return c.vm, c.fence, true
}
