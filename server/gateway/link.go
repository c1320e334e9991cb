package gateway

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/delivery"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/core/stall"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/listen"
	"dandelionhill.dev/server/wait"
)

const (
	// linkPath is the path at which the granter accepts connections of the other VMs.
	linkPath = "/granter/v1"
	// vmHeader and incarnationHeader hold the name and the incarnation of a VM that responds that
	// it is not the granter. VMs of earlier versions do not give their name.
	vmHeader          = "Dandelionhill-VM"
	incarnationHeader = "Dandelionhill-Incarnation"
	// lastGranterHeader holds the lease of the granter that the responding VM follows, in JSON.
	lastGranterHeader = "Dandelionhill-Granter"
	// reportInterval is the interval between reports of a VM, updateInterval the longest
	// interval between updates from the granter.
	reportInterval = 400 * time.Millisecond
	// minReportInterval is the shortest interval between reports of a VM. On average those that
	// VMs send at once are reportIntervalPerVM apart for each VM, which bounds those that the
	// granter gets from all to a thousand a second with up to 120 VMs, or maxReportSpacing:
	// requests wait for tokens that a report asks for.
	minReportInterval   = 30 * time.Millisecond
	reportIntervalPerVM = time.Millisecond
	maxReportSpacing    = 120 * time.Millisecond
	// reportBurst is the number of reports that a VM may send at once after a quiet time.
	reportBurst    = 3
	updateInterval = 250 * time.Millisecond
	// linkTimeout is the longest time without a message from the granter, memberTimeout the longest
	// without one of a VM at the granter. Time in which this process does not run does not count.
	linkTimeout   = 700 * time.Millisecond
	memberTimeout = 3*reportInterval + linkTimeout
	// linkDialTimeout bounds the time to connect to the granter.
	linkDialTimeout = time.Second
	// maxFrameBytes bounds a message between VMs.
	maxFrameBytes = 4 << 20
)

