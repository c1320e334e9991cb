package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/lease"
)

// freezer freezes a server as soon as it starts a run.
type freezer struct {
	server *Server
	ended  chan *Run
}

func (f *freezer) Started(*Run)   { f.server.SetFaults(Faults{Frozen: true}) }
func (f *freezer) Ended(run *Run) { f.ended <- run }

// TestFrozenRunDoesNotCompleteAfterItsDeadline guards against a fake that completes a run
// after its deadline because it was frozen: histories would show two owners although the
// protocol allows one.
func TestFrozenRunDoesNotCompleteAfterItsDeadline(t *testing.T) {
	f := &freezer{ended: make(chan *Run, 1)}
	f.server = New(Config{ID: "u", Slots: 1, ServiceTime: time.Millisecond, QueueLimit: 1, Checks: lease.ChecksDeadline, Recorder: f})
	if err := f.server.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer f.server.Stop()
	started := time.Now()
	req, err := http.NewRequest(http.MethodGet, "http://"+f.server.Address()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderDeadline, "1000")
	req.Header.Set(api.HeaderIncarnation, string(f.server.Incarnation()))
	time.AfterFunc(1500*time.Millisecond, func() { f.server.SetFaults(Faults{}) })
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		t.Fatalf("got a response with status %d", resp.StatusCode)
	}
	run := <-f.ended
	if run.Completed {
		t.Error("the run completed after its deadline")
	}
	if run.End.After(started.Add(time.Second + 100*time.Millisecond)) {
		t.Errorf("the run ended %v after the start, want at its deadline of 1 s", run.End.Sub(started))
	}
}

// TestRunEndsAfterItsStart guards against a fake that records the end of a run before its start,
// because its process did not run between the check of the request and the start, until after the
// deadline: histories would show an owner that ends what it has not begun.
func TestRunEndsAfterItsStart(t *testing.T) {
	s := New(Config{ID: "u", Slots: 1, QueueLimit: 1, Checks: lease.ChecksDeadline})
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set(api.HeaderIncarnation, string(s.Incarnation()))
	ctx, stop, admitted, reason := s.admit(r, 0, lease.NoRange, time.Hour)
	if reason != "" {
		t.Fatal(reason)
	}
	defer stop()
	late, cancel := context.WithDeadline(ctx, admitted)
	defer cancel()
	for !time.Now().After(admitted) {
		time.Sleep(time.Millisecond)
	}
	if end := s.endTime(late, false); end.Before(admitted) {
		t.Errorf("the run ended %v before its start", admitted.Sub(end))
	}
	if deadline, _ := ctx.Deadline(); deadline.Before(admitted) {
		t.Error("the deadline is before the start")
	}
}
