package gateway

import (
	"maps"
	"slices"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/core/ratelimit"
)

const (
	// maxPeersSent bounds the addresses of other VMs that the granter sends a VM, peersInterval
	// is the shortest time between two lists.
	maxPeersSent  = 16
	peersInterval = 2 * time.Second
)

// member is a VM connected to the granter.
type member struct {
	vm      api.VMID
	address string
	updates chan update
	permits *permitClient
	quota   *quota.Member
	ended   <-chan struct{} // closed when the connection has ended
	// hasConfig means that the VM has a configuration.
	hasConfig bool
	// capacity is hello.Capacity.
	capacity int64
	// leaving means that the VM is stopping.
	leaving bool
	// isolated means that no upstream can be reached from the VM.
	isolated bool
	// contactAt is when the VM last opened a connection to an upstream, as far as known; 0 if
	// it has not.
	contactAt time.Duration
	// reportedAtMs is report.SentAtMs of the last report.
	reportedAtMs int64
	// close ends the connection.
	close         func()
	sentVersions  map[api.ServiceName]int64 // the versions of the owner tables last sent
	sentJoinCount int                       // joinCount when the peers were last sent, at peersSentAt
	peersSentAt   time.Duration
	leavingSent   int // see leavingUpstreams.news
	coldSent      int // see coldUpstreams.news
	wholeSent     int // the number of upstreams in update.WholeCalls last sent
	crashes       crashSender
	// relayedTo and operatorTo are the versions up to which registrations and rows of operators
	// were relayed.
	relayedTo, operatorTo int64
}

// rank is the rank of a VM; leftAt is when it was last connected.
type rank struct {
	vm        api.VMID
	address   string
	leftAt    time.Duration
	connected bool
}

// addMember adds a VM that has connected and given a promise, after its connection was accepted
// at the given time. It reports false if the term is over.
func (g *granter) addMember(m *member, accepted, promise time.Duration) bool {
	m.sentVersions = make(map[api.ServiceName]int64)
	return g.do(func() {
		g.authority.Joined(m.vm)
		g.authority.Promised(m.vm, accepted, promise)
		g.members[m] = true
		m.quota = g.quotas.issuer.Join(bootTime(), m.vm)
		g.nameMember(m.quota)
		g.joinCount++
		g.assignRank(m)
		g.log.Info().Str("event", "vm_joined").Str("peer", string(m.vm)).Int("vms", len(g.ranks)).Msg("")
		now := bootTime()
		g.sendUpdate(now, m, g.news(g.peers(now)))
	})
}

// assignRank gives a VM its previous rank, else a free one.
func (g *granter) assignRank(m *member) {
	free := -1
	for i := range g.ranks {
		if g.ranks[i].vm == m.vm {
			g.ranks[i].connected, g.ranks[i].address = true, m.address
			return
		}
		if free < 0 && !g.ranks[i].connected && (g.ranks[i].vm == "" || bootTime()-g.ranks[i].leftAt > rankRetention) {
			free = i
		}
	}
	if free < 0 {
		free = len(g.ranks)
		g.ranks = append(g.ranks, rank{})
	}
	g.ranks[free] = rank{vm: m.vm, address: m.address, connected: true}
}

func (g *granter) removeMember(m *member, err error) {
	g.do(func() {
		delete(g.members, m)
		g.authority.Left(m.vm, bootTime())
		g.quotas.issuer.Leave(bootTime(), m.quota)
		for i := range g.ranks {
			if g.ranks[i].vm == m.vm {
				g.ranks[i].connected, g.ranks[i].leftAt = false, bootTime()
			}
		}
		g.log.Info().Str("event", "vm_left").Str("peer", string(m.vm)).Err(err).Msg("")
	})
}

// promised records the promise in a report.
func (g *granter) promised(m *member, r report, received time.Duration) {
	promise := time.Duration(r.PromiseMs) * time.Millisecond
	if asked := time.Duration(r.AnswersMs) * time.Millisecond; asked > 0 && asked <= received {
		g.authority.Promised(m.vm, asked, promise)
		return
	}
	g.authority.PromisedUndated(m.vm, received, promise)
}

