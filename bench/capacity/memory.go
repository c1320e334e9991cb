package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/google/uuid"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/dedup"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/core/membership"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/ramp"
	"dandelionhill.dev/core/shardmap"
)

// rangesPerUpstream is the ratio of section 1.2: 1,024 ranges, 25 upstreams.
const rangesPerUpstream = float64(defaultRanges) / keyedUpstreamsToday

func memoryMeasurements() []Measurement {
	measureHeap := func(build func(n int) any) func(int) (float64, error) {
		return func(n int) (float64, error) { return heapBytes(func() any { return build(n) }), nil }
	}
	return []Measurement{
		{"mem_plan_range", "B per range", "placement: planner and its input", largeSizes, measureHeap(planState)},
		{"mem_assign_range", "B per range", "witness: decoded wire.Assign", largeSizes, func(n int) (float64, error) {
			data, err := wire.Encode(wire.TypeAssign, 0, assignment(n))
			if err != nil {
				return 0, err
			}
			used := heapBytes(func() any { return decodeAssign(data) })
			runtime.KeepAlive(data)
			return used, nil
		}},
		{"mem_hot_key", "B per hot key", "placement.HotKeys and shardmap.Table", []int{10, 100, 1000, 10_000}, measureHeap(hotKeyState)},
		{"mem_peer", "B per peer", "membership.Table after one heartbeat of each peer", largeSizes, measureHeap(membershipTable)},
		{"mem_holder_shard", "B per shard", "shardmap.Holders and shardmap.Table", largeSizes, measureHeap(shardMapState)},
		{"mem_upstream", "B per upstream", "lease.Table, ramp.Ramp, dispatch.Queue", largeSizes, measureHeap(upstreamState)},
		{"mem_request_id", "B per request ID", "dedup.Table, answers of 100 B", []int{1000, 10_000, 100_000, 1_000_000}, measureHeap(dedupTable)},
		{"mem_document_upstream", "B per upstream", "decoded config.Document", largeSizes, func(n int) (float64, error) {
			data, err := config.Encode(document(n))
			if err != nil {
				return 0, err
			}
			used := heapBytes(func() any {
				doc, err := config.Decode(data)
				if err != nil {
					panic(err)
				}
				return doc
			})
			runtime.KeepAlive(data)
			return used, nil
		}},
	}
}

func planInput(n int) placement.Input {
	ups := max(2, int(float64(n)/rangesPerUpstream))
	in := placement.Input{Owners: make(map[int]api.UpstreamID, n), Load: make(map[int]float64, n), Pinned: map[api.UpstreamID]bool{}}
	for i := range ups {
		in.Upstreams = append(in.Upstreams, placement.Upstream{
			ID: upstreamID(i), Domain: api.FailureDomain(fmt.Sprintf("domain-%d", i%targetDomains)),
			Capacity: 2 * rangesPerUpstream, State: placement.Active,
		})
	}
	for i := range n {
		in.Owners[i] = in.Upstreams[i%ups].ID
		in.Load[i] = 1
	}
	return in
}

func planState(n int) any {
	in := planInput(n)
	planner := &placement.Planner{}
	planner.Plan(0, in, placement.DefaultPolicy())
	return []any{in, planner}
}

// assignment returns the assignment of a shard of n ranges.
func assignment(n int) wire.Assign {
	ups := max(1, int(float64(n)/rangesPerUpstream))
	a := wire.Assign{Shard: shardID(4000), Fence: 5<<24 | 77, Seq: 100, First: 500_000, Owners: make([]int16, n)}
	for i := range ups {
		a.Upstreams = append(a.Upstreams, upstreamID(i))
	}
	for i := range a.Owners {
		a.Owners[i] = int16(i % ups)
	}
	return a
}

func decodeAssign(data []byte) any {
	frame, err := wire.Decode(data)
	if err != nil {
		panic(err)
	}
	a := new(wire.Assign)
	if err := frame.Unpack(a); err != nil {
		panic(err)
	}
	return a
}

func hotKeyState(n int) any {
	hot := make(map[string]int, n)
	for i := range n {
		hot[fmt.Sprintf("key-%010d", i)] = defaultRanges + i
	}
	keys := placement.NewHotKeys(placement.DefaultHotKeyConfig(defaultRanges))
	keys.Restore(0, hot)
	return []any{keys, shardmap.New("foglalas", defaultRanges, nil, hot)}
}

func membershipTable(n int) any {
	table := membership.New("self", membership.DefaultConfig(), vmIDs(n))
	for i := range n {
		table.HandleHeartbeat(time.Second, membership.Heartbeat{From: vmID(i), Incarnation: api.Incarnation(fmt.Sprintf("%08x", i))})
	}
	return table
}

func shardMapState(n int) any {
	holders := shardmap.NewHolders(shardmap.DefaultClaimExpiry)
	spans := make([]placement.Shard, n)
	for i := range n {
		holders.RecordClaims(time.Second, vmID(i), map[api.ShardID]api.Fence{shardID(i): 1 << 24})
		spans[i] = placement.Shard{First: i * defaultRanges, Last: (i+1)*defaultRanges - 1}
	}
	return []any{holders, shardmap.New("foglalas", n*defaultRanges, spans, nil)}
}

