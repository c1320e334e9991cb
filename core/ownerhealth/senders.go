package ownerhealth

import (
	"maps"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/ownership"
)

const (
	// vmWindow is the time constant of the counts of a VM, vmTTL how long it counts without reports.
	vmWindow, vmTTL = 3 * time.Second, 5 * time.Second
	// minVMsForMajority is the number of VMs from which the reports of a single VM are not enough.
	minVMsForMajority = 3
	// A VM is suspect if at least suspectShare of its sends fail, at suspectUpstreams or more, and
	// that is suspectFactor times the share of the other VMs.
	suspectShare, suspectUpstreams, suspectFactor = 0.4, 3, 3
	// requestTTL is how long a failed request is remembered, maxRequests bounds their number.
	requestTTL, maxRequests = 30 * time.Second, 8192
)

// vmState is what a VM has reported of all upstreams.
type vmState struct {
	reportedAt        time.Duration
	succeeded, failed decaying
	// failedAt is when it last reported a failure of an upstream.
	failedAt map[ownership.Owner]time.Duration
}

func (m *Monitor) vm(id api.VMID) *vmState {
	v := m.vms[id]
	if v == nil {
		v = &vmState{failedAt: make(map[ownership.Owner]time.Duration)}
		m.vms[id] = v
	}
	return v
}

// suspects returns the VMs whose failures are their own: they fail at many upstreams that do not
// fail for others.
func (m *Monitor) suspects(now time.Duration) map[api.VMID]bool {
	total, failed := 0.0, 0.0
	for _, v := range m.vms {
		f := v.failed.read(now, vmWindow)
		total, failed = total+f+v.succeeded.read(now, vmWindow), failed+f
	}
	var suspects map[api.VMID]bool
	for id, v := range m.vms {
		maps.DeleteFunc(v.failedAt, func(_ ownership.Owner, at time.Duration) bool { return now-at > vmWindow })
		own := v.failed.value
		if len(v.failedAt) < suspectUpstreams || own < suspectShare*(own+v.succeeded.value) {
			continue
		}
		others := (failed - own) / max(total-own-v.succeeded.value, 1)
		if own/(own+v.succeeded.value) >= suspectFactor*others {
			if suspects == nil {
				suspects = make(map[api.VMID]bool)
			}
			suspects[id] = true
		}
	}
	return suspects
}

// failedRequest is a request that has failed.
type failedRequest struct {
	owner ownership.Owner
	at    time.Duration
	// elsewhere means that it has failed at another upstream too.
	elsewhere bool
}

// requests holds the requests that have failed, by fingerprint.
type requests map[uint64]failedRequest

// blame records a failure and reports whether the request is its cause: it has failed at another
// upstream too.
func (r requests) blame(now time.Duration, fingerprint uint64, owner ownership.Owner) bool {
	if fingerprint == 0 {
		return false
	}
	known, ok := r[fingerprint]
	if !ok && len(r) >= maxRequests {
		return false
	}
	if !ok || now-known.at > requestTTL {
		known = failedRequest{owner: owner}
	}
	known.at, known.elsewhere = now, known.elsewhere || known.owner.UpstreamID != owner.UpstreamID
	r[fingerprint] = known
	return known.elsewhere
}

func (r requests) expire(now time.Duration) {
	maps.DeleteFunc(r, func(_ uint64, f failedRequest) bool { return now-f.at > requestTTL })
}
