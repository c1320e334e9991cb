package election

import "time"

// Capacity is how much of a granter's work a VM can do, in processor cores. 0 means that it is
// not known.
type Capacity float64

const (
	// linkPerCore is the link bandwidth that a granter uses for each core, in Mbit/s: it sends
	// each change of owners to all VMs.
	linkPerCore = 50
	// capacityStep is the ratio of capacities from which a granter yields to another VM. A move
	// of the term delays renewals, so small differences are not worth one.
	capacityStep = 2
	// maxCampaignDelay is how long VMs of small capacity leave a vacant or stale lease to those
	// of a larger one. Leases of keys last longer than that and the age of a stale lease.
	maxCampaignDelay = 250 * time.Millisecond
)

// NewCapacity returns the capacity of a VM with a number of cores and a link in Mbit/s. A link
// of 0 is not known, and not counted.
func NewCapacity(cores, linkMbps float64) Capacity {
	if linkMbps <= 0 {
		return Capacity(max(cores, 0))
	}
	return Capacity(max(min(cores, linkMbps/linkPerCore), 0))
}

// YieldsTo reports whether a granter of capacity c should name a VM of another capacity as its
// successor. A chain of successors has an end: each has a multiple of the capacity of the one
// before it.
func (c Capacity) YieldsTo(other Capacity) bool { return c > 0 && other >= capacityStep*c }

// CampaignDelay returns how long a VM of capacity c waits before it takes a lease over, when
// largest is the largest capacity known among the VMs.
func (c Capacity) CampaignDelay(largest Capacity) time.Duration {
	if c.YieldsTo(largest) {
		return maxCampaignDelay
	}
	return 0
}
