package capacity

// Finding describes a limit of today's mechanisms, the size up to which they fit,
// and the proposed mechanism. Braces in the texts name quantities.
type Finding struct {
	Title string
	// Today, FitsUpTo and Remedy are texts of the page.
	Today, FitsUpTo, Remedy string
	Quantities              []Quantity
}

var findings = []Finding{
	{
		"A VM at rest",
		"Twelve processes of today's size use {check_core} cores each at rest against {limit_core} ({check_core_ratio} times the limit), and {check_memory} B against {limit_memory} B. The formulas for the parts add up to {today:check_core_formula} cores and {today:check_memory_formula} B. In processor time the two agree within the spread of such measurements; in memory the difference is the program and its runtime.",
		"Processor time at rest is {check_core_ratio} times the limit at 12 VMs, before any role grows; {memory_left} B of memory are left for state.",
		"The most expensive VM is the holder of the keyed shard. Most of what is left is frames between VMs and calls to upstreams, each with several changes of goroutine: fewer frames (see heartbeats), one connection to several upstreams or a simpler client than net/http for renewals, a slower tick while nothing is due (deadlines decide, not tick_s). The effect of each has not been measured.",
		[]Quantity{
			{"check_core_ratio", "times limit_core", "check_core/limit_core", ""},
			{"memory_left", "B", "limit_memory-check_memory", ""},
		},
	},
	{
		"Full-mesh heartbeats",
		"Every VM sends a heartbeat to every other VM each {heartbeat_s} s, and each lists all reachable VMs, so bytes grow with the square of the number of VMs: {member_bytes} B/s.",
		"It fits limit_bytes up to {heartbeat_fit_vms} VMs, and up to {heartbeat_plain_fit_vms} VMs if heartbeats did not list the reachable VMs.",
		"Heartbeats only between members of the same shards: {peer_count} peers for the loaded VM and a list of those only, {peer_bytes} B/s. The holders of shards and the majority of section 8 must then be sent through the dissemination tree. After the loss of a domain {holder_changes} changes of holder pass each VM, which takes {holder_changes_s} s at limit_bytes against {limit_loss_s} s; so an entry must not wait for the tree: it sends the request to the next member of the shard, and a refusal not_holder names the holder, which costs no control message.",
		[]Quantity{
			{"heartbeat_fixed_bytes", "B", "b_frame+b_heartbeat_peer_0+b_heartbeat_held", ""},
			{"heartbeat_fit_vms", "VMs", "1+(sqrt(heartbeat_fixed_bytes*heartbeat_fixed_bytes+2*b_heartbeat_peer*limit_bytes*heartbeat_s)-heartbeat_fixed_bytes)/(2*b_heartbeat_peer)", ""},
			{"heartbeat_plain_fit_vms", "VMs", "1+limit_bytes*heartbeat_s/(2*heartbeat_fixed_bytes)", ""},
			{"peer_count", "peers", "members*(members-1)", ""},
			{"peer_bytes", "B/s", "2*peer_count/heartbeat_s*(heartbeat_fixed_bytes+b_heartbeat_peer*peer_count)", "limit_bytes"},
			{"holder_changes", "changes", "shards/domains", ""},
			{"holder_changes_s", "s at limit_bytes", "holder_changes*(1+fan_out)*b_heartbeat_held/limit_bytes", "limit_loss_s"},
		},
	},
	{
		"Connections between VMs",
		"Each VM keeps one connection to and one from every other VM: {entry_connections_memory} B.",
		"It fits limit_memory up to {connections_fit_vms} VMs.",
		"Connections opened on demand and closed when idle. An entry that connects to the holders of all shards still needs {forward_peers} of them; inside one region {region_connections_memory} B. In a grid in which each VM connects only to its row and its column there are {relay_count} connections ({relay_memory} B), for one more hop and its share of ns_request.",
		[]Quantity{
			{"connections_fit_vms", "VMs", "limit_memory/mem_peer_connection", ""},
			{"forward_peers", "connections", "min(vms, shards)", ""},
			{"region_connections_memory", "B", "mem_peer_connection*min(vms, shards)/regions", "limit_memory"},
			{"relay_count", "connections", "2*ceil(sqrt(vms))", ""},
			{"relay_memory", "B", "relay_count*mem_peer_connection", "limit_memory"},
		},
	},
	{
		"Polling the store",
		"Every VM reads the store each {store_s} s: {table_reads} transactions/s and {table_rows} rows/s against {limit_reads} reads/s. The read is conditional on the version of the row config/head, so it transfers the document only after a change that no frame brought; {table_poll_bytes} B/s are left, {today:table_poll_bytes} B/s at 12 VMs, most of it records of shards, changed or not.",
		"It fits up to {poll_fit_vms} VMs if a transaction counts as one read, and {poll_rows_fit_vms} VMs if each row counts. The bytes fit limit_bytes up to {poll_bytes_fit_vms} VMs.",
		"A poll interval that grows with the number of VMs would be {poll_interval_s} s at half of limit_reads, longer than confirm_s ({confirm_s} s), so it needs the majority or the tree for confirmation. With {readers} reading VMs that pass on changes in the tree: {reader_reads} transactions/s whatever the number of VMs. Members read only the records of their own shards, on the condition that one of them has changed.",
		[]Quantity{
			{"poll_fit_vms", "VMs", "limit_reads*store_s", ""},
			{"poll_rows_fit_vms", "VMs", "(sqrt(1+4*limit_reads*store_s*shards/vms)-1)/(2*shards/vms)", ""},
			{"poll_interval_s", "s", "2*vms/limit_reads", "confirm_s"},
			{"poll_bytes_fit_vms", "VMs", "(limit_bytes*store_s-b_poll_shard_0)/b_poll_shard*vms/shards", ""},
			{"reader_reads", "transactions/s", "readers/store_s", "limit_reads"},
		},
	},
	{
		"The whole configuration in one row and one frame",
		"The document has {document_bytes} B. Each change sends it whole to each VM ({config_bytes} B/s received, {config_writer_s} s for one writer at limit_bytes), and each VM decodes it ({config_core} cores).",
		"A frame holds {frame_fit_upstreams} upstreams ({frame_fit_vms} VMs at the present ratio). Sending whole documents for {changes} changes/s alone fits limit_bytes up to {changes_fit_upstreams} upstreams. The document retains {max_operations} operations, which is {operations_s} s of changes: an operator whose view is older is refused. A service has at most {max_ranges} ranges, {range_fit_upstreams} upstreams.",
		"A row per service and a head row with their versions: {config_rows} rows, {config_row_bytes} B each (most of it the retained operations), so a change writes one row and the head and spreads only the change ({delta_bytes} B). The head row names each row with its version ({head_bytes} B); readers fetch the rows that changed. Operations are retained per service row, so {max_operations} last {row_operations_s} s.",
		[]Quantity{
			{"frame_fit_upstreams", "upstreams", "(max_frame-b_document_upstream_0)/b_document_upstream", ""},
			{"frame_fit_vms", "VMs", "frame_fit_upstreams*vms/upstreams", ""},
			{"changes_fit_upstreams", "upstreams", "max(0, (limit_bytes/changes-b_document_upstream_0)/b_document_upstream)", ""},
			{"range_fit_upstreams", "upstreams of a service", "max_ranges*keyed_upstreams/ranges", ""},
			{"config_rows", "rows", "upstreams/upstreams_per_row", ""},
			{"config_row_bytes", "B", "b_document_upstream_0+b_document_upstream*upstreams_per_row", "max_frame"},
			{"head_bytes", "B", "b_head_row_0+b_head_row*config_rows", "max_frame"},
			{"delta_bytes", "B", "b_change+b_frame", ""},
			{"row_operations_s", "s", "operations_s*config_rows", ""},
		},
	},
	{
		"A change everywhere within 9 s",
		"The writer sends the document to all VMs: {config_writer_s} s at limit_bytes against {limit_change_s} s.",
		"It fits up to {change_fit_vms} VMs.",
		"Sending only the change, the writer alone needs {delta_direct_s} s. A tree with {fan_out} children has {tree_depth} levels: {tree_s} s if every level first sends to all its children, and {tree_lost_s} s if on every level a lost VM is detected only after suspect_s. The steady cost of {changes} changes/s is {tree_bytes} B/s for each inner VM. The number of VMs that have a change is summed up the same tree.",
		[]Quantity{
			{"change_fit_vms", "VMs", "1+(sqrt(b_document_upstream_0*b_document_upstream_0+4*b_document_upstream*upstreams/vms*limit_change_s*limit_bytes)-b_document_upstream_0)/(2*b_document_upstream*upstreams/vms)", ""},
			{"delta_direct_s", "s", "(vms-1)*delta_bytes/limit_bytes", "limit_change_s"},
			{"tree_depth", "levels", "ceil(log(vms)/log(fan_out))", ""},
			{"tree_s", "s", "tree_depth*(fan_out*delta_bytes/limit_bytes+delay_s+tick_s)", "limit_change_s"},
			{"tree_lost_s", "s", "tree_s+tree_depth*suspect_s", "limit_change_s"},
			{"tree_bytes", "B/s", "changes*(1+fan_out)*delta_bytes", "limit_bytes"},
		},
	},
	{
		"Writes of the table service",
		"An ordinary day needs {table_writes} writes/s, and the worst hour {table_hour_writes} writes, {table_hour_share} of what the service takes in an hour. Moving the ranges or leases of a lost domain writes nothing: assignments go to the witnesses and grants to the upstreams. The loss of a domain makes holders replace one member of a third of the shards with two writes each: {table_domain_writes} writes, all within about maintain_s.",
		"The burst fits limit_writes up to {burst_fit_vms} VMs; the ordinary day fits at every size considered. A row for each lease would need {table_row_per_upstream} writes/s, a row for each range {table_row_per_range}.",
		"Replacement spread at random over {spread_s} s uses write_share of limit_writes; two of three members keep each shard meanwhile. All configuration changes write one row today, so they are serialized: at {changes} changes/s each has {change_gap_s} s on average. Rows per service remove this.",
		[]Quantity{
			{"burst_fit_vms", "VMs", "vms*limit_writes/table_burst", ""},
			{"spread_s", "s", "table_domain_writes/(limit_writes*write_share)", ""},
			{"change_gap_s", "s", "1/changes", ""},
		},
	},
	{
		"The worst hour: a failure domain is lost",
		"One ninth of the upstreams ({lost_upstreams}) and of the VMs is lost. Each holder regrants {lost_ranges} ranges; each surviving VM takes over {taken_shards} shards on average. A key has no owner for {loss_s} s (formula loss_s), which does not depend on the size, except that entries must learn the new holder.",
		"Today entries learn it from the full-mesh heartbeat, which fits up to {heartbeat_fit_vms} VMs.",
		"See heartbeats. The assignment of a shard costs {loss_assign_bytes} B to its witnesses, {loss_assign_s} s at limit_bytes.",
		[]Quantity{
			{"lost_upstreams", "upstreams", "upstreams/domains", ""},
			{"lost_ranges", "ranges per shard", "shard_ranges/domains", ""},
			{"taken_shards", "shards per VM", "shards/domains/(vms*(1-1/domains))", ""},
			{"loss_assign_bytes", "B", "(members-1)*assign_bytes", ""},
			{"loss_assign_s", "s", "loss_assign_bytes/limit_bytes", "limit_loss_s"},
		},
	},
	{
		"The map of ranges, and 11 billion keys",
		"There are {ranges} ranges and {keys_per_range} keys in each. No VM keeps anything per key: one byte per key would be {key_bytes} B. A map of all ranges takes {map_bytes} B in the form of wire.Assign and {map_held_bytes} B in the form that a holder keeps.",
		"The form that a holder keeps fits limit_memory up to {map_held_fit_vms} VMs, the form of wire.Assign up to {map_fit_vms} VMs. Entries need no map of ranges, only the spans of shards: {entry_memory} B with the hot keys.",
		"None needed. The {hot_keys} hottest keys cost {hot_memory} B.",
		[]Quantity{
			{"key_bytes", "B", "keys", "limit_memory"},
			{"map_bytes", "B", "mem_assign_range_0+mem_assign_range*ranges", "limit_memory"},
			{"map_held_bytes", "B", "mem_held_range*ranges", "limit_memory"},
			{"map_held_fit_vms", "VMs", "limit_memory/mem_held_range*vms/ranges", ""},
			{"map_fit_vms", "VMs", "(limit_memory-mem_assign_range_0)/mem_assign_range*vms/ranges", ""},
			{"hot_memory", "B", "mem_hot_key*hot_keys", "limit_memory"},
		},
	},
	{
		"Remembered request IDs",
		"A shard gets {shard_requests} requests/s. A full deduplication table of {id_capacity} IDs takes {holder_id_memory} B, and covers {id_rate} non-repeatable requests/s for id_retention_s.",
		"limit_memory holds {id_fit} IDs: {id_fit_rate} non-repeatable requests/s of a shard. The users do not state the share of non-repeatable requests; above {id_share} of all requests the capacity is exceeded and new ones are refused (id_capacity).",
		"Count this memory as a cost of requests, not of control; a shorter retention in proportion to the rate; more shards for each upstream. It needs a decision by the users.",
		[]Quantity{
			{"shard_requests", "requests/s", "requests_per_s/shards", ""},
			{"id_rate", "requests/s", "id_capacity/id_retention_s", ""},
			{"id_fit", "IDs", "limit_memory/mem_request_id", ""},
			{"id_fit_rate", "non-repeatable requests/s of a shard", "id_fit/id_retention_s", ""},
			{"id_share", "share", "id_rate/shard_requests", ""},
		},
	},
	{
		"Grants to upstreams",
		"A renewal names the grant that listed the ranges: {holder_bytes} B/s for the loaded VM with responses and renewals of its authority. Lists are sent on a change: {holder_moving_bytes} B/s while ranges move at {moves_per_s} moves/s. The first placement gives each upstream {grant_spans} spans, because neighbouring ranges of equal load go to different upstreams, so upstreams that take no renewals without a list cost {holder_list_bytes} B/s.",
		"At rest it fits limit_bytes alone, independent of the number of VMs, but leaves little for the other roles; with lists it fits up to {grant_fit_spans} spans per upstream. One move a second adds {move_bytes} B/s, so it fits up to {move_fit} moves/s.",
		"Nearly all of a renewal ({b_grant_renewal} B) is HTTP headers and names of JSON fields. Lists would be shorter if runs of neighbouring ranges were placed on one upstream, or if a grant named only the ranges that changed.",
		[]Quantity{
			{"move_bytes", "B per move", "2*(grant_bytes+b_grant_received_span_0-b_grant_renewal)", ""},
			{"move_fit", "moves/s", "(limit_bytes-holder_bytes)/move_bytes", ""},
			{"grant_fit_spans", "spans of an upstream", "((limit_bytes-(members-1)/authority_renew_s*(b_renew+b_renew_ack+2*b_frame))*lease_renew_s/shard_upstreams-b_grant_sent_span_0-b_grant_received_span_0)/b_grant_sent_span", ""},
		},
	},
	{
		"The list of VMs",
		"Every VM reads the whole list each {list_s} s: {list_reads} readings/s, {list_bytes} B/s for each VM, and it asks for each VM and shard whether the VM is gone, {list_core} cores.",
		"The bytes fit up to {list_fit_vms} VMs and the processor time up to {gone_fit_vms} VMs.",
		"The readers of the store also read the list and pass on what changed: {list_changes} VMs/s on an ordinary day. The loop needs only the members of own shards and the VMs that became gone.",
		[]Quantity{
			{"list_fit_vms", "VMs", "(limit_bytes*list_s-b_list_vm_0)/b_list_vm", ""},
			{"gone_fit_vms", "VMs", "sqrt(limit_core*1e9*list_s/ns_gone*vms/shards)", ""},
			{"list_changes", "changes/s", "2*(replaced_per_day+failed_per_day)/day_s", ""},
		},
	},
	{
		"The control loop",
		"Each tick copies the holders of all shards into a new snapshot, and each poll decodes all records: {entry_core} cores at rest.",
		"It fits limit_core up to {loop_fit_shards} shards ({loop_fit_vms} VMs).",
		"Publish a snapshot only when something changed, keep holders in a persistent map, and read only the records of own shards. The part that remains is the holder's own work, {holder_core} cores.",
		[]Quantity{
			{"loop_fit_shards", "shards", "max(0, (limit_core*1e9-ns_loop_shard_0)/ns_loop_shard)", ""},
			{"loop_fit_vms", "VMs", "loop_fit_shards*vms/shards", ""},
		},
	},
	{
		"Connections of one upstream",
		"Only the holder connects to an upstream: at most its connection limit, and one control connection. If every entry VM connected it would be {every_entry} connections against {upstream_connections}.",
		"Entry VMs with a connection of their own fit up to {upstream_connections} VMs. The holder's connections do not depend on the number of VMs, but an upstream gets {upstream_requests} requests/s: with {upstream_connections} connections a request may take {connection_s} s on average, and with {slots} slots it may run {slot_s} s, against answer_s ({answer_s} s).",
		"If runs take longer than that, upstreams need more slots or there must be more upstreams than the present ratio gives. It needs a statement by the users: the target gives neither upstreams nor slots.",
		[]Quantity{
			{"every_entry", "connections", "vms", "upstream_connections"},
			{"upstream_requests", "requests/s", "requests_per_s/upstreams", ""},
			{"connection_s", "s", "upstream_connections/upstream_requests", ""},
			{"slot_s", "s", "slots/upstream_requests", ""},
		},
	},
	{
		"A region cut off for an hour",
		"In one deployment over {regions} regions a cut-off region is a minority. Without the store it takes no new work after confirm_s: {cut_requests} requests/s are refused, {cut_refused} in the hour. {missed_changes} changes pass in the hour against {max_operations} retained operations; the VMs catch up by one document, operators by reading the configuration again.",
		"It does not depend on the number of VMs; one deployment over more than one region is the cause.",
		"One deployment, document and table service for each region, as today: a cut-off region changes its own configuration and nothing is refused. But there are {region_domains} failure domains per region on average, so at least one region has only two: two of three members of a shard are then in one domain, and its loss stops about half of the shards there (section 4.3, two members lost). One member in another region prevents both: the loss of a domain and the isolation of a region each leave two of three. It needs a change of placement.Members and a longer round trip to one of the two witnesses. Changes for all regions are then sent to each region; {region_vms} VMs and {region_shards} shards per region divide every figure that grows with the number of VMs by {regions}, and the bytes of full-mesh heartbeats by the square.",
		[]Quantity{
			{"cut_requests", "requests/s", "requests_per_s/regions", ""},
			{"cut_refused", "requests", "cut_requests*(cut_off_s-confirm_s)", ""},
			{"missed_changes", "changes", "changes*cut_off_s", ""},
			{"region_domains", "failure domains", "domains/regions", ""},
			{"region_vms", "VMs", "vms/regions", ""},
			{"region_shards", "shards", "shards/regions", ""},
		},
	},
	{
		"A rack's return with cold upstreams",
		"The users do not state the size of a rack; a failure domain bounds it. {return_ranges} ranges per shard return, at {moves_per_s} moves/s after {rebalance_after_s} s of imbalance: {return_s} s. A cold upstream of {slots} slots needs {ramp_answers} answers at normal latency until it is warm: {ramp_s} s at answer_s each with one in flight.",
		"The time does not depend on the number of VMs, because each shard plans for itself. The moves of all shards together are {return_moves} moves/s, with an assignment to two witnesses each.",
		"None needed for capacity; the ramp and the budget of moves bound it.",
		[]Quantity{
			{"return_ranges", "ranges per shard", "shard_ranges/domains", ""},
			{"return_s", "s", "rebalance_after_s+return_ranges/moves_per_s", ""},
			{"ramp_s", "s", "ramp_answers*answer_s", ""},
			{"return_moves", "moves/s", "keyed_shards*moves_per_s", ""},
		},
	},
	{
		"86 million requests a second",
		"A request costs {ns_request} ns of processor time in the VMs together, {requests_per_core} requests/s per core, so the target needs {request_cores} cores, {request_cores_vm} for each VM.",
		"One core for each VM carries {core_fit_requests} requests/s. Choosing the range and shard is {route_share} of the cost, the queue of the shard {dispatch_share}; the rest is HTTP, WebSocket, CBOR, locks and timers. All requests of a shard pass its queue under one lock: {shard_requests} requests/s of a shard against {shard_fit_requests} that the queue alone can pass.",
		"More cores for each VM, or a cheaper path: what batching of frames and reuse of buffers would give has not been measured.",
		[]Quantity{
			{"core_fit_requests", "requests/s", "vms*1e9/ns_request", ""},
			{"shard_fit_requests", "requests/s of a shard, queue alone", "1e9/ns_dispatch", ""},
			{"dispatch_share", "share", "ns_dispatch/ns_request", ""},
			{"route_share", "share", "ns_route/ns_request", ""},
		},
	},
	{
		"All proposals together",
		"With every change above the loaded VM needs {proposed_bytes_first} B/s against {limit_bytes}: grants, renewals and heartbeats between members are left, none of which grows with the number of VMs.",
		"It does not fit limit_bytes at any size with today's intervals and forms. In memory, the program ({check_memory} B), the connections to upstreams and a grid of connections between VMs need {proposed_memory} B against {limit_memory}, without request IDs.",
		"Renewing upstream leases each {proposed_renew_s} s instead of {lease_renew_s} s (with a lease of {proposed_lease_s} s, limited to the remaining time of the authority, it tolerates one lost renewal, as {lease_s} s and {lease_renew_s} s do: a lease counts from the clock reading in the response before; loss_s becomes {proposed_loss_s} s, not tested) and using renewals in place of heartbeats between a holder and its witnesses leaves {proposed_bytes} B/s. For processor time the parts give {proposed_core} cores against {limit_core}, without what the check above finds missing. Memory needs a decision by the users: whether connections for requests count as control.",
		[]Quantity{
			{"proposed_bytes_first", "B/s", "holder_bytes+witness_bytes+peer_bytes+tree_bytes", "limit_bytes"},
			{"proposed_bytes", "B/s", "shard_upstreams/proposed_renew_s*b_grant_renewal+2*witness_bytes+peer_bytes/3+tree_bytes", "limit_bytes"},
			{"proposed_loss_s", "s", "max(loss_s+proposed_renew_s-lease_renew_s, proposed_lease_s*(1+drift)+proposed_renew_s+2*tick_s+4*delay_s)", "limit_loss_s"},
			{"proposed_core", "cores", "(ns_loop_shard_0+shard_upstreams/proposed_renew_s*ns_grant_call+(ns_tick_range_0+ns_tick_range*shard_ranges)/tick_s+(ns_plan_tick_range_0+ns_plan_tick_range*shard_ranges)/plan_s+(ns_authority_round+(members-1)*2*ns_frame)/authority_renew_s+2/heartbeat_s*ns_frame+changes*(1+fan_out)*ns_frame)/1e9+witness_core", "limit_core"},
			{"proposed_memory", "B", "check_memory+entry_memory+relay_memory+holder_memory+holder_connections_memory+witness_memory+member_memory", "limit_memory"},
		},
	},
}
