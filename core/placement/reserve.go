package placement

import (
	"slices"

	"dandelionhill.dev/api"
)

// LargestDomain returns the failure domain with the most usable capacity, and the
// usable capacity of all other domains. The capacity of active and cold upstreams is
// usable. Of domains of equal capacity, the first by name is returned.
func LargestDomain(ups []Upstream) (largest api.FailureDomain, others float64) {
	capacity := map[api.FailureDomain]float64{}
	var names []api.FailureDomain
	for _, up := range ups {
		if !up.State.mayOwn() || up.Capacity <= 0 {
			continue
		}
		if _, known := capacity[up.Domain]; !known {
			names = append(names, up.Domain)
		}
		capacity[up.Domain] += up.Capacity
	}
	slices.Sort(names)
	for _, name := range names {
		if capacity[name] > capacity[largest] {
			largest = name
		}
	}
	for _, name := range names {
		if name != largest {
			others += capacity[name]
		}
	}
	return largest, others
}

// FitsWithoutLargestDomain reports whether a load, in the unit of the upstreams'
// capacity, still fits after the loss of the largest failure domain.
func FitsWithoutLargestDomain(ups []Upstream, load float64) bool {
	_, others := LargestDomain(ups)
	return load <= others
}
