package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/core/shardmap"
	"dandelionhill.dev/server/control"
)

// FuzzRequest checks that no header of a caller crashes the entry, that each response
// has a complete outcome, and that forwarded requests are within the limits that the
// holder relies on.
func FuzzRequest(f *testing.F) {
	f.Add("GET", "/s/a?b=c", "250", "true", "key", "01a23fd3-7d90-7adc-bc5e-72dd8db1718c", "caller")
	f.Add("POST", "/s", "", "", "", "", "")
	f.Add("BREW", "/s", "", "", "", "", "")
	f.Add("GET", "/", "", "", "", "", "")
	f.Add("POST", "/s/-/upstream/health", "60001", "yes", "\x00", "01a23fd3-7d90-1adc-bc5e-72dd8db1718c", ":")
	f.Add("DELETE", "/s/%2e%2e/-/x", "-1", "false", "k", "not a UUID", "a:b:c")
	f.Fuzz(func(t *testing.T, method, target, timeout, idempotent, key, id, caller string) {
		req, err := http.NewRequest(method, "http://entry", strings.NewReader("body"))
		if err != nil || !strings.HasPrefix(target, "/") {
			return
		}
		if req.URL, err = req.URL.Parse(target); err != nil {
			return
		}
		req.RemoteAddr = "127.0.0.1:1"
		for name, value := range map[string]string{
			api.HeaderTimeout: timeout, api.HeaderIdempotent: idempotent, api.HeaderKey: key,
			api.HeaderRequestID: id, api.HeaderCaller: caller,
		} {
			if value != "" {
				req.Header.Set(name, value)
			}
		}
		forwarded := &recorder{}
		snapshot := &control.Snapshot{
			Document: &config.Document{
				Revision: 1, ActivePreset: "p",
				Presets: []config.Preset{{Name: "p", DefaultTimeout: config.Duration(time.Second)}},
			},
			ConfirmedUntil: time.Hour,
			Services: map[api.ServiceName]control.Service{"s": {
				Service: config.Service{Name: "s", MaxBody: 1024, Keyed: key != ""},
				Routes:  shardmap.New("s", 1, []placement.Shard{{First: 0, Last: 0}}, nil),
			}},
			Holders: map[api.ShardID]control.Holder{testShard: {VM: "other"}},
		}
		w := httptest.NewRecorder()
		newTestEntry(forwarded, func() *control.Snapshot { return snapshot }).Handler().ServeHTTP(w, req)
		outcome := w.Header().Get(api.HeaderOutcome)
		switch {
		case forwarded.last != nil && outcome == string(api.Answered):
			checkForward(t, forwarded.last)
		case forwarded.last == nil && outcome == string(api.NotRun) && w.Header().Get(api.HeaderRefusal) != "":
		default:
			t.Fatalf("status %d, headers %v, forwarded %+v", w.Code, w.Header(), forwarded.last)
		}
	})
}

// recorder replies to every call and keeps the request.
type recorder struct{ last *wire.Forward }

func (r *recorder) Call(_ context.Context, _ api.VMID, _ wire.Type, payload, out any) error {
	r.last = payload.(*wire.Forward)
	return answered(out.(*wire.Reply))
}

func checkForward(t *testing.T, f *wire.Forward) {
	t.Helper()
	switch {
	case f.TimeoutMs <= 0 || f.TimeoutMs > maxTimeout.Milliseconds():
		t.Fatal("timeout " + strconv.FormatInt(f.TimeoutMs, 10))
	case !strings.HasPrefix(f.Path, "/") || strings.HasPrefix(f.Path, reservedPrefix):
		t.Fatal("path " + f.Path)
	case !f.Idempotent && f.RequestID == "":
		t.Fatal("a non-idempotent request has no ID")
	}
}
