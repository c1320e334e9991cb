// Package placement simulates the placement planner in virtual time and compares
// it with hash modulo and consistent hashing, for the keyed services of the two
// deployments of section 1.2 of the design page.
package placement

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/shardmap"
)

const (
	rangeCount = 1024
	shardCount = 1
	// keysPerUpstream is the number of keys per node at the target scale of
	// section 1.3. With far fewer keys the hottest one alone would exceed the
	// imbalance bound on any upstream.
	keysPerUpstream = 11e9 / 13_000
	// popularKeys is the number of keys modelled individually. The rest form as
	// many groups of equal size, each with the hash of one key.
	popularKeys = 100_000
	keyCount    = 2 * popularKeys
	// zipfExponent is the skew of the popularity of keys.
	zipfExponent = 0.9
	// utilization is the offered load over the capacity with all domains in.
	utilization = 0.6
	// requestsPerSlot is the number of requests per second that a busy slot
	// serves. It determines the noise in the measured load of a range.
	requestsPerSlot = 400
	// hotKeyCount keys at a time each have hotKeyLoad times the mean load of an
	// upstream. Other keys become hot every hotKeyPeriodSeconds.
	hotKeyCount         = 12
	hotKeyLoad          = 0.3
	hotKeyPeriodSeconds = 120
	oneHotKeyLoad       = 0.9
)

// deployment is a keyed service of section 1.2.
type deployment struct {
	name      string
	service   api.ServiceName
	domains   []api.FailureDomain
	upstreams int
	slots     float64
}

func deployments() []deployment {
	return []deployment{
		{"elezokozosseg", "foglalas", []api.FailureDomain{"gyor-a", "papa-b", "sopron-c", "tata-d"}, 25, 2},
		{"hooghly", "trayhouse", []api.FailureDomain{"howrah", "sealdah", "barasat"}, 30, 3},
	}
}

func (d deployment) newUpstreams() []placement.Upstream {
	ups := make([]placement.Upstream, d.upstreams)
	for i := range ups {
		ups[i] = placement.Upstream{
			ID:     api.UpstreamID(fmt.Sprintf("%s-%02d", d.service, i)),
			Domain: d.domains[i%len(d.domains)], Capacity: d.slots, State: placement.Active,
		}
	}
	return ups
}

// keyLoad is the distribution of the load over keys.
type keyLoad string

const (
	uniform keyLoad = "uniform"
	zipf    keyLoad = "zipf"
	hotKeys keyLoad = "hot_keys"
	// oneHotKey is zipf plus a single key with oneHotKeyLoad times the mean load
	// of an upstream.
	oneHotKey keyLoad = "one_hot_key"
)

// key is a key with its expected demand in busy slots.
type key struct {
	name   string
	hash   uint64
	demand float64
}

// newKeys returns keys whose demands sum to total.
func newKeys(load keyLoad, upstreams int, total float64, rng *rand.Rand) []key {
	keys := make([]key, keyCount)
	salt := rng.Uint64()
	group := (keysPerUpstream*float64(upstreams) - popularKeys) / popularKeys
	sum := 0.0
	for i := range keys {
		name := fmt.Sprintf("key-%x-%d", salt, i)
		keys[i] = key{name: name, hash: xxhash.Sum64String(name), demand: 1}
		switch {
		case load == uniform:
		case i < popularKeys:
			keys[i].demand = math.Pow(float64(i+1), -zipfExponent)
		default:
			middle := popularKeys + group*(float64(i-popularKeys)+0.5)
			keys[i].demand = group * math.Pow(middle, -zipfExponent)
		}
		sum += keys[i].demand
	}
	for i := range keys {
		keys[i].demand *= total / sum
	}
	return keys
}

// makeHot sets the demand of count unpopular keys, chosen at random.
func makeHot(keys []key, count int, demand float64, rng *rand.Rand) {
	for range count {
		keys[popularKeys/2+rng.IntN(popularKeys/2)].demand = demand
	}
}

// poisson draws a number of arrivals from a Poisson distribution.
func poisson(mean float64, rng *rand.Rand) float64 {
	if mean > 50 { // normal approximation
		return max(0, math.Round(mean+math.Sqrt(mean)*rng.NormFloat64()))
	}
	limit, product, n := math.Exp(-mean), rng.Float64(), 0.0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

// rangeDemand returns the expected demand of each range, hot ranges included.
func rangeDemand(keys []key, hot map[string]int) map[int]float64 {
	demand := make(map[int]float64, rangeCount+len(hot))
	table := shardmap.New("", rangeCount, nil, hot)
	for _, k := range keys {
		demand[table.Range(k.name)] += k.demand
	}
	return demand
}
