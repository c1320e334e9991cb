package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/election"
	fakes "dandelionhill.dev/fakes/fleet"
	"dandelionhill.dev/platform/fleet"
)

// TestServes guards the whole path: requests reach the owner of their key with
// method, path and body unchanged, and the answer comes back with its seal.
func TestServes(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"k1", "k2", "k3"} {
		w.addUpstream(id, "keyed")
	}
	plain := w.addUpstream("p1", "plain")
	a, b := w.startVM("vm-a"), w.startVM("vm-b")
	for _, g := range []*Gateway{a, b} {
		w.served(g, keyedPath+"x", 7)
		w.served(g, plainPath+"x", -1)
	}
	resp, body := w.do(b, http.MethodPut, keyedPath+"a%2Fb/../c?q=1;2", 40000, 2*time.Second)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Contains(t, body, keyedPath+"a%2Fb/../c?q=1;2")
	require.NotEmpty(t, resp.Header.Get(fleet.HeaderSignature))
	owner := w.upstreams[strings.TrimPrefix(resp.Header.Get(fleet.HeaderSignature), "seal-of-")]
	require.True(t, owner.Holds(40000))
	runs := owner.Runs()
	require.Equal(t, "body", runs[len(runs)-1].Body)
	require.Equal(t, 40000, runs[len(runs)-1].Key)
	require.NotEmpty(t, plain.Runs())
}

// TestNoRoute guards against a 404 from a VM that has no configuration yet, and
// against another answer where a configuration has no route.
func TestNoRoute(t *testing.T) {
	w := newWorld(t)
	w.store.SetFaults(fakes.Faults{Refuse: true})
	g := w.startVM("vm-a")
	resp, _ := w.do(g, http.MethodGet, "/other/", -1, time.Second)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	w.store.SetFaults(fakes.Faults{})
	w.eventually(func() bool {
		resp, _ := w.do(g, http.MethodGet, "/other/", -1, time.Second)
		return resp.StatusCode == http.StatusNotFound
	}, "the VM learns that there is no such route")
}

// TestCallerLeaves guards against a request that chooses upstreams without end
// after its caller has left: it took all of the VM's processor time.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t)
	w.addUpstream("p1", "plain")
	g := w.startVM("vm-a")
	w.served(g, plainPath, -1)
	route := g.control.view().config.Match(testHost, plainPath)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+testHost+plainPath, nil)
	require.NoError(t, err)
	q := &request{
		http: r, route: route, service: g.control.view().config.Services["plain"],
		arrived: time.Now(), deadline: time.Now().Add(time.Second), header: http.Header{},
	}
	done := make(chan outcome)
	go func() {
		_, end := g.entry.forward(ctx, q)
		done <- end
	}()
	select {
	case end := <-done:
		require.Equal(t, callerLeft, end.reason)
	case <-time.After(settleTime):
		t.Fatal("the request did not end with its caller")
	}
}

// TestAddressReused guards against grants that an upstream takes which were meant
// for the one that had its address before.
func TestAddressReused(t *testing.T) {
	w := newWorld(t)
	first := w.addUpstream("k1", "keyed")
	g := w.startVM("vm-a")
	w.served(g, keyedPath, 1)
	first.Replace("k2")
	w.eventually(func() bool { return first.Misdirected() > 0 }, "orders for the former upstream are refused")
	require.False(t, first.Holds(1))
}

// TestLostAnswerOfWrite guards against a granter that takes its own write, whose
// answer was lost, for that of another.
func TestLostAnswerOfWrite(t *testing.T) {
	w := newWorld(t)
	w.addUpstream("k1", "keyed")
	g := w.startVM("vm-a")
	w.served(g, keyedPath, 1)
	term := g.control.view().holdings["keyed"].Term
	w.store.SetFaults(fakes.Faults{DropResponses: 2})
	before := w.store.Row("dandelionhill", "granter").Version
	w.eventually(func() bool { return w.store.Row("dandelionhill", "granter").Version >= before+4 }, "the lease is renewed")
	require.Equal(t, term, g.control.view().holdings["keyed"].Term)
}

