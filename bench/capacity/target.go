package capacity

// The users' numbers, from sections 1.2, 1.3 and 1.4 of docs/design.md.
const (
	targetNodes               = 13_000
	targetRegions             = 4
	targetDomains             = 9
	targetKeys                = 11e9
	targetHotKeys             = 650
	targetRequestsPerSecond   = 86e6
	targetChangesPerDay       = 52_000
	targetReplacedPerDay      = 790
	targetFailedPerDay        = 21
	limitCores                = 0.026
	limitMemoryBytes          = 32e6
	limitBytesPerSecond       = 29e3
	limitChangeSeconds        = 9.0
	limitLossSeconds          = 2.0
	limitStoreReadsPerSecond  = 2000.0
	limitStoreWritesPerSecond = 300.0 // "several hundred"; section 1.6 uses 300
	connsPerUpstream          = 50    // the lesser of the two deployments
	secondsPerDay             = 86_400.0
	cutOffSeconds             = 3600.0

	// The deployment of today, Élezőközösség, from which the numbers of upstreams,
	// ranges and shards per node are scaled.
	vmsToday              = 12
	keyedUpstreamsToday   = 25
	unkeyedUpstreamsToday = 8
	keyedShardsProjected  = 4
	unkeyedShardsToday    = 1
	slotsToday            = 2
	defaultRanges         = 1024
)

// Target is the size of a deployment for which quantities are computed.
type Target struct {
	Name                           string
	VMs, Upstreams, KeyedUpstreams float64
	Ranges, Shards                 float64
}

const upstreamsToday = keyedUpstreamsToday + unkeyedUpstreamsToday

func newTarget(name string, vms float64) Target {
	scale := vms / vmsToday
	return Target{
		Name: name, VMs: vms, Upstreams: scale * upstreamsToday, KeyedUpstreams: scale * keyedUpstreamsToday,
		Ranges: scale * defaultRanges, Shards: scale * (keyedShardsProjected + unkeyedShardsToday),
	}
}

// targets returns the deployment of today and two interpretations, A and B, of
// "13,000 nodes".
func targets() []Target {
	return []Target{
		newTarget("today: 12 VMs", vmsToday),
		newTarget("A: every node is an entry VM", targetNodes),
		newTarget("B: nodes divided as today", targetNodes*float64(vmsToday)/(vmsToday+upstreamsToday)),
	}
}
