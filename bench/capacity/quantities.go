package capacity

import "fmt"

// Quantity is a figure computed by a formula for each target.
type Quantity struct {
	Name, Unit, Formula string
	// Limit names the upper bound of the quantity, or is empty.
	Limit string
}

// Role is a role of section 2 of docs/design.md with its figures for one VM.
type Role struct {
	Name, Mechanism, State string
	// Cells names the quantities of the overview: messages sent and received per
	// second, bytes per second, cores, and bytes of memory. Text that does not name
	// a quantity is shown as it is.
	Cells      [5]string
	Quantities []Quantity
}

// vmShares computes what falls to one VM. The loaded VM holds one keyed shard and
// is a witness of two.
var vmShares = []Quantity{
	{"keyed_shards", "", "vms/vms_today*keyed_shards_projected", ""},
	{"shard_upstreams", "", "keyed_upstreams/keyed_shards", ""},
	{"shard_ranges", "", "ranges/keyed_shards", ""},
	{"shards_held_mean", "per VM", "shards/vms", ""},
	{"keys_per_range", "", "keys/ranges", ""},
	{"changes", "/s", "changes_per_day/day_s", ""},
	{"document_bytes", "B", "b_document_upstream_0+b_document_upstream*upstreams", "max_frame"},
	{"heartbeat_bytes", "B", "b_frame+b_heartbeat_peer_0+b_heartbeat_held+b_heartbeat_peer*(vms-1)", ""},
	{"assign_bytes", "B", "b_frame+b_assign_range_0+b_assign_range*shard_ranges", ""},
	{"grant_bytes", "B sent", "b_grant_sent_span_0+b_grant_sent_span*grant_spans", ""},
}

