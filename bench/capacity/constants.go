package capacity

import (
	"time"

	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/authority"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/dedup"
	"dandelionhill.dev/core/lease"
	"dandelionhill.dev/core/membership"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/ramp"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/holder"
)

// Constant is a number that is used in formulas and not measured.
type Constant struct {
	Name  string
	Value float64
	// Source names the origin of the number: code, the users, or a proposal.
	Source string
}

// CodeConstants returns the constants of the code. docs/CAPACITY.md has the same
// table, and a test compares the two.
func CodeConstants() []Constant {
	auth, leases, members, ids := authority.DefaultConfig(), lease.DefaultConfig(), membership.DefaultConfig(), dedup.DefaultConfig()
	seconds := func(d time.Duration) float64 { return d.Seconds() }
	return []Constant{
		{"tick_s", seconds(control.TickEvery), "control.TickEvery"},
		{"heartbeat_s", seconds(control.HeartbeatEvery), "control.HeartbeatEvery"},
		{"store_s", seconds(control.StoreEvery), "control.StoreEvery"},
		{"list_s", seconds(control.ListEvery), "control.ListEvery"},
		{"maintain_s", seconds(control.MaintainEvery), "control.MaintainEvery"},
		{"confirm_s", seconds(control.ConfirmFor), "control.ConfirmFor"},
		{"status_timeout_s", seconds(control.StatusTimeout), "control.StatusTimeout"},
		{"authority_s", seconds(auth.Lease), "authority.DefaultConfig().Lease"},
		{"authority_renew_s", seconds(auth.RenewEvery), "authority.DefaultConfig().RenewEvery"},
		{"rank_delay_s", seconds(auth.RankDelay), "authority.DefaultConfig().RankDelay"},
		{"drift", auth.Drift, "authority.DefaultConfig().Drift"},
		{"lease_s", seconds(leases.Duration), "lease.DefaultConfig().Duration"},
		{"lease_renew_s", seconds(leases.RenewEvery), "lease.DefaultConfig().RenewEvery"},
		{"suspect_s", seconds(members.SuspectAfter), "membership.DefaultConfig().SuspectAfter"},
		{"reach_s", seconds(holder.ReachTimeout), "holder.ReachTimeout"},
		{"plan_s", seconds(holder.PlanEvery), "holder.PlanEvery"},
		{"members", placement.MemberCount, "placement.MemberCount"},
		{"max_frame", wire.MaxFrameBytes, "wire.MaxFrameBytes"},
		{"max_operations", config.MaxOperations, "config.MaxOperations"},
		{"max_ranges", config.MaxRanges, "config.MaxRanges"},
		{"id_retention_s", seconds(ids.Retention), "dedup.DefaultConfig().Retention"},
		{"id_capacity", float64(ids.Capacity), "dedup.DefaultConfig().Capacity"},
		{"moves_per_s", placement.DefaultPolicy().MovesPerSecond, "placement.DefaultPolicy().MovesPerSecond"},
		{"rebalance_after_s", seconds(placement.DefaultPolicy().RebalanceAfter), "placement.DefaultPolicy().RebalanceAfter"},
		{"grant_spans", grantSpans(), "placement.Planner: spans per upstream after the first placement of 256 equal ranges on 6 upstreams"},
		{"ramp_answers", rampAnswers(), "ramp.Ramp with DefaultConfig: answers at normal latency until an upstream of 2 slots is warm"},
	}
}

// rampAnswers counts the answers at normal latency that a cold upstream needs
// before its limit is that of a warm one.
func rampAnswers() float64 {
	cfg := ramp.DefaultConfig()
	cfg.NormalLatency = 10 * time.Millisecond
	r := ramp.New(cfg, true)
	for n := range 10_000 {
		r.Limit(time.Duration(n)*cfg.NormalLatency, slotsToday)
		if !r.Cold() {
			return float64(n)
		}
		r.Observe(time.Duration(n)*cfg.NormalLatency, cfg.NormalLatency, false)
	}
	panic("capacity: the upstream is still cold after 10,000 answers")
}

