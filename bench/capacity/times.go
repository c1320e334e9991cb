package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/authority"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/dispatch"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/core/membership"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/server/holder"
)

func timeMeasurements() []Measurement {
	return []Measurement{
		{"ns_plan_range", "ns per range", "placement.Planner.Plan, balanced, no move", largeSizes, func(n int) (float64, error) {
			return nanoseconds(func() func() { return planRun(n, false) }), nil
		}},
		{"ns_plan_lost_range", "ns per range", "placement.Planner.Plan, one of nine upstreams lost", largeSizes, func(n int) (float64, error) {
			return nanoseconds(func() func() { return planRun(n, true) }), nil
		}},
		{"ns_tick_range", "ns per range", "holder.Shard.Tick of a shard at rest that makes no plan, 7 upstreams", largeSizes, func(n int) (float64, error) { return tickTime(n, 7) }},
		{"ns_plan_tick_range", "ns per range", "the same with a plan, as each holder.PlanEvery", largeSizes, func(n int) (float64, error) { return planTickTime(n, 7) }},
		{"mem_held_range", "B per range", "holder.Shard with 7 upstreams, all ranges granted", largeSizes, func(n int) (float64, error) { return memoryOfShard(n, 7) }},
		{"mem_held_upstream", "B per upstream", "holder.Shard with 1,000 ranges, sessions included, upstreams in memory", smallSizes, func(n int) (float64, error) {
			return memoryOfShard(1000, n)
		}},
		{"ns_lease_renewal", "ns per renewal", "lease.Table: Observe, Offer, Acknowledge", largeSizes, leaseRenewals},
		{"ns_authority_round", "ns per round", "authority.Machine: one renewal, two witnesses' answers", largeSizes, authorityRounds},
		{"ns_heartbeat_peer", "ns per peer listed", "one heartbeat received: decode and membership.Table.HandleHeartbeat", largeSizes, heartbeatReceived},
		{"ns_heartbeat_encode_peer", "ns per peer listed", "one heartbeat encoded; it is encoded anew for each receiver", largeSizes, func(n int) (float64, error) {
			hb := heartbeat(n, 1)
			return nanoseconds(func() func() { return func() { encode(wire.TypeHeartbeat, hb) } }), nil
		}},
		{"ns_members_tick_peer", "ns per peer", "membership.Table: Tick, HasMajority and Reachable, as in each tick of the control loop", largeSizes, membersTick},
		{"ns_gone", "ns per lookup", "membership.Table.Gone, asked for each VM and shard at each reading of the list", largeSizes, goneLookups},
		{"ns_config_read_upstream", "ns per upstream", "config.Decode: every document received or read", largeSizes, configRead},
		{"ns_config_write_upstream", "ns per upstream", "config.Apply and config.Encode: one change", []int{100, 1000, 3162, 10_000}, configWrite},
		{"ns_status_range", "ns per range", "holder.Status decoded by the operators' tool's VM", largeSizes, statusRead},
		{"ns_dispatch", "ns per request", "dispatch.Queue with 7 upstreams: Admit, Next, Done; all requests of a shard pass it under one lock", largeSizes, dispatchRequests},
		{"ns_route", "ns per request", "shardmap.Table.ByKey with 5,000 shards", largeSizes, routeRequests},
	}
}

func planRun(n int, lost bool) func() {
	in := planInput(n)
	planner := &placement.Planner{}
	planner.Plan(0, in, placement.DefaultPolicy())
	if lost {
		for i := range in.Upstreams {
			if i%targetDomains == 0 {
				in.Upstreams[i].State = placement.Lost
			}
		}
	}
	return func() { planner.Plan(time.Second, in, placement.DefaultPolicy()) }
}

func leaseRenewals(n int) (float64, error) {
	leases := lease.NewTable(lease.DefaultConfig())
	ids := make([]api.UpstreamID, n)
	now := time.Second
	for i := range ids {
		ids[i] = upstreamID(i)
		renewLease(leases, ids[i], now)
	}
	return nanoseconds(func() func() {
		now += lease.DefaultConfig().RenewEvery
		return func() {
			for _, id := range ids {
				renewLease(leases, id, now)
			}
		}
	}), nil
}

// memberGroup holds the authority machines of the three members of a shard.
type memberGroup map[api.VMID]*authority.Machine

// deliver delivers messages and the replies to them until there are no more.
func (g memberGroup) deliver(now time.Duration, from api.VMID, actions []authority.Action) {
	for _, action := range actions {
		if send, ok := action.(authority.Send); ok {
			g.deliver(now, send.To, g[send.To].Receive(now, from, send.Message))
		}
	}
}

func newMemberGroup(i int) memberGroup {
	rec := authority.Record{Shard: shardID(i), Version: 1, Members: []api.VMID{vmID(3 * i), vmID(3*i + 1), vmID(3*i + 2)}, WriteID: idAt(time.Unix(0, 0), i)}
	g := memberGroup{}
	for _, vm := range rec.Members {
		cfg := authority.DefaultConfig()
		cfg.Incarnation = api.Incarnation(vm)
		g[vm] = authority.New(vm, rec.Shard, cfg)
		g.deliver(0, vm, g[vm].Learn(0, rec, 1, true))
	}
	return g
}