// roles lists the figures of each role with today's mechanisms, for one loaded VM.
var roles = []Role{
	{
		"entry VM, forwarding", "wire.Forward over one connection per peer and direction; snapshot of holders",
		"holder of each shard, spans of shards, two connections per peer; nothing per key or range but hot keys",
		[5]string{"entry_requests", "entry_received", "requests only", "entry_core", "entry_all_memory"},
		[]Quantity{
			{"entry_requests", "forwards/s sent at the target's rate", "requests_per_s/vms", ""},
			{"entry_received", "replies/s received at the target's rate", "requests_per_s/vms", ""},
			{"entry_memory", "B", "mem_holder_shard*shards+mem_hot_key*hot_keys", "limit_memory"},
			{"entry_all_memory", "B, with connections", "entry_memory+mem_peer_connection*(vms-1)", "limit_memory"},
			{"entry_connections_memory", "B", "mem_peer_connection*(vms-1)", "limit_memory"},
			{"entry_core", "cores, control loop", "(ns_loop_shard_0+ns_loop_shard*shards)/1e9", "limit_core"},
			{"request_cores", "cores, all requests", "requests_per_s*ns_request/1e9", ""},
			{"request_cores_vm", "cores per VM, requests", "request_cores/vms", ""},
			{"requests_per_core", "requests/s per core", "1e9/ns_request", ""},
		},
	},
	{
		"holder, dispatching", "authority renewals to two witnesses; a grant per upstream (HTTP, JSON), without a list of ranges unless they changed; Shard.Tick with placement.Plan",
		"ranges and upstreams of its shard, request IDs",
		[5]string{"holder_sent", "holder_received", "holder_bytes", "holder_core", "holder_all_memory"},
		[]Quantity{
			{"holder_sent", "messages/s sent", "shard_upstreams/lease_renew_s+(members-1)/authority_renew_s", ""},
			{"holder_received", "messages/s received", "holder_sent", ""},
			{"holder_bytes", "B/s at rest", "shard_upstreams/lease_renew_s*b_grant_renewal+(members-1)/authority_renew_s*(b_renew+b_renew_ack+2*b_frame)", "limit_bytes"},
			{"holder_moving_bytes", "B/s while ranges move: each move lists the ranges of two upstreams", "holder_bytes+2*moves_per_s*(grant_bytes+b_grant_received_span_0-b_grant_renewal)", "limit_bytes"},
			{"holder_list_bytes", "B/s, upstreams that take no renewals without a list", "shard_upstreams/lease_renew_s*(grant_bytes+b_grant_received_span_0)+(members-1)/authority_renew_s*(b_renew+b_renew_ack+2*b_frame)", "limit_bytes"},
			{"holder_core", "cores", "(shard_upstreams/lease_renew_s*ns_grant_call+(ns_tick_range_0+ns_tick_range*shard_ranges)/tick_s+(ns_plan_tick_range_0+ns_plan_tick_range*shard_ranges)/plan_s+(ns_authority_round+(members-1)*2*ns_frame)/authority_renew_s)/1e9", "limit_core"},
			{"holder_memory", "B without request IDs", "mem_held_range*shard_ranges+mem_held_upstream*shard_upstreams", "limit_memory"},
			{"holder_all_memory", "B, with request IDs and connections", "holder_memory+mem_request_id*id_capacity+mem_http_connection*shard_upstreams*(1+upstream_connections)", "limit_memory"},
			{"holder_connections_memory", "B, connections to upstreams, upper bound", "mem_http_connection*shard_upstreams*(1+upstream_connections)", "limit_memory"},
			{"holder_id_memory", "B, request IDs at id_capacity", "mem_request_id*id_capacity", "limit_memory"},
		},
	},
	{
		"witness", "promise in memory per shard; wire.Assign on each change", "a promise and an assignment for each of two shards",
		[5]string{"witness_sent", "witness_received", "witness_bytes", "witness_core", "witness_memory"},
		[]Quantity{
			{"witness_sent", "messages/s sent", "(members-1)/authority_renew_s", ""},
			{"witness_received", "messages/s received", "witness_sent", ""},
			{"witness_bytes", "B/s", "witness_sent*(b_renew+b_renew_ack+2*b_frame)", "limit_bytes"},
			{"witness_core", "cores, upper bound", "witness_sent*(ns_authority_round+2*ns_frame)/1e9", "limit_core"},
			{"witness_memory", "B", "(members-1)*(mem_assign_range_0+mem_assign_range*shard_ranges)", "limit_memory"},
		},
	},
	{
		"membership", "wire.Heartbeat from every VM to every VM, listing every reachable VM", "state of every VM",
		[5]string{"member_sent", "member_received", "member_bytes", "member_core", "member_memory"},
		[]Quantity{
			{"member_sent", "messages/s sent", "(vms-1)/heartbeat_s", ""},
			{"member_received", "messages/s received", "member_sent", ""},
			{"member_bytes", "B/s sent and received", "2*member_sent*heartbeat_bytes", "limit_bytes"},
			{"member_core", "cores", "(member_sent*(ns_frame+ns_heartbeat_peer_0+ns_heartbeat_peer*(vms-1)+ns_heartbeat_encode_peer_0+ns_heartbeat_encode_peer*(vms-1))+(ns_members_tick_peer_0+ns_members_tick_peer*vms)/tick_s)/1e9", "limit_core"},
			{"list_bytes", "B/s received from the list of VMs", "(b_list_vm_0+b_list_vm*vms)/list_s", "limit_bytes"},
			{"list_core", "cores, Gone for each VM and shard", "vms*shards*ns_gone/list_s/1e9", "limit_core"},
			{"list_reads", "readings/s of the list, all VMs", "vms/list_s", ""},
			{"member_memory", "B", "mem_peer*(vms-1)", "limit_memory"},
		},
	},
	{
		"configuration spreading", "row config/head, sent whole in wire.Config, and read whole when a poll finds another version", "the decoded document",
		[5]string{"config_sent_vm", "config_received", "config_bytes", "config_core", "config_memory"},
		[]Quantity{
			{"config_sent", "frames/s sent by all writers", "changes*(vms-1)", ""},
			{"config_sent_vm", "frames/s sent, mean VM", "config_sent/vms", ""},
			{"config_received", "frames/s received", "changes", ""},
			{"config_bytes", "B/s received in frames", "changes*(document_bytes+b_frame)", "limit_bytes"},
			{"config_writer_s", "s for a writer to send one change at limit_bytes", "(vms-1)*(document_bytes+b_frame)/limit_bytes", "limit_change_s"},
			{"config_core", "cores, frames", "changes*(ns_config_read_upstream_0+ns_config_read_upstream*upstreams)/1e9", "limit_core"},
			{"config_memory", "B, decoded and encoded", "mem_document_upstream_0+mem_document_upstream*upstreams+document_bytes", "limit_memory"},
			{"operations_s", "s until an operation is dropped", "max_operations/changes", ""},
			{"write_core", "cores of writers, all VMs together", "changes*ns_config_write_upstream*upstreams/1e9", ""},
		},
	},
	{
		"table service", "one transaction per VM every store_s reads all records on the condition that the document has not changed, and another the document if it has; writes by condition on a version",
		"config/head and a record per shard",
		[5]string{"table_sent", "table_sent", "table_poll_bytes", "in spreading and entry", "table_state"},
		[]Quantity{
			{"table_reads", "transactions/s", "vms/store_s", "limit_reads"},
			{"table_sent", "calls/s of one VM, and responses", "1/store_s", ""},
			{"table_state", "B of rows in the response to a poll after a change", "4/3*document_bytes+b_poll_shard*shards", ""},
			{"table_rows", "rows/s read or compared", "vms/store_s*(1+shards)", "limit_reads"},
			{"table_poll_bytes", "B/s sent and received per VM, the document unchanged", "(b_poll_shard_0+b_poll_shard*shards)/store_s", "limit_bytes"},
			{"table_lost_frames_bytes", "B/s received per VM if no frame arrives and each change is read from the row", "changes*4/3*document_bytes", "limit_bytes"},
			{"table_writes", "writes/s, ordinary day", "changes+(replaced_per_day+failed_per_day)*members*shards/vms*2/day_s", "limit_writes"},
			{"table_domain_writes", "writes, members replaced after a domain's loss", "shards*members/domains*2", ""},
			{"table_burst", "writes/s if all holders write in one maintain_s", "table_domain_writes/maintain_s", "limit_writes"},
			{"table_drain_s", "s at limit_writes", "table_domain_writes/limit_writes", ""},
			{"table_move_writes", "writes/s for moved ranges and leases: the code has none", "0", "limit_writes"},
			{"table_hour_writes", "writes in the worst hour", "changes*cut_off_s+table_domain_writes+replaced_per_day*members*shards/vms*2/24", ""},
			{"table_hour_share", "share of limit_writes in the worst hour", "table_hour_writes/(limit_writes*cut_off_s)", ""},
			{"table_row_per_upstream", "writes/s if each lease of a lost domain were a row", "upstreams/domains/limit_loss_s", "limit_writes"},
			{"table_row_per_range", "writes/s if each moved range were a row", "ranges/domains/limit_loss_s", "limit_writes"},
		},
	},
	{
		"object store", "no code of the project calls it today", "none",
		[5]string{"object_calls", "object_calls", "object_calls", "object_calls", "object_calls"},
		[]Quantity{{"object_calls", "calls/s", "0", ""}},
	},
	{
		"operators' tool", "one VM asks every other VM for its shards (wire.TypeStatus); changes over the admin interface",
		"none; the reply of one status while it is shown",
		[5]string{"status_sent", "status_sent", "status_bytes", "status_core_s", "status_bytes"},
		[]Quantity{
			{"status_sent", "calls for one status", "vms-1", ""},
			{"status_bytes", "B received for one status", "shards*(b_status_range_0+b_status_range*shard_ranges+b_frame)", ""},
			{"status_s", "s for one status at limit_bytes", "status_bytes/limit_bytes", "status_timeout_s"},
			{"status_core_s", "core seconds to decode one status", "shards*(ns_status_range_0+ns_status_range*shard_ranges)/1e9", ""},
			{"change_bytes", "B/s of changes, all VMs together", "changes*b_change", "limit_bytes"},
		},
	},
}

