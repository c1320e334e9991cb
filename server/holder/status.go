package holder

import (
	"fmt"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
)

// Status describes a shard to operators.
type Status struct {
	Shard      api.ShardID      `cbor:"1,keyasint"`
	Fence      api.Fence        `cbor:"2,keyasint"`
	Upstreams  []UpstreamStatus `cbor:"3,keyasint"`
	Assignment wire.Assign      `cbor:"4,keyasint"`
}

// UpstreamStatus describes an upstream to operators.
type UpstreamStatus struct {
	ID          api.UpstreamID  `cbor:"1,keyasint"`
	State       string          `cbor:"2,keyasint"`
	Incarnation api.Incarnation `cbor:"3,keyasint"`
	InFlight    int             `cbor:"4,keyasint"`
	Limit       int             `cbor:"5,keyasint"`
	Queued      int             `cbor:"6,keyasint"`
	Ranges      int             `cbor:"7,keyasint"`
}

// Status returns the current state of the shard.
func (s *Shard) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	status := Status{Shard: s.cfg.ID, Fence: s.cfg.Fence, Assignment: s.assignment()}
	owned := map[api.UpstreamID]int{}
	for _, r := range s.ranges.all() {
		owned[r.owner]++
	}
	for id, up := range s.upstreams {
		status.Upstreams = append(status.Upstreams, UpstreamStatus{
			ID: id, State: string(s.placementState(now, up)), Incarnation: up.incarnation,
			InFlight: len(up.running), Limit: up.ramp.Limit(now, s.warmLimit()), Queued: s.queue.QueuedFor(id), Ranges: owned[id],
		})
	}
	return status
}

// Owner returns the owner of a key with the ordinary range rangeNum, and the
// reason.
func (s Status) Owner(key string, rangeNum int) (api.UpstreamID, string) {
	hot := ""
	index := int16(-1)
	if i := rangeNum - s.Assignment.First; i >= 0 && i < len(s.Assignment.Owners) {
		index = s.Assignment.Owners[i]
	}
	for _, h := range s.Assignment.Hot {
		if h.Key == key {
			index, hot = h.Owner, fmt.Sprintf("the key is hot and has range %d of its own; ", h.Range)
		}
	}
	if index < 0 || int(index) >= len(s.Assignment.Upstreams) {
		return "", hot + "no upstream can take it, or it has just been placed"
	}
	owner := s.Assignment.Upstreams[index]
	for _, u := range s.Upstreams {
		if u.ID == owner {
			return owner, hot + fmt.Sprintf("it is %s and owns %d ranges of the shard (assignment %d)", u.State, u.Ranges, s.Assignment.Seq)
		}
	}
	return owner, hot + "it owned the range before it left the configuration"
}