// hello is the first message of a VM to the granter.
type hello struct {
	VM          api.VMID        `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	// Term is the granter's term, 0 if the VM does not know it.
	Term int64 `cbor:"3,keyasint"`
	// HasConfig means that the VM has a configuration.
	HasConfig bool `cbor:"5,keyasint,omitempty"`
	// PromiseMs is for how long the VM promises not to take over, in milliseconds.
	PromiseMs int64 `cbor:"6,keyasint,omitempty"`
	// Address is the address of the VM for other VMs.
	Address string `cbor:"4,keyasint"`
	// Capacity is the capacity of the VM for the work of the granter, in thousandths of a core; 0
	// if it is not known.
	Capacity int64 `cbor:"7,keyasint,omitempty"`
}

// update is a message from the granter.
type update struct {
	// Owners holds the changes since the last update.
	Owners map[api.ServiceName]ownerTable `cbor:"1,keyasint,omitempty"`
	// Rank is the rank of the receiver, VMs the number of VMs with a rank.
	Rank int `cbor:"2,keyasint"`
	VMs  int `cbor:"3,keyasint"`
	// StoreUnreachable means that the granter cannot renew its lease at present.
	StoreUnreachable bool `cbor:"4,keyasint,omitempty"`
	// Crashes is the evidence of the VMs on requests that crash upstreams.
	Crashes []crash.Entry `cbor:"5,keyasint,omitempty"`
	// Peers holds the addresses of the VMs if they have changed.
	Peers []string `cbor:"6,keyasint,omitempty"`
	// Rows are the registrations that changed after version RowsFrom of the store, up to
	// RowsTo. RowsTo is 0 while the granter has no complete feed.
	Rows     []fleet.Row `cbor:"8,keyasint,omitempty"`
	RowsFrom int64       `cbor:"9,keyasint,omitempty"`
	RowsTo   int64       `cbor:"10,keyasint,omitempty"`
	// OperatorRows are the rows of operators that changed after version OperatorFrom, up to
	// OperatorTo; that is 0 if the granter does not pass them on.
	OperatorRows []fleet.Row `cbor:"26,keyasint,omitempty"`
	OperatorFrom int64       `cbor:"27,keyasint,omitempty"`
	OperatorTo   int64       `cbor:"28,keyasint,omitempty"`
	// Lease names the granter in the first update, and its successor in the last.
	Lease *lease `cbor:"7,keyasint,omitempty"`
	// Snapshot is for a VM without a configuration.
	Snapshot *stateSnapshot `cbor:"11,keyasint,omitempty"`
	// Limits holds news of the limits that upstreams state, Permits the permits for requests to
	// these upstreams.
	Limits  []limitNews   `cbor:"14,keyasint,omitempty"`
	Permits []permitGrant `cbor:"15,keyasint,omitempty"`
	// OperatorChange is the version of the newest row of operators that any VM has read.
	OperatorChange int64 `cbor:"13,keyasint,omitempty"`
	// Reaching holds the addresses of VMs that reach the upstreams, for an isolated VM.
	Reaching []string `cbor:"16,keyasint,omitempty"`
	// OperatorAgeMs and RowsAgeMs say how old the granter's knowledge of the operators' rows and
	// of the registrations is, in milliseconds and at least 1: it has all changes that the store
	// had accepted before that. 0 if it does not know, as with granters of earlier versions.
	OperatorAgeMs int64 `cbor:"19,keyasint,omitempty"`
	RowsAgeMs     int64 `cbor:"20,keyasint,omitempty"`
	// StoreKnownMs is for how long the store has been known to answer, in milliseconds; 0 if the
	// granter does not know, as with those of earlier versions.
	StoreKnownMs int64 `cbor:"24,keyasint,omitempty"`
	// Isolated means that no upstream can be reached from the granter: it asks whether the
	// receiver reaches any.
	Isolated bool `cbor:"17,keyasint,omitempty"`
	// LeavingUpstreams are upstreams that are about to leave, as any VM has read in responses.
	LeavingUpstreams []ownership.Owner `cbor:"18,keyasint,omitempty"`
	// Cold holds upstreams that are cold, as any VM has read in responses.
	Cold []coldNews `cbor:"38,keyasint,omitempty"`
	// WholeCalls holds upstreams that ignore Expect: 100-continue, if there are more than before.
	WholeCalls []ownership.Owner `cbor:"39,keyasint,omitempty"`
	// Handover makes the receiver the caretaker.
	Handover *handover `cbor:"12,keyasint,omitempty"`
	// Field 21 is reserved: VMs of earlier versions take it as the promise that an orderly end of
	// the connection shows the end of the granter.

	// SentAtMs is the granter's clock before the update was sent, in milliseconds. It means nothing
	// to the receiver, which returns it in its reports on the same connection.
	SentAtMs int64 `cbor:"22,keyasint,omitempty"`
	// AnswersMs is report.SentAtMs of the last report that the granter had received before it
	// computed the update, 0 if there is none. Granters of earlier versions state it only with
	// Handover.
	AnswersMs int64 `cbor:"23,keyasint,omitempty"`

	// Largest is the largest capacity of the VMs, see lease.
	Largest int64 `cbor:"25,keyasint,omitempty"`

	// Quota holds tokens of workspaces. Granters of earlier versions issue none.
	Quota *quota.Update `cbor:"30,keyasint,omitempty"`

	// Contended holds all upstreams that are watched for contention. Granters of earlier versions
	// watch none.
	Contended []contentionUpdate `cbor:"34,keyasint,omitempty"`

	// late means that the update was under way for longer than linkTimeout: it gives this VM no rank.
	late bool
	// sent is closed when the update has been sent, unless it is nil.
	sent chan struct{}
	// delayed is for how long the update may have waited for this process to run, 0 if it has not.
	delayed time.Duration
}

// errUndated means that a message may have waited for this process, and the peer of an earlier
// version does not say what it answers.
var errUndated = errors.New("the age of the messages of the other VM is not known after a stall")

// delay adds the time for which an update may have waited to the ages that it states.
func (u *update) delay(by time.Duration) {
	u.delayed = by
	if by == 0 {
		return
	}
	ms := by.Milliseconds() + 1
	if u.OperatorAgeMs > 0 {
		u.OperatorAgeMs += ms
	}
	if u.RowsAgeMs > 0 {
		u.RowsAgeMs += ms
	}
	for i := range u.Limits {
		u.Limits[i].AgeMs += ms
	}
}

// links holds the connections between the granter and the other VMs.
type links struct {
	self        api.VMID
	incarnation api.Incarnation
	address     string
	stats       *trafficStats
	crashes     *crashes
	// relay is that of registrations, operatorRelay that of the rows of operators.
	relay, operatorRelay *relay
	limits               *statedLimits
	log                  zerolog.Logger
	// pacer is that of the link of this VM.
	pacer *linkPacer
	// messages grants memory to the messages of other VMs.
	messages *listen.Messages
	// stalls finds the times at which this process did not run.
	stalls *stalls
	// elector provides this VM's promises, hasConfig reports whether this VM has a configuration.
	elector   *elector
	hasConfig func() bool
	// leaving means that this process is stopping.
	leaving atomic.Bool
	// reportRequested receives requests for an immediate report to the granter.
	reportRequested chan struct{}

	mu      sync.Mutex
	granter *granter // nil while this VM does not grant
	// lastGranter is the granter that this VM last followed, peers the addresses of the
	// VMs. They are used to find the granter when the store cannot be reached.
	lastGranter lease
	peers       []string
	// following means that the connection to lastGranter is open.
	following bool
}

// reportNow requests a report to the granter without delay.
func (l *links) reportNow() {
	select {
	case l.reportRequested <- struct{}{}:
	default:
	}
}

// coldNews tells the other VMs without delay that an upstream has become cold.
func (l *links) coldNews() {
	l.reportNow()
	if g := l.currentGranter(); g != nil {
		go g.do(func() { g.sendUpdates(bootTime()) })
	}
}

func (l *links) setGranter(g *granter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter = g
	l.crashes.linked()
	l.elector.control.setWatching(g != nil)
}

// redirect sets the headers that tell a VM which process responds, and which granter that
// process follows.
func (l *links) redirect(w http.ResponseWriter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set(vmHeader, string(l.self))
	w.Header().Set(incarnationHeader, string(l.incarnation))
	if !l.following {
		return
	}
	data, err := json.Marshal(l.lastGranter)
	if err != nil {
		l.log.Error().Str("event", "lease_not_encoded").Err(err).Msg("")
		return
	}
	w.Header().Set(lastGranterHeader, string(data))
}

// granterMovedError names the granter that another VM follows.
type granterMovedError struct{ to lease }

// Error implements error.
func (e *granterMovedError) Error() string {
	return "another VM is the granter: connect to " + e.to.Address
}

// knownPeers returns the addresses of VMs that this one knows.
func (l *links) knownPeers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers
}

// currentGranter returns the granter on this VM, nil if this VM is not the granter.
func (l *links) currentGranter() *granter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granter
}

// ServeHTTP accepts the connection of another VM to the granter on this VM.
func (l *links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := l.currentGranter()
	if g == nil {
		l.redirect(w)
		http.Error(w, "this VM does not grant keys: read the lease again", http.StatusMisdirectedRequest)
		return
	}
	accepted := bootTime()
	maps.Copy(w.Header(), linkHeaders(l.pacer.mbps))
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		l.log.Warn().Str("event", "link_refused").Err(err).Msg("")
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrameBytes)
	link := l.linkTo(r.Header)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	messages := l.messages.Connection(listen.ConnOf(r), maxFrameBytes)
	var h hello
	if err := receiveBounded(ctx, messages, conn, &h, linkDialTimeout); err != nil || h.Term > g.term {
		l.log.Warn().Str("event", "link_refused").Str("peer", string(h.VM)).Int64("term", h.Term).Err(err).Msg("")
		return
	}
	member := &member{vm: h.VM, address: h.Address, hasConfig: h.HasConfig, capacity: h.Capacity, permits: newPermitClient(), updates: make(chan update, 1), close: cancel, ended: ctx.Done()}
	if !g.addMember(member, accepted, time.Duration(h.PromiseMs)*time.Millisecond) {
		return
	}
	messages.Establish()
	go func() {
		defer cancel()
		for {
			select {
			case u := <-member.updates:
				if err := send(ctx, conn, link, u); err != nil {
					return
				}
				if u.sent != nil {
					close(u.sent)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	arrivals := stall.NewArrivals(memberTimeout, l.stalls.clock())
	for {
		var rep report
		if err = l.receiveReport(ctx, messages, conn, &rep); err != nil {
			break
		}
		arrived, ok := arrivals.Received(l.stalls.clock(), time.Duration(rep.AnswersMs)*time.Millisecond)
		if !ok {
			err = errUndated
			break
		}
		l.crashes.merge(rep.Crashes)
		g.handleReport(member, rep, arrived)
	}
	g.removeMember(member, err)
}

// connect connects to the granter and passes its updates to handle until the connection
// is lost or handle fails.
func (l *links) connect(ctx context.Context, to lease, handle func(update) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dialCtx, cancelDial := context.WithTimeout(ctx, linkDialTimeout)
	defer cancelDial()
	client := &http.Client{Transport: &http.Transport{DialContext: dialPeer, MaxResponseHeaderBytes: maxHeaderBytes}}
	// A VM that is not the granter responds and keeps the connection open.
	defer client.CloseIdleConnections()
	conn, resp, err := websocket.Dial(dialCtx, "ws://"+to.Address+linkPath, &websocket.DialOptions{HTTPClient: client, HTTPHeader: linkHeaders(l.pacer.mbps)})
	if err != nil {
		if resp != nil && resp.Header.Get(lastGranterHeader) != "" {
			var moved granterMovedError
			if json.Unmarshal([]byte(resp.Header.Get(lastGranterHeader)), &moved.to) == nil && moved.to.newerThan(to) {
				return &moved
			}
		}
		err = errors.Wrap(err, "connect to the granter")
		if dialEnd(to, resp).GranterEnded() {
			return &granterEndedError{term: to.Term, cause: err}
		}
		return err
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrameBytes)
	link := l.linkTo(resp.Header)
	greeting := hello{VM: l.self, Incarnation: l.incarnation, Term: to.Term, Address: l.address, HasConfig: l.hasConfig(), Capacity: milliCapacity(l.elector.capacities.own)}
	if to.unconfirmed {
		greeting.PromiseMs = l.elector.promiseGranter().Milliseconds()
	}
	if err := send(ctx, conn, link, greeting); err != nil {
		return err
	}
	l.limits.connected()
	l.elector.control.quotas.connected()
	var answers atomic.Int64 // SentAtMs of the last update
	arrivals := stall.NewArrivals(linkTimeout, l.stalls.clock())
	l.crashes.linked()
	go func() {
		if err := l.sendReports(ctx, conn, link, &answers); err != nil {
			cancel(err)
		}
	}()
	defer l.setFollowed(lease{}, nil, false)
	for {
		var u update
		if err := l.receiveUpdate(ctx, conn, link.Link, &u); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return err
		}
		now := l.stalls.clock()
		arrived, ok := arrivals.Received(now, time.Duration(u.AnswersMs)*time.Millisecond)
		if !ok {
			return errUndated
		}
		u.delay(now - arrived)
		answers.Store(u.SentAtMs)
		l.crashes.merge(u.Crashes)
		l.crashes.setKnown()
		if u.Lease != nil {
			if to.VM != "" && to.VM != unknownVM && u.Lease.VM != to.VM {
				return &granterMovedError{to: *u.Lease}
			}
			to = *u.Lease
		}
		l.setFollowed(to, u.Peers, true)
		if err := handle(u); err != nil {
			return err
		}
	}
}

// dialEnd says what a response to an attempt to connect to a granter shows; resp is nil if there
// was none.
func dialEnd(to lease, resp *http.Response) election.LinkEnd {
	if resp == nil {
		return election.LinkLost
	}
	return election.ResponseShows(election.Process{VM: to.VM, Incarnation: to.Incarnation}, election.Process{
		VM: api.VMID(resp.Header.Get(vmHeader)), Incarnation: api.Incarnation(resp.Header.Get(incarnationHeader)),
	})
}

// reportSpacing spaces the reports that a VM sends at once.
type reportSpacing struct{ spent time.Duration }

// next records a report and returns the time until the next one may be sent at once.
func (s *reportSpacing) next(now, interval time.Duration) time.Duration {
	s.spent = max(s.spent, now-reportBurst*interval) + interval
	return max(s.spent+interval-now, minReportInterval)
}

// sendReports sends reports to the granter until ctx ends or a send fails. answers is
// update.SentAtMs of the last update received.
func (l *links) sendReports(ctx context.Context, conn *websocket.Conn, link controlLink, answers *atomic.Int64) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var evidence crashSender
	leavingSent, coldSent := 0, 0
	var spacing reportSpacing
	for {
		pause := minReportInterval
		select {
		case <-ticker.C:
		case <-l.reportRequested:
			interval := min(time.Duration(l.elector.control.view().vms)*reportIntervalPerVM, maxReportSpacing)
			pause = spacing.next(bootTime(), max(minReportInterval, interval))
		case <-ctx.Done():
			return nil
		}
		rep := l.stats.takeReport()
		// Read before the promise, which therefore was computed after that update was sent.
		rep.AnswersMs, rep.SentAtMs = answers.Load(), bootTime().Milliseconds()
		rep.PromiseMs, rep.Leaving = l.elector.promiseRemaining().Milliseconds(), l.leaving.Load()
		rep.RowsTo, rep.OperatorTo = l.relay.version(), l.operatorRelay.version()
		l.elector.control.reach.addTo(&rep)
		rep.Rests = l.elector.control.view().rests()
		rep.LeavingUpstreams, leavingSent = l.elector.control.leaving.news(leavingSent)
		rep.Cold, coldSent = l.elector.control.cold.news(coldSent)
		rep.Limits, rep.Demands = l.limits.report()
		rep.Quota = l.elector.control.quotas.report()
		rep.Contended = l.elector.control.contentions.report()
		rep.Crashes = evidence.take(l.crashes.snapshot(), bootTime())
		rep.OperatorChange = l.elector.control.operatorFeed.newestChange()
		if err := send(ctx, conn, link, rep); err != nil {
			return err
		}
		ticker.Reset(reportInterval)
		wait.For(ctx, pause)
	}
}

// setFollowed records the granter that this VM follows, and the addresses of all VMs.
func (l *links) setFollowed(to lease, peers []string, following bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.following = following
	if to.newerThan(l.lastGranter) {
		l.lastGranter = to
	}
	if peers != nil {
		l.peers = peers
	}
}

// controlLink is the path of control messages to another VM.
type controlLink struct {
	delivery.Link
	// pacer, unless it is nil, is that of the link of this VM.
	pacer *linkPacer
}

// linkTo returns the path to a VM whose handshake had some headers.
func (l *links) linkTo(peer http.Header) controlLink {
	return controlLink{linkTo(l.pacer.mbps, peer), l.pacer}
}

// send sends a control message, with the time that its bytes take over the link. It is not paced, and
// paced pieces wait for what control messages take beyond their part of the link.
func send(ctx context.Context, conn *websocket.Conn, link controlLink, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode a message between VMs")
	}
	if link.pacer != nil {
		link.pacer.unpaced(len(data))
	}
	_, err = writeMessage(ctx, conn, link.Link, data, nil)
	return errors.Wrap(err, "send a message between VMs")
}

// errLateUpdate means that an update took longer than linkTimeout and holds what may have lapsed.
var errLateUpdate = errors.New("an update of the granter took too long: it may hold what is no longer so")

// receiveUpdate receives an update of the granter, which must be whole within linkTimeout. It may take
// longer, while its bytes arrive, only if it has a snapshot, for a VM without a configuration, and nothing
// that the granter gives to others after linkTimeout. Time in which this process does not run does not
// count.
func (l *links) receiveUpdate(ctx context.Context, conn *websocket.Conn, link delivery.Link, u *update) error {
	began, stalled := l.stalls.running()
	silence := l.stalls.begin(ctx, linkTimeout)
	defer silence.stop()
	_, r, err := conn.Reader(silence.ctx)
	if err != nil {
		return receiveError(silence.ctx, err)
	}
	data, err := l.receivePieces(silence, r, link)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, u); err != nil {
		return errors.Wrap(err, "decode a message between VMs")
	}
	allowed := linkTimeout
	now, stalledNow := l.stalls.running()
	if stalledNow > stalled {
		allowed += stall.CatchUp
	}
	if took := now - began; took >= allowed {
		if u.Snapshot == nil || u.lapses() {
			return errLateUpdate
		}
		u.late = true
		u.age(took)
	}
	return nil
}

// receivePieces reads a message while its pieces arrive in time.
func (l *links) receivePieces(silence *silence, r io.Reader, link delivery.Link) (data []byte, err error) {
	moved, _ := l.stalls.running()
	transfer := link.NewTransfer(linkTimeout)
	piece := make([]byte, delivery.PieceBytes)
	for {
		silence.restart(transfer.Next(len(piece)))
		n, err := r.Read(piece)
		now, _ := l.stalls.running()
		transfer.Moved(n, now-moved)
		moved, data = now, append(data, piece[:n]...)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, receiveError(silence.ctx, err)
		}
	}
}

// lapses reports whether the update holds what the granter may give to others after linkTimeout.
func (u *update) lapses() bool {
	return len(u.Permits) > 0 || u.Quota != nil || u.Handover != nil || len(u.Contended) > 0
}

// age adds the time for which the update was under way to the ages that it states.
func (u *update) age(by time.Duration) {
	for _, ms := range []*int64{&u.OperatorAgeMs, &u.RowsAgeMs, &u.StoreKnownMs} {
		if *ms > 0 {
			*ms += by.Milliseconds()
		}
	}
	for i := range u.Limits {
		u.Limits[i].AgeMs += by.Milliseconds()
	}
}

// receiveReport receives a report of a VM within the limits on messages of other VMs.
func (l *links) receiveReport(ctx context.Context, messages *listen.MessageConn, conn *websocket.Conn, rep *report) error {
	ctx, stop := l.stalls.within(ctx, memberTimeout)
	defer stop()
	m, err := readMessage(ctx, messages, conn)
	defer m.Release()
	if err != nil {
		return receiveError(ctx, err)
	}
	return errors.Wrap(cbor.Unmarshal(m.Data, rep), "decode a message between VMs")
}

// receiveError returns why a message was not received.
func receiveError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errPeerSilent) {
		err = errPeerSilent
	}
	return errors.Wrap(err, "receive a message between VMs")
}

// receiveBounded receives a message within a time and the limits on messages of other VMs.
func receiveBounded(ctx context.Context, messages *listen.MessageConn, conn *websocket.Conn, message any, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	m, err := readMessage(ctx, messages, conn)
	defer m.Release()
	if err != nil {
		return errors.Wrap(err, "receive a message between VMs")
	}
	return errors.Wrap(cbor.Unmarshal(m.Data, message), "decode a message between VMs")
}
