package gateway

import (
	"context"
	"encoding/json"
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
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// linkPath is where a granter accepts the other VMs.
	linkPath = "/granter/v1"
	// incarnationHeader tells which process answers that it does not grant.
	incarnationHeader = "Dandelionhill-Incarnation"
	// granterHeader tells which granter the answering VM follows, in JSON.
	granterHeader = "Dandelionhill-Granter"
	// reportEvery is the time between reports of a VM, updateEvery between updates
	// of the granter that say only that it is there.
	reportEvery = 400 * time.Millisecond
	updateEvery = 250 * time.Millisecond
	// linkSilence is how long a granter may say nothing.
	linkSilence = 700 * time.Millisecond
	// linkOpen bounds the time to connect to a granter.
	linkOpen = time.Second
	// maxFrame bounds a message between VMs, in bytes.
	maxFrame = 4 << 20
)

// hello is the first message of a VM to the granter.
type hello struct {
	VM          api.VMID        `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	// Term is the granter's term, 0 if the VM does not know it.
	Term int64 `cbor:"3,keyasint"`
	// Informed says that the VM knows a configuration.
	Informed bool `cbor:"5,keyasint,omitempty"`
	// PromiseMs is for how long the VM leaves the granter alone, in milliseconds.
	PromiseMs int64 `cbor:"6,keyasint,omitempty"`
	// Address is where other VMs reach this one.
	Address string `cbor:"4,keyasint"`
}

// update is a message of the granter.
type update struct {
	// Holdings holds what has changed since the last update.
	Holdings map[api.ServiceName]holdings `cbor:"1,keyasint,omitempty"`
	// Rank is the place of the receiver among Of VMs.
	Rank int `cbor:"2,keyasint"`
	Of   int `cbor:"3,keyasint"`
	// StoreSilent means that the granter cannot renew its lease at present.
	StoreSilent bool `cbor:"4,keyasint,omitempty"`
	// Crashes is what the VMs know of requests that crash upstreams.
	Crashes []crash.Entry `cbor:"5,keyasint,omitempty"`
	// Peers holds the addresses of the VMs, when they have changed.
	Peers []string `cbor:"6,keyasint,omitempty"`
	// Rows are entries of upstreams that have changed after version RowsFrom of the
	// store, up to RowsTo. RowsTo is 0 while the granter does not follow them.
	Rows     []fleet.Row `cbor:"8,keyasint,omitempty"`
	RowsFrom int64       `cbor:"9,keyasint,omitempty"`
	RowsTo   int64       `cbor:"10,keyasint,omitempty"`
	// Lease names the granter, in the first update, and the one after it, in the last.
	Lease *lease `cbor:"7,keyasint,omitempty"`
	// Knowledge is for a VM that knows no configuration.
	Knowledge *knowledge `cbor:"11,keyasint,omitempty"`
	// Handover makes the receiver the caretaker.
	Handover *handover `cbor:"12,keyasint,omitempty"`

	// sent is closed when the update has been sent, unless it is nil.
	sent chan struct{}
}

// links connects VMs with the granter.
type links struct {
	self        api.VMID
	incarnation api.Incarnation
	address     string
	stats       *stats
	crashes     *crashes
	relay       *relay
	log         zerolog.Logger
	// elector promises, informed tells whether this VM knows a configuration.
	elector  *elector
	informed func() bool
	// leaving says that this process is about to stop.
	leaving atomic.Bool
	// report asks for a report to the granter at once.
	report chan struct{}

	mu      sync.Mutex
	granter *granter // nil while this VM does not grant
	// known is the granter that this VM followed last, peers the addresses of the
	// VMs: they lead to the granter while the store does not.
	known lease
	peers []string
	// following tells that the connection to known is open.
	following bool
}

// reportNow sends the next report to the granter without delay.
func (l *links) reportNow() {
	select {
	case l.report <- struct{}{}:
	default:
	}
}

func (l *links) serve(g *granter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter = g
}

// redirect tells which process answers, and which granter it follows.
func (l *links) redirect(w http.ResponseWriter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set(incarnationHeader, string(l.incarnation))
	if !l.following {
		return
	}
	data, err := json.Marshal(l.known)
	if err != nil {
		l.log.Error().Str("event", "lease_not_encoded").Err(err).Msg("")
		return
	}
	w.Header().Set(granterHeader, string(data))
}

// errMoved names the granter that another VM follows.
type errMoved struct{ to lease }

// Error implements error.
func (e *errMoved) Error() string { return "another VM grants keys: connect to " + e.to.Address }

// current returns the granter on this VM, nil if it does not grant.
func (l *links) current() *granter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granter
}

// ServeHTTP accepts the connection of a VM to the granter on this VM.
func (l *links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g := l.current()
	if g == nil {
		l.redirect(w)
		http.Error(w, "this VM does not grant keys: read the lease again", http.StatusMisdirectedRequest)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		l.log.Warn().Str("event", "link_refused").Err(err).Msg("")
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrame)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	var h hello
	if err := receive(ctx, conn, &h, linkOpen); err != nil || h.Term > g.term {
		l.log.Warn().Str("event", "link_refused").Str("peer", string(h.VM)).Int64("term", h.Term).Err(err).Msg("")
		return
	}
	member := &member{vm: h.VM, address: h.Address, informed: h.Informed, updates: make(chan update, 1), close: cancel, ended: ctx.Done()}
	if !g.join(member, time.Duration(h.PromiseMs)*time.Millisecond) {
		return
	}
	go func() {
		defer cancel()
		for {
			select {
			case u := <-member.updates:
				if err := send(ctx, conn, u); err != nil {
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
	for {
		var rep report
		if err = receive(ctx, conn, &rep, 3*reportEvery+linkSilence); err != nil {
			break
		}
		l.crashes.merge(rep.Crashes)
		g.reported(member, rep)
	}
	g.left(member, err)
}

// attend connects to the granter and gives its updates to hear, until the
// connection is lost or hear fails.
func (l *links) attend(ctx context.Context, to lease, hear func(update) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	open, cancelOpen := context.WithTimeout(ctx, linkOpen)
	defer cancelOpen()
	client := &http.Client{Transport: &http.Transport{DialContext: upstreamconn.Dial}}
	// A VM that does not grant answers and keeps the connection open.
	defer client.CloseIdleConnections()
	conn, resp, err := websocket.Dial(open, "ws://"+to.Address+linkPath, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		if resp != nil && resp.Header.Get(granterHeader) != "" {
			var moved errMoved
			if json.Unmarshal([]byte(resp.Header.Get(granterHeader)), &moved.to) == nil && moved.to.after(to) {
				return &moved
			}
		}
		if resp != nil && to.Incarnation != "" && resp.Header.Get(incarnationHeader) != "" && resp.Header.Get(incarnationHeader) != string(to.Incarnation) {
			return &errGranterEnded{term: to.Term, cause: err}
		}
		return errors.Wrap(err, "connect to the granter")
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrame)
	greeting := hello{VM: l.self, Incarnation: l.incarnation, Term: to.Term, Address: l.address, Informed: l.informed()}
	if to.unread {
		greeting.PromiseMs = l.elector.promise().Milliseconds()
	}
	if err := send(ctx, conn, greeting); err != nil {
		return err
	}
	go func() {
		if err := l.keepReporting(ctx, conn); err != nil {
			cancel(err)
		}
	}()
	defer l.follow(lease{}, nil, false)
	for {
		var u update
		if err := receive(ctx, conn, &u, linkSilence); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return err
		}
		l.crashes.merge(u.Crashes)
		if u.Lease != nil {
			if to.VM != "" && to.VM != unknownVM && u.Lease.VM != to.VM {
				return &errMoved{to: *u.Lease}
			}
			to = *u.Lease
		}
		l.follow(to, u.Peers, true)
		if err := hear(u); err != nil {
			return err
		}
	}
}

// keepReporting sends reports to the granter until ctx ends or one fails.
func (l *links) keepReporting(ctx context.Context, conn *websocket.Conn) error {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.report:
		case <-ctx.Done():
			return nil
		}
		rep := l.stats.take()
		rep.PromiseMs, rep.Leaving = l.elector.promised().Milliseconds(), l.leaving.Load()
		rep.Crashes, rep.RowsTo = l.crashes.snapshot(), l.relay.version()
		if err := send(ctx, conn, rep); err != nil {
			return err
		}
	}
}

// follow notes the granter that this VM follows, and the addresses of all VMs.
func (l *links) follow(to lease, peers []string, following bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.following = following
	if to.after(l.known) {
		l.known = to
	}
	if peers != nil {
		l.peers = peers
	}
}

func send(ctx context.Context, conn *websocket.Conn, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode a message between VMs")
	}
	ctx, cancel := context.WithTimeout(ctx, linkSilence)
	defer cancel()
	return errors.Wrap(conn.Write(ctx, websocket.MessageBinary, data), "send a message between VMs")
}

func receive(ctx context.Context, conn *websocket.Conn, message any, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, data, err := conn.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "receive a message between VMs")
	}
	return errors.Wrap(cbor.Unmarshal(data, message), "decode a message between VMs")
}