// TestGranterLost guards against keys that stay without service when the VM that
// grants them stops, and when it is lost.
func TestGranterLost(t *testing.T) {
	w := newWorld(t)
	w.addUpstream("k1", "keyed")
	w.addUpstream("k2", "keyed")
	a := w.startVM("vm-a")
	w.served(a, keyedPath, 1)
	b := w.startVM("vm-b")
	w.served(b, keyedPath, 1)
	a.cancel()
	for _, s := range a.servers {
		s.Close()
	}
	w.eventually(func() bool { return b.control.view().holdings["keyed"].Term > 1 && b.control.view().rank == 0 }, "the other VM grants")
	w.served(b, keyedPath, 1)
	w.store.Remove("servers", "k1")
	w.eventually(func() bool {
		return b.control.view().holdings["keyed"].owner(1) == "k2" && w.upstreams["k2"].Holds(1)
	}, "the keys of a removed upstream move")
}

// TestBrokenConnectionIsNoCrash guards against requests that are taken for ones
// that crash upstreams because a full upstream breaks connections.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	w := newWorld(t)
	w.addUpstream("p1", "plain").SetHandler(func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "reset") {
			panic(http.ErrAbortHandler)
		}
		rw.Header().Set(fleet.HeaderSignature, "seal")
	})
	g := w.startVM("vm-a")
	w.served(g, plainPath, -1)
	for range 8 {
		_, body := w.do(g, http.MethodPost, plainPath+"reset", -1, 2*time.Second)
		require.Contains(t, body, "answer_lost")
		time.Sleep(20 * time.Millisecond)
	}
}

// TestConfigurationNeverReturns guards against an older configuration that comes
// into force after a newer one, and against one that cannot be read.
func TestConfigurationNeverReturns(t *testing.T) {
	w := newWorld(t)
	w.addUpstream("k1", "keyed")
	g := w.startVM("vm-a")
	w.served(g, keyedPath, 1)
	w.configure(9, "plain")
	w.eventually(func() bool { return g.control.view().config.Version == 9 }, "the newer configuration is in force")
	w.configure(4, "keyed")
	w.store.Put("op", "config", []byte("no configuration"))
	w.store.Put("op", "evacuate/zone-z", []byte("{}"))
	w.eventually(func() bool { return g.control.view().out["zone-z"] }, "later rows are read")
	require.Equal(t, int64(9), g.control.view().config.Version)
}

// TestHistoryGone guards against a VM that misses changes when the store has
// forgotten its history.
func TestHistoryGone(t *testing.T) {
	w := newWorld(t)
	g := w.startVM("vm-a")
	w.eventually(func() bool { return g.control.view().config != nil }, "the configuration is read")
	w.addUpstream("p1", "plain")
	w.store.Compact()
	w.configure(5, "plain")
	w.store.Compact()
	w.eventually(func() bool {
		return g.control.view().config.Version == 5 && len(g.control.view().services["plain"]) == 1
	}, "the VM reads all rows again")
}

// TestForeignEntries guards against an entry of another writer that takes an
// upstream's place or stops the VM.
func TestForeignEntries(t *testing.T) {
	w := newWorld(t)
	w.addUpstream("p1", "plain")
	for key, value := range map[string]string{
		"bad-1": "\xff\xfe", "bad-2": `{"Address":7}`, "bad-3": `{"Address":"127.0.0.1:1","Info":{"Service":"plain","MaxConcurrency":2},"Status":{"State":"dancing"}}`,
	} {
		w.store.Put("servers", key, []byte(value))
	}
	g := w.startVM("vm-a")
	w.served(g, plainPath, -1)
	require.Len(t, g.control.view().services["plain"], 1)
}

// TestStoreRefusesGranter guards against a granter that keeps its place while
// the store refuses it and serves another VM: no key could move.
func TestStoreRefusesGranter(t *testing.T) {
	w := newWorld(t)
	w.addUpstream("k1", "keyed")
	storeA, refuseA := w.storeFor()
	a := w.startVMAt("vm-a", storeA)
	w.served(a, keyedPath, 1)
	b, c := w.startVM("vm-b"), w.startVM("vm-c")
	w.served(b, keyedPath, 1)
	w.served(c, keyedPath, 1)
	require.Zero(t, a.control.view().rank)
	refuseA.Store(true)
	w.eventually(func() bool { return b.control.view().holdings["keyed"].Term == 2 }, "another VM takes over")
	w.served(b, keyedPath, 1)
	w.eventually(func() bool { return a.control.view().rank > 0 && a.control.view().holdings["keyed"].Term == 2 },
		"the former granter, still without the store, finds the new one through another VM")
	refuseA.Store(false)
}

