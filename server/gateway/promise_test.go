package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/election"
	fakes "dandelionhill.dev/fakes/fleet"
)

// TestPromiseThatWaited guards against a granter that renews on a promise which has ended: it was
// stopped, or the message was held up on its way, and it counts the promise from its receipt.
func TestPromiseThatWaited(t *testing.T) {
	cfg := election.DefaultConfig()
	received := bootTime()
	asked := received - time.Second
	const vm api.VMID = "vm-b"
	for name, c := range map[string]struct {
		answers time.Duration
		want    time.Duration
	}{
		"an update":               {answers: asked, want: asked + cfg.PromiseTTL},
		"no update":               {want: received + cfg.PromiseTTL - cfg.MaxMessageDelay},
		"an update of the future": {answers: received + time.Hour, want: received + cfg.PromiseTTL - cfg.MaxMessageDelay},
	} {
		t.Run(name, func(t *testing.T) {
			authority := election.NewAuthority(cfg, received-time.Minute, 2)
			authority.Joined(vm)
			g := &granter{elector: &elector{log: zerolog.Nop()}, authority: authority}
			g.promised(&member{vm: vm}, report{PromiseMs: cfg.PromiseTTL.Milliseconds(), AnswersMs: c.answers.Milliseconds()}, received)
			require.InDelta(t, c.want.Milliseconds(), authority.RenewUntil(received).Milliseconds(), 1)
		})
	}
}

// receive receives a message of a VM under test.
func receive(ctx context.Context, conn *websocket.Conn, message any, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	_, data, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(data, message)
}

// TestReportNamesItsUpdate guards against promises that the granter can't date, because a report
// does not say which update its VM had received.
func TestReportNamesItsUpdate(t *testing.T) {
	const sentAt = 12345
	d := newDeployment(t)
	g := d.startVM("vm-a")
	reports := make(chan report, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer conn.CloseNow()
		var h hello
		if receive(r.Context(), conn, &h, waitTimeout) != nil {
			return
		}
		for r.Context().Err() == nil {
			var rep report
			if send(r.Context(), conn, controlLink{}, update{SentAtMs: sentAt}) != nil || receive(r.Context(), conn, &rep, waitTimeout) != nil {
				return
			}
			if rep.AnswersMs != 0 {
				reports <- rep
				return
			}
			g.links.reportNow()
		}
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	go func() {
		_ = g.links.connect(ctx, lease{VM: "vm-b", Address: server.Listener.Addr().String()}, func(update) error { return nil })
	}()
	select {
	case rep := <-reports:
		require.EqualValues(t, sentAt, rep.AnswersMs)
	case <-ctx.Done():
		t.Fatal("no report names an update")
	}
}

// TestHandoverNamesItsReport guards against promises that a caretaker can't date, because the
// granter does not say which of its reports it had received.
func TestHandoverNamesItsReport(t *testing.T) {
	const sentAt = 777
	d := newDeployment(t)
	a := d.startVM("vm-a")
	d.eventually(func() bool { return a.links.currentGranter() != nil }, "the VM grants")
	granter := a.links.currentGranter()
	conn, resp, err := websocket.Dial(t.Context(), "ws://"+a.settings.Listen.Peers+linkPath, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusSwitchingProtocols, resp.StatusCode)
	defer conn.CloseNow()
	conn.SetReadLimit(maxFrameBytes)
	require.NoError(t, send(t.Context(), conn, controlLink{}, hello{VM: "vm-b", Address: "127.0.0.1:1"}))
	d.store.SetFaults(fakes.Faults{Refuse: true})
	handedOver := make(chan bool, 1)
	for {
		var u update
		require.NoError(t, receive(t.Context(), conn, &u, waitTimeout))
		if u.Handover != nil {
			require.EqualValues(t, sentAt, u.AnswersMs)
			<-handedOver
			return
		}
		require.NoError(t, send(t.Context(), conn, controlLink{}, report{PromiseMs: time.Minute.Milliseconds(), AnswersMs: u.SentAtMs, SentAtMs: sentAt}))
		if !u.StoreUnreachable {
			continue
		}
		// It does not hand over while the store may hold a young renewal.
		go granter.do(func() {
			if granter.handOver(granter.successor()) {
				handedOver <- true
				granter.termOver = true
			}
		})
	}
}