func upstreamState(n int) any {
	leases := lease.NewTable(lease.DefaultConfig())
	queue := dispatch.New(dispatch.DefaultConfig())
	ramps := make([]*ramp.Ramp, n)
	limits := make([]dispatch.Limit, n)
	for i := range n {
		renewLease(leases, upstreamID(i), time.Second)
		ramps[i] = ramp.New(ramp.DefaultConfig(), true)
		limits[i] = dispatch.Limit{Upstream: upstreamID(i), InFlight: 2, Open: true}
	}
	queue.SetLimits(limits)
	return []any{leases, queue, ramps}
}

// renewLease makes the lease decisions of one renewal.
func renewLease(leases *lease.Table, up api.UpstreamID, now time.Duration) {
	leases.Observe(up, lease.ClockReading{Incarnation: "0000abcd", Clock: now, SentAt: now, ReceivedAt: now + time.Millisecond})
	if until, ok := leases.Offer(now+time.Millisecond, now+time.Second, up); ok {
		leases.Acknowledge(up, until)
	}
}

func dedupTable(n int) any {
	wall := time.Unix(1_800_000_000, 0)
	table := dedup.New(dedup.DefaultConfig(), wall.Add(-time.Hour))
	for i := range n {
		id := idAt(wall, i)
		if d := table.Begin(wall, id); d.Action != dedup.Run {
			panic(fmt.Sprintf("capacity: request ID %s was refused: %v", id, d.Refusal))
		}
		table.Finish(wall, id, dedup.Result{Outcome: api.Answered, Response: &dedup.Response{
			Status: 200, ContentType: "text/plain", Body: make([]byte, 100),
		}})
	}
	return table
}

// idAt returns the n-th request ID, a UUID version 7, of a point in time.
func idAt(wall time.Time, n int) string {
	var id uuid.UUID
	ms := uint64(wall.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	for i := range 6 {
		id[10+i] = byte(uint64(n) >> (8 * (5 - i)))
	}
	return id.String()
}

// document returns a configuration with n upstreams.
func document(n int) *config.Document {
	doc := &config.Document{Revision: 100_000, Region: "bengal", ActivePreset: "ordinary"}
	for i := range targetDomains {
		doc.FailureDomains = append(doc.FailureDomains, config.FailureDomain{Name: api.FailureDomain(fmt.Sprintf("domain-%d", i))})
	}
	doc.Presets = []config.Preset{{
		Name: "ordinary", QueueLength: 20, SlotFactor: 1, RetryBudget: 0.1, HedgeBudget: 0.05, DomainReserve: 0.25,
		RampStep: 1, ColdStart: 1, MovesPerSecond: 5, RebalanceAbove: 1.15, RebalanceAfter: config.Duration(10 * time.Second),
		DefaultTimeout: config.Duration(2 * time.Second), LameDuck: config.Duration(2 * time.Second),
	}}
	for first := 0; first < n; first += upstreamsPerService {
		doc.Services = append(doc.Services, service(doc, first, min(n, first+upstreamsPerService)))
	}
	for i := range config.MaxOperations {
		doc.Operations = append(doc.Operations, config.Operation{
			ID: idAt(time.Unix(1_800_000_000, 0), i), Revision: uint64(99_744 + i), By: "operator", Kind: config.DrainUpstream,
			Entity: "upstream " + string(upstreamID(i)), Digest: fmt.Sprintf("%016x", i),
		})
	}
	return doc
}

// upstreamsPerService is the number of upstreams of a service in generated
// documents. A service may have at most 65,536 ranges, which is 1,600 upstreams
// at the present ratio.
const upstreamsPerService = 1000

// upstreamsPerShard is the number of upstreams of a shard in generated documents.
const upstreamsPerShard = 7

// service returns a service with the upstreams from first to below last.
func service(doc *config.Document, first, last int) config.Service {
	s := config.Service{
		Name: api.ServiceName(fmt.Sprintf("foglalas-%d", first/upstreamsPerService)), Keyed: true, UpstreamChecks: config.ChecksFence,
		Slots: slotsToday, Connections: 130, MaxBody: 65536,
	}
	s.Shards = (last - first + upstreamsPerShard - 1) / upstreamsPerShard
	perShard := defaultRanges * upstreamsPerShard / keyedUpstreamsToday
	s.Ranges = s.Shards * perShard
	for i := range s.Shards {
		s.Layout = append(s.Layout, config.Span{First: i * perShard, Last: (i+1)*perShard - 1})
	}
	for i := first; i < last; i++ {
		s.Upstreams = append(s.Upstreams, config.Upstream{
			ID: upstreamID(i), Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
			FailureDomain: doc.FailureDomains[i%targetDomains].Name, Shard: (i - first) / upstreamsPerShard, ModifiedAt: 90_000,
		})
	}
	return s
}
