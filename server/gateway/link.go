package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// linkPath is where a granter accepts the other VMs.
	linkPath = "/granter/v1"
	// incarnationHeader tells which process answers that it does not grant.
	incarnationHeader = "Dandelionhill-Incarnation"
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
	Term        int64           `cbor:"3,keyasint"`
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
}

// links connects VMs with the granter.
type links struct {
	self        api.VMID
	incarnation api.Incarnation
	stats       *stats
	crashes     *crashes
	log         zerolog.Logger

	mu      sync.Mutex
	granter *granter // nil while this VM does not grant
}

func (l *links) serve(g *granter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter = g
}

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
		w.Header().Set(incarnationHeader, string(l.incarnation))
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
	if err := receive(ctx, conn, &h, linkOpen); err != nil || h.Term != g.term {
		l.log.Warn().Str("event", "link_refused").Str("peer", string(h.VM)).Int64("term", h.Term).Err(err).Msg("")
		return
	}
	member := &member{vm: h.VM, updates: make(chan update, 1), close: cancel}
	if !g.join(member) {
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
// connection is lost or hear fails. promise returns for how long this VM will not
// take over, in milliseconds.
func (l *links) attend(ctx context.Context, to lease, hear func(update) error, promise func() int64) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	open, cancelOpen := context.WithTimeout(ctx, linkOpen)
	defer cancelOpen()
	client := &http.Client{Transport: &http.Transport{DialContext: upstreamconn.Dial}}
	conn, resp, err := websocket.Dial(open, "ws://"+to.Address+linkPath, &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		if resp != nil && resp.Header.Get(incarnationHeader) != "" && resp.Header.Get(incarnationHeader) != string(to.Incarnation) {
			return errors.Wrap(errGranterEnded, err.Error())
		}
		return errors.Wrap(err, "connect to the granter")
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrame)
	if err := send(ctx, conn, hello{VM: l.self, Incarnation: l.incarnation, Term: to.Term}); err != nil {
		return err
	}
	go func() {
		for sleep(ctx, reportEvery) {
			rep := l.stats.take()
			rep.PromiseMs, rep.Crashes = promise(), l.crashes.snapshot()
			if err := send(ctx, conn, rep); err != nil {
				cancel(err)
				return
			}
		}
	}()
	for {
		var u update
		if err := receive(ctx, conn, &u, linkSilence); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return err
		}
		l.crashes.merge(u.Crashes)
		if err := hear(u); err != nil {
			return err
		}
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