// TestStoreDown guards against keys that lapse while the store is away for longer
// than a granter's lease and the leases of keys together, also when a VM loses its
// connection to the granter meanwhile.
func TestStoreDown(t *testing.T) {
	w := newWorld(t)
	k1 := w.addUpstream("k1", "keyed")
	a, b := w.startVM("vm-a"), w.startVM("vm-b")
	w.served(a, keyedPath, 1)
	w.served(b, keyedPath, 1)
	w.eventually(func() bool { return a.control.view().rank+b.control.view().rank == 1 }, "one VM follows the other")
	term := a.control.view().holdings["keyed"].Term
	w.store.SetFaults(fakes.Faults{Refuse: true})
	down := time.Now()
	granter, cut := a.links, false
	if b.control.view().rank == 0 {
		granter = b.links
	}
	for time.Since(down) < election.DefaultConfig().LeaseTTL+4*time.Second {
		resp, body := w.do(b, http.MethodGet, keyedPath, 1, 2*time.Second)
		require.Equal(t, http.StatusOK, resp.StatusCode, "%s after %s", body, time.Since(down))
		require.True(t, k1.Holds(1))
		if !cut && time.Since(down) > election.DefaultConfig().LeaseTTL {
			cut = granter.current().do(func() {
				for m := range granter.current().members {
					m.close()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.store.SetFaults(fakes.Faults{})
	w.served(b, keyedPath, 1)
	require.Equal(t, term, b.control.view().holdings["keyed"].Term)
}

// TestRefusedOrderIsNoEnd guards against keys that move before the lease of an
// upstream that refuses connections has run out: it may still be at work on them.
func TestRefusedOrderIsNoEnd(t *testing.T) {
	w := newWorld(t)
	k1, k2 := w.addUpstream("k1", "keyed"), w.addUpstream("k2", "keyed")
	g := w.startVM("vm-a")
	w.served(g, keyedPath, 1)
	w.eventually(func() bool { return len(g.control.view().holdings["keyed"].Spans) == 2 }, "both upstreams hold keys")
	key := 1
	if g.control.view().holdings["keyed"].owner(key) != "k1" {
		key = fleet.KeyCount - 1
	}
	w.served(g, keyedPath, key)
	require.True(t, k1.Holds(key))
	w.crash("k1")
	both := false
	w.eventually(func() bool {
		both = both || k1.Holds(key) && k2.Holds(key)
		return k2.Holds(key)
	}, "the keys move")
	require.False(t, both, "two upstreams held the key")
	w.served(g, keyedPath, key)
}

// TestCrashingRequest guards against a request that is sent on, by its caller
// through any VM, to upstreams that it crashes.
func TestCrashingRequest(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"p1", "p2", "p3", "p4", "p5", "p6"} {
		u := w.addUpstream(id, "plain")
		u.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "poison") {
				w.stops[id]()
				panic(http.ErrAbortHandler)
			}
			rw.Header().Set(fleet.HeaderSignature, "seal")
		})
	}
	a, b := w.startVM("vm-a"), w.startVM("vm-b")
	w.served(a, plainPath, -1)
	w.served(b, plainPath, -1)
	w.eventually(func() bool { return a.control.view().rank+b.control.view().rank == 1 }, "one VM follows the other")
	resp, _ := w.do(a, http.MethodPost, plainPath+"poison", -1, 2*time.Second)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	w.eventually(func() bool {
		resp, body := w.do(b, http.MethodPost, plainPath+"poison", -1, 2*time.Second)
		return resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, "quarantined")
	}, "the other VM refuses the request")
	w.served(b, plainPath, -1)
	runs := 0
	for _, u := range w.upstreams {
		for _, run := range u.Runs() {
			if strings.HasSuffix(run.Path, "poison") {
				runs++
			}
		}
	}
	require.LessOrEqual(t, runs, 4)
}
