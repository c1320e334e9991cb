package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// repeatingRefuser serves connections of which the first request is refused. Before the response
// to each later request it writes copies of that refusal.
type repeatingRefuser struct {
	t      *testing.T
	copies int

	mu   sync.Mutex
	runs map[string]int
}

func (u *repeatingRefuser) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(fleet.HeaderRequestID)
	conn, buffered, err := w.(http.Hijacker).Hijack()
	require.NoError(u.t, err)
	defer conn.Close()
	const keep = "Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + fleet.HeaderNotRun + ": 1\r\n" + fleet.HeaderRequestID + ": " + id + "\r\n" + keep
	if _, err := io.WriteString(conn, refusal); err != nil {
		return
	}
	reader := bufio.NewReader(io.MultiReader(buffered.Reader, conn))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(fleet.HeaderRequestID)
		out := "HTTP/1.1 200 OK\r\n" + fleet.HeaderRequestID + ": " + id + "\r\n" + fleet.HeaderSignature + ": seal\r\n" + keep
		if id != "" {
			u.mu.Lock()
			u.runs[id]++
			out = strings.Repeat(refusal, u.copies) + out
			u.mu.Unlock()
		}
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
	}
}

// TestCopyOfRefusal guards against "not run" for a request that runs, and against a second run of
// it, because an upstream writes an earlier refusal once more on a kept connection.
func TestCopyOfRefusal(t *testing.T) {
	d := newDeployment(t)
	fake := d.addUpstream("k1", "keyed")
	d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, keyedPath, 1)
	for _, copies := range []int{1, 2, 10} {
		want := http.StatusOK
		if copies == 10 {
			// The VM gives up on the connection before the response.
			want = http.StatusBadGateway
		}
		u := &repeatingRefuser{t: t, copies: copies, runs: make(map[string]int)}
		fake.SetHandler(u.serve)
		g.control.view().upstreams["k1"].pool.Close()
		g.control.do(func(s *state) {
			// A new pool: the connections of the last round are not used any more.
			reg := s.upstreams["k1"].registration.Load()
			s.upstreams["k1"] = newUpstream(reg, g.control.responseLimits, g.control.network(), func() {})
			s.dirty = true
		})
		refused := 0
		for range 6 {
			resp, _ := d.do(g, http.MethodPost, keyedPath, 1, time.Second)
			if resp.StatusCode == http.StatusServiceUnavailable {
				refused++
				u.mu.Lock()
				require.Zero(t, u.runs[resp.Header.Get(fleet.HeaderRequestID)], "a request that has run is not refused as not run")
				u.mu.Unlock()
				time.Sleep(50 * time.Millisecond) // A pause after a refusal.
				continue
			}
			require.Equal(t, want, resp.StatusCode, "%d copies", copies)
		}
		require.Less(t, refused, 6, "%d copies", copies)
		u.mu.Lock()
		require.NotEmpty(t, u.runs)
		for id, n := range u.runs {
			require.Equal(t, 1, n, id)
		}
		u.mu.Unlock()
	}
}

// TestRequestWithoutIDHasItsOwnConnection guards against a late copy of an earlier response that is
// taken for the response to a request which cannot be told from the earlier one.
func TestRequestWithoutIDHasItsOwnConnection(t *testing.T) {
	d := newDeployment(t)
	fake := d.addUpstream("p1", "plain")
	g := d.startVM("vm-a")
	d.requireServed(g, plainPath, -1)
	var mu sync.Mutex
	connections := make(map[string]bool)
	fake.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		connections[r.RemoteAddr] = true
		w.Header().Set(fleet.HeaderSignature, "seal")
	})
	for range 5 {
		d.request(g, http.MethodGet, "", plainPath, -1, time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, connections, 5)
}