// handleReport applies a report that has not arrived before a time.
func (g *granter) handleReport(m *member, r report, arrived time.Duration) {
	received := bootTime()
	g.control.operatorFeed.reported(r.OperatorChange)
	g.do(func() {
		becameIsolated := r.Isolated && !m.isolated
		m.leaving, m.isolated, m.reportedAtMs = r.Leaving, r.Isolated, r.SentAtMs
		if r.ContactMs > 0 {
			m.contactAt = arrived - time.Duration(r.ContactMs)*time.Millisecond
		}
		if becameIsolated {
			g.log.Info().Str("event", "vm_isolated").Str("peer", string(m.vm)).Msg("")
			defer func() { g.sendUpdate(received, m, g.news(g.peers(received))) }()
		}
		if r.PromiseMs > 0 {
			g.promised(m, r, arrived)
		}
		if m.relayedTo == 0 {
			m.relayedTo = r.RowsTo
		}
		if m.operatorTo == 0 {
			m.operatorTo = r.OperatorTo
		}
		g.observe(r)
		g.observeHealth(m.vm, r, received)
		g.observeRests(r.Rests, arrived)
		g.control.leaving.merge(g.control.view(), r.LeavingUpstreams, "vm")
		becameCold := g.control.cold.merge(g.control.view(), r.Cold, "vm")
		if g.allocator.handleReport(g.control.view(), m.permits, r, arrived) || becameCold {
			g.sendUpdates(received)
		}
		g.handleQuotaReport(received, m, r)
		g.handleContention(received, m, r.Contended)
	})
}

// sendUpdates sends each VM what has changed since its last update.
func (g *granter) sendUpdates(now time.Duration) {
	g.updatesSentAt = now
	peers := g.peers(now)
	g.links.setFollowed(g.lease, peers, false)
	news := g.news(peers)
	for m := range g.members {
		g.sendUpdate(now, m, news)
	}
	g.proxies.setReaching(g.reaching(0))
	g.control.confirmRank()
	g.control.outage.word(!g.storeUnreachable.Load(), 0)
	g.control.limits.confirmIssuer()
	g.control.contentions.receive(g.control.view(), news.contended)
	g.control.submitOwners(maps.Clone(g.owners), 0, len(g.ranks))
}

// peers returns the addresses of the VMs, that of this one first.
func (g *granter) peers(now time.Duration) []string {
	peers := []string{g.address}
	for _, r := range g.ranks {
		if r.address != "" && (r.connected || now-r.leftAt < peerRetention) {
			peers = append(peers, r.address)
		}
	}
	return peers
}

// news is what the updates to all VMs at one time have in common.
type news struct {
	crashes        []crash.Entry
	operatorChange int64
	peers          []string
	limits         map[*upstream]ratelimit.StatedLimit
	contended      []contentionUpdate
}

func (g *granter) news(peers []string) news {
	return news{crashes: g.links.crashes.snapshot(), operatorChange: g.control.operatorFeed.newestChange(), peers: peers, limits: g.control.limits.all(), contended: g.contentionUpdate()}
}

// samplePeers returns at most maxPeersSent addresses, spread over all; each rank gets others.
// A VM asks a few of them for the granter while it cannot reach the store.
func samplePeers(peers []string, rank int) []string { return sample(peers, rank, maxPeersSent) }

// sample returns at most size addresses, spread over all.
func sample(addresses []string, rank, size int) []string {
	if len(addresses) <= size {
		return addresses
	}
	sample := make([]string, size)
	for i := range sample {
		sample[i] = addresses[(rank+1+i*len(addresses)/size)%len(addresses)]
	}
	return sample
}