func authorityRounds(n int) (float64, error) {
	groups := make([]memberGroup, n)
	holders := make([]api.VMID, n)
	now := time.Duration(0)
	for i := range groups {
		groups[i], holders[i] = newMemberGroup(i), vmID(3*i)
		now = 0
		for range 20 {
			now += 20 * time.Millisecond
			groups[i].deliver(now, holders[i], groups[i][holders[i]].Tick(now))
		}
		if _, _, ok := groups[i][holders[i]].Authority(now); !ok {
			return 0, fmt.Errorf("shard %d has no holder", i)
		}
	}
	return nanoseconds(func() func() {
		now += authority.DefaultConfig().RenewEvery
		return func() {
			for i, g := range groups {
				g.deliver(now, holders[i], g[holders[i]].Tick(now))
			}
		}
	}), nil
}

func heartbeatReceived(n int) (float64, error) {
	table := membership.New("self", membership.DefaultConfig(), vmIDs(n))
	data := encode(wire.TypeHeartbeat, heartbeat(n, 1))
	now := time.Second
	return nanoseconds(func() func() {
		now += membership.DefaultConfig().HeartbeatEvery
		return func() {
			frame, err := wire.Decode(data)
			if err != nil {
				panic(err)
			}
			var hb wire.Heartbeat
			if err := frame.Unpack(&hb); err != nil {
				panic(err)
			}
			table.HandleHeartbeat(now, membership.Heartbeat{From: vmID(0), Incarnation: hb.Incarnation, Reachable: hb.Reachable})
		}
	}), nil
}

func membersTick(n int) (float64, error) {
	table := membershipTable(n).(*membership.Table)
	now := time.Second
	return nanoseconds(func() func() {
		now += 20 * time.Millisecond
		return func() {
			table.Tick(now)
			table.HasMajority(now)
			table.Reachable(now)
		}
	}), nil
}

func goneLookups(n int) (float64, error) {
	table := membershipTable(n).(*membership.Table)
	ids := vmIDs(n)
	return nanoseconds(func() func() {
		return func() {
			for _, id := range ids {
				if table.Gone(id) {
					panic("capacity: a reachable VM is gone")
				}
			}
		}
	}), nil
}

func configRead(n int) (float64, error) {
	data, err := config.Encode(document(n))
	if err != nil {
		return 0, err
	}
	return nanoseconds(func() func() {
		return func() {
			if _, err := config.Decode(data); err != nil {
				panic(err)
			}
		}
	}), nil
}

func statusRead(n int) (float64, error) {
	data := encode(wire.TypeReply, status(n))
	return nanoseconds(func() func() {
		return func() {
			frame, err := wire.Decode(data)
			if err != nil {
				panic(err)
			}
			var s holder.Status
			if err := frame.Unpack(&s); err != nil {
				panic(err)
			}
		}
	}), nil
}

// drainChange returns a small change of the configuration.
func drainChange(i int) config.Change {
	return config.Change{
		OperationID: idAt(time.Unix(1_700_000_000, 0), i), BaseRevision: 100_000, By: "operator",
		Kind: config.DrainUpstream, Name: string(upstreamID(i)),
	}
}

func configWrite(n int) (float64, error) {
	doc := document(n)
	if _, err := config.Apply(doc, drainChange(1)); err != nil {
		return 0, err
	}
	return nanoseconds(func() func() {
		return func() {
			next, err := config.Apply(doc, drainChange(1))
			if err != nil {
				panic(err)
			}
			if _, err := config.Encode(next); err != nil {
				panic(err)
			}
		}
	}), nil
}

func dispatchRequests(n int) (float64, error) {
	queue := dispatch.New(dispatch.DefaultConfig())
	var limits []dispatch.Limit
	for i := range upstreamsPerShard {
		limits = append(limits, dispatch.Limit{Upstream: upstreamID(i), InFlight: slotsToday, Open: true})
	}
	queue.SetLimits(limits)
	now, id := time.Second, uint64(0)
	return nanoseconds(func() func() {
		return func() {
			for i := range n {
				id++
				now += time.Microsecond
				refused := queue.Admit(now, dispatch.Request{
					ID: id, Upstream: shardUpstreamIDs[i%upstreamsPerShard], Key: "key", Caller: "caller", Range: i % 256, Deadline: now + time.Second,
				})
				if refused != nil {
					panic(refused.Error())
				}
				starts, _ := queue.Next(now)
				for _, s := range starts {
					queue.Done(now, s.ID, s.Upstream, time.Millisecond, true)
				}
			}
		}
	}), nil
}

// shardUpstreamIDs holds the upstream IDs of one shard, so that formatting them is
// not timed.
var shardUpstreamIDs = func() (ids []api.UpstreamID) {
	for i := range upstreamsPerShard {
		ids = append(ids, upstreamID(i))
	}
	return ids
}()

func routeRequests(n int) (float64, error) {
	const shards = 5000
	spans := make([]placement.Shard, shards)
	for i := range spans {
		spans[i] = placement.Shard{First: i * 256, Last: i*256 + 255}
	}
	table := shardmap.New("foglalas", shards*256, spans, nil)
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%010d", i)
	}
	return nanoseconds(func() func() {
		return func() {
			for _, key := range keys {
				if _, _, ok := table.ByKey(key); !ok {
					panic("capacity: a key has no shard")
				}
			}
		}
	}), nil
}

// changeJSON encodes a change as the operators' tool sends it.
func changeJSON(i int) []byte {
	data, err := json.Marshal(drainChange(i))
	if err != nil {
		panic(err)
	}
	return data
}