// grantSpans returns the mean number of spans of ranges that an upstream owns
// after the first placement of a shard.
func grantSpans() float64 {
	const ranges, ups = 256, 6
	in := planInput(ranges)
	in.Upstreams = in.Upstreams[:ups]
	clear(in.Owners)
	for i := range ranges {
		in.Owners[i] = ""
	}
	for _, m := range new(placement.Planner).Plan(0, in, placement.DefaultPolicy()) {
		in.Owners[m.Range] = m.To
	}
	spans := 0
	for i := range ranges {
		if i == 0 || in.Owners[i] != in.Owners[i-1] {
			spans++
		}
	}
	return float64(spans) / ups
}

// UserConstants returns the numbers that the users have stated.
func UserConstants() []Constant {
	const today, target, limits = "section 1.2", "section 1.3", "section 1.3, limit"
	return []Constant{
		{"vms_today", vmsToday, today},
		{"keyed_upstreams_today", keyedUpstreamsToday, today + ", foglalas"},
		{"unkeyed_upstreams_today", unkeyedUpstreamsToday, today + ", kiszallitas"},
		{"slots", slotsToday, today},
		{"upstream_connections", connsPerUpstream, today + ", the lesser of two deployments"},
		{"ranges_today", defaultRanges, "section 2, default per service"},
		{"keyed_shards_projected", keyedShardsProjected, "chosen for the projection, 1 today: section 2 divides services that one VM cannot carry"},
		{"unkeyed_shards_today", unkeyedShardsToday, "section 2, default"},
		{"delay_s", 0.001, "section 1.2, between failure domains"},
		{"nodes", targetNodes, target},
		{"regions", targetRegions, target},
		{"domains", targetDomains, target},
		{"keys", targetKeys, target},
		{"hot_keys", targetHotKeys, target},
		{"requests_per_s", targetRequestsPerSecond, target},
		{"answer_s", 0.01, target + ", 99 in 100 requests"},
		{"changes_per_day", targetChangesPerDay, target},
		{"replaced_per_day", targetReplacedPerDay, target},
		{"failed_per_day", targetFailedPerDay, target},
		{"limit_core", limitCores, limits},
		{"limit_memory", limitMemoryBytes, limits},
		{"limit_bytes", limitBytesPerSecond, limits},
		{"limit_change_s", limitChangeSeconds, limits},
		{"limit_loss_s", limitLossSeconds, limits},
		{"limit_reads", limitStoreReadsPerSecond, "section 1.4"},
		{"limit_writes", limitStoreWritesPerSecond, "section 1.6; section 1.4 says several hundred"},
		{"day_s", secondsPerDay, "definition"},
		{"cut_off_s", cutOffSeconds, target},
	}
}

// ProposedConstants returns the constants of proposed mechanisms.
func ProposedConstants() []Constant {
	return []Constant{
		{"fan_out", 8, "proposal: children of a node of the dissemination tree"},
		{"proposed_renew_s", 0.25, "proposal: renewal of upstream leases"},
		{"proposed_lease_s", 1, "proposal: longest lease of an upstream"},
		{"readers", 27, "proposal: VMs that poll the store, three for each failure domain"},
		{"write_share", 0.5, "proposal: share of the store's writes that member replacement may use"},
		{"upstreams_per_row", 33, "proposal: upstreams of a configuration row, as many as a deployment of today"},
	}
}

// environment returns the values that formulas may use for a target, by name.
func environment(t Target, slopes Slopes) map[string]float64 {
	env := map[string]float64{
		"vms": t.VMs, "upstreams": t.Upstreams, "keyed_upstreams": t.KeyedUpstreams, "ranges": t.Ranges, "shards": t.Shards,
	}
	for _, list := range [][]Constant{CodeConstants(), UserConstants(), ProposedConstants()} {
		for _, c := range list {
			env[c.Name] = c.Value
		}
	}
	for name, s := range slopes {
		env[name], env[name+"_0"] = s.Value, max(0, s.Intercept)
	}
	return env
}