// sendUpdate sends a VM what has changed since its last update.
func (g *granter) sendUpdate(now time.Duration, m *member, n news) {
	lease := g.lease
	rank := g.rankOf(m.vm)
	u := update{Rank: rank, VMs: len(g.ranks), StoreUnreachable: g.storeUnreachable.Load(), OperatorChange: n.operatorChange, SentAtMs: now.Milliseconds(), AnswersMs: m.reportedAtMs}
	if !u.StoreUnreachable {
		u.StoreKnownMs = g.control.outage.knownMs()
	}
	u.OperatorAgeMs, u.RowsAgeMs = g.control.operatorFeed.ageMs(), g.control.upstreamFeed.ageMs()
	u.Crashes, u.Contended = m.crashes.take(n.crashes, now), n.contended
	var replaced *quota.Update
	// A pending update is replaced; the new one includes its content.
	select {
	case old := <-m.updates:
		u.Owners, u.Peers, u.Lease = old.Owners, old.Peers, old.Lease
		u.Snapshot = old.Snapshot
		u.Limits, u.Permits = old.Limits, old.Permits
		u.LeavingUpstreams = old.LeavingUpstreams
		u.Cold, u.WholeCalls = old.Cold, old.WholeCalls
		u.Crashes = append(old.Crashes, u.Crashes...)
		replaced = old.Quota
		if old.RowsTo != 0 {
			// Relay the same rows again, together with newer ones.
			m.relayedTo = old.RowsFrom
		}
		if old.OperatorTo != 0 {
			m.operatorTo = old.OperatorFrom
		}
	default:
	}
	if m.relayedTo != 0 && !u.StoreUnreachable {
		// Otherwise the VM reads registrations itself: the feed of this one may be silent.
		u.Rows, u.RowsFrom, u.RowsTo = g.links.relay.since(m.relayedTo)
		m.relayedTo = u.RowsTo
	}
	g.relayOperatorRows(m, &u)
	u.Isolated, u.Largest = g.isolation.active, g.lease.Largest
	leaving, sent := g.control.leaving.news(m.leavingSent)
	u.LeavingUpstreams, m.leavingSent = append(u.LeavingUpstreams, leaving...), sent
	cold, coldTo := g.control.cold.news(m.coldSent)
	u.Cold, m.coldSent = append(u.Cold, cold...), coldTo
	if whole := g.control.wholeCalls.all(); len(whole) > m.wholeSent {
		u.WholeCalls, m.wholeSent = whole, len(whole)
	}
	if m.isolated {
		u.Reaching = g.reaching(rank)
	}
	u.Limits = append(u.Limits, g.allocator.takeNews(m.permits, n.limits, now)...)
	u.Permits = mergeGrants(u.Permits, m.permits.takeGrants())
	u.Quota = g.quotaUpdate(u, m, replaced)
	if !m.hasConfig {
		u.Snapshot = g.snapshot()
		m.hasConfig = u.Snapshot != nil
	}
	if m.sentJoinCount == 0 || m.sentJoinCount != g.joinCount && now-m.peersSentAt >= peersInterval {
		m.sentJoinCount, m.peersSentAt = g.joinCount, now
		u.Peers, u.Lease = samplePeers(n.peers, rank), &lease
	}
	for name, table := range g.owners {
		if m.sentVersions[name] < table.Version {
			if u.Owners == nil {
				u.Owners = make(map[api.ServiceName]ownerTable)
			}
			u.Owners[name], m.sentVersions[name] = g.ownersSince(name, baseVersion(u.Owners[name], m.sentVersions[name])), table.Version
		}
	}
	m.updates <- u
}

// reaching returns the addresses of VMs that reach the upstreams, at most maxProxiesSent; each
// rank gets others. This VM has the work of the granter, and is among them only if there are
// few.
func (g *granter) reaching(rank int) []string {
	var all []string
	for m := range g.members {
		if !m.isolated && !m.leaving && m.address != "" {
			all = append(all, m.address)
		}
	}
	slices.Sort(all)
	if isolated, _ := g.control.reach.isolated(); !isolated && len(all) < minProxies {
		all = append(all, g.address)
	}
	return sample(all, rank, maxProxiesSent)
}

// leaseReaders returns the addresses of the VMs that read the lease for the others if this granter is
// lost: those with the largest capacity, which take it over without a delay, spread over all of them.
func (g *granter) leaseReaders() []string {
	var addresses []string
	largest := g.largestCapacity()
	for _, r := range g.ranks {
		for m := range g.members {
			if m.vm == r.vm && r.connected && m.address != "" && !m.leaving && !m.isolated && !fromMilli(m.capacity).YieldsTo(fromMilli(largest)) {
				addresses = append(addresses, m.address)
			}
		}
	}
	if n := election.Readers(len(g.members)); n > 0 {
		return sample(addresses, 0, n)
	}
	return nil
}

// baseVersion returns the version that a VM has before an update with table is sent to it.
func baseVersion(table ownerTable, sent int64) int64 {
	if table.Version > 0 {
		return table.BaseVersion
	}
	return sent
}

// ownersSince returns the changes of an owner table after a version, or the whole table.
func (g *granter) ownersSince(name api.ServiceName, version int64) ownerTable {
	table := g.owners[name]
	changes := g.ownerChanges[name]
	if version == 0 || len(changes) == 0 || changes[0].BaseVersion > version {
		return table
	}
	out := ownerTable{Term: table.Term, Version: table.Version, BaseVersion: version}
	for _, change := range changes {
		if change.BaseVersion >= version {
			out.Spans = append(out.Spans, change.Spans...)
		}
	}
	return out
}

func (g *granter) rankOf(vm api.VMID) int {
	for i, r := range g.ranks {
		if r.vm == vm {
			return i
		}
	}
	return -1
}
