package capacity

// The users' numbers, from sections 1.2, 1.3 and 1.4 of docs/design.md.
const (
	targetNodes      = 13_000
	targetRegions    = 4
	targetDomains    = 9
	targetKeys       = 11e9
	targetHotKeys    = 650
	targetRequests   = 86e6 // a second
	targetChanges    = 52_000
	targetReplaced   = 790
	targetFailed     = 21
	limitCore        = 0.026
	limitMemory      = 32e6
	limitBytes       = 29e3
	limitChange      = 9.0 // seconds
	limitLoss        = 2.0 // seconds
	limitStoreReads  = 2000.0
	limitStoreWrites = 300.0 // "several hundred"; section 1.6 uses 300
	upstreamConns    = 50    // the lesser of the two deployments
	secondsPerDay    = 86_400.0
	cutOffSeconds    = 3600.0

	// The deployment of today from which the numbers of upstreams, ranges and
	// shards per node are scaled: Élezőközösség.
	vmsToday              = 12
	keyedUpstreamsToday   = 25
	unkeyedUpstreamsToday = 8
	keyedShardsProjected  = 4
	unkeyedShardsToday    = 1
	slotsToday            = 2
	defaultRanges         = 1024
)

// Target is a deployment of the target size.
type Target struct {
	Name                  string
	VMs, Upstreams, Keyed float64
	Ranges, Shards        float64
}

const upstreamsToday = keyedUpstreamsToday + unkeyedUpstreamsToday

func newTarget(name string, vms float64) Target {
	scale := vms / vmsToday
	return Target{
		Name: name, VMs: vms, Upstreams: scale * upstreamsToday, Keyed: scale * keyedUpstreamsToday,
		Ranges: scale * defaultRanges, Shards: scale * (keyedShardsProjected + unkeyedShardsToday),
	}
}

// targets returns the deployment of today and the two readings of "13,000 nodes".
func targets() []Target {
	return []Target{
		newTarget("today: 12 VMs", vmsToday),
		newTarget("A: every node is an entry VM", targetNodes),
		newTarget("B: nodes divided as today", targetNodes*float64(vmsToday)/(vmsToday+upstreamsToday)),
	}
}