// totals add up the roles of one loaded VM.
var totals = []Quantity{
	{"all_bytes", "B/s", "holder_bytes+witness_bytes+member_bytes+list_bytes+config_bytes+table_poll_bytes", "limit_bytes"},
	{"all_core", "cores", "entry_core+holder_core+witness_core+member_core+list_core+config_core", "limit_core"},
	{"all_memory", "B", "entry_all_memory+holder_all_memory+witness_memory+member_memory+config_memory", "limit_memory"},
	{"check_core_formula", "cores, mean VM at rest", "entry_core+shards_held_mean*holder_core+shards_held_mean*witness_core+member_core+list_core", "limit_core"},
	{"check_memory_formula", "B, mean VM at rest without request IDs and connections to upstreams", "entry_all_memory+shards_held_mean*(holder_memory+witness_memory)+member_memory+config_memory", "limit_memory"},
	{"loss_s", "s without an owner when the authority and an upstream are lost together: sum of the waits", "authority_s*(1+drift)+rank_delay_s+2*tick_s+reach_s+lease_renew_s+4*delay_s+ns_plan_lost_range*shard_ranges/1e9", "limit_loss_s"},
}

// column holds the values of all quantities for one target.
type column map[string]float64

// compute evaluates all quantities for a target.
func compute(t Target, r Run) (column, error) {
	env := environment(t, r.Slopes)
	for _, c := range r.Checks {
		env[c.Name] = c.Value
	}
	for _, list := range allQuantities() {
		for _, q := range list {
			if _, twice := env[q.Name]; twice {
				return nil, fmt.Errorf("quantity %s is defined twice", q.Name)
			}
			v, err := eval(q.Formula, env)
			if err != nil {
				return nil, err
			}
			env[q.Name] = v
		}
	}
	return env, nil
}

// allQuantities lists the quantities in order of dependency.
func allQuantities() [][]Quantity {
	lists := [][]Quantity{vmShares}
	for _, r := range roles {
		lists = append(lists, r.Quantities)
	}
	lists = append(lists, totals)
	for _, f := range findings {
		lists = append(lists, f.Quantities)
	}
	return lists
}
