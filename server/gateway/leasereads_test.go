package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/election"
)

// TestWordOfReader guards against a VM that skips a read of the lease because of a word that says
// nothing new, of a reader that is silent or of one of an earlier version, and against one that does
// not follow the granter that a reader names.
func TestWordOfReader(t *testing.T) {
	const version = 5
	for name, c := range map[string]struct {
		respond   func(w http.ResponseWriter, r *http.Request)
		confirmed bool
		moved     bool
	}{
		"unchanged":        {respond: wordHandler(leaseWord{Version: version, AgeMs: 1}), confirmed: true},
		"another version":  {respond: wordHandler(leaseWord{Version: version + 1, AgeMs: 1})},
		"an older read":    {respond: wordHandler(leaseWord{Version: version, AgeMs: 60_000})},
		"no read":          {respond: wordHandler(leaseWord{})},
		"a later granter":  {respond: wordHandler(leaseWord{Version: version, AgeMs: 1, Granter: &lease{VM: "vm-b", Term: 8}}), moved: true},
		"the same granter": {respond: wordHandler(leaseWord{Version: version, AgeMs: 1, Granter: &lease{VM: "vm-b", Term: 7}}), confirmed: true},
		"this VM itself":   {respond: wordHandler(leaseWord{Granter: &lease{VM: "vm-a", Term: 8}})},
		"earlier version":  {respond: http.NotFound},
		"no JSON":          {respond: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{") }},
		"silent":           {respond: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	} {
		t.Run(name, func(t *testing.T) {
			reader := httptest.NewServer(http.HandlerFunc(c.respond))
			defer reader.Close()
			e := &elector{
				self: "vm-a", address: "127.0.0.1:1", metrics: NewMetrics(), log: zerolog.Nop(), reads: newLeaseReads(),
				voter: election.NewVoter(election.DefaultConfig(), bootTime()),
			}
			// The time for the response is longer than a busy machine takes.
			cfg := election.DefaultReadConfig()
			cfg.Interval, cfg.AskAhead = time.Second, 900*time.Millisecond
			e.reads.reads = election.NewLeaseReads(cfg)
			now := bootTime()
			known := leaseRow{lease: lease{VM: "vm-lost", Term: 7, Readers: []string{reader.Listener.Addr().String()}}, version: version, age: time.Second, readAt: now, askedAt: now}
			e.recordRead(known)
			row, confirmed, moved := e.awaitLease(t.Context(), known)
			require.Equal(t, c.confirmed, confirmed)
			require.Equal(t, c.moved, moved != nil)
			require.Equal(t, known.age-known.readAt, row.age-row.readAt)
			require.Equal(t, c.confirmed, row.age > known.age)
			if !c.confirmed && !c.moved {
				require.GreaterOrEqual(t, bootTime(), now+cfg.Interval, "the read is not due yet")
			}
		})
	}
}

func wordHandler(word leaseWord) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(word); err != nil {
			panic(err)
		}
	}
}

// TestReadersOfLease guards against VMs that find no next granter because some read the lease for
// all: the granter and half of the readers are lost at the same time.
func TestReadersOfLease(t *testing.T) {
	const vms = 15
	d := newDeployment(t)
	d.addUpstream("k1", "keyed")
	refusals := make(map[*Gateway]func(bool))
	for i := range vms {
		address, refuse := d.storeFor()
		refusals[d.startVMAt(fmt.Sprint("vm-", i), address)] = refuse.Store
	}
	d.requireServed(d.vms[0], keyedPath, 1)
	granter := func() (out *Gateway) {
		for _, g := range d.vms {
			if g.links.currentGranter() != nil {
				out = g
			}
		}
		return out
	}
	var readers []string
	d.eventually(func() bool {
		g := granter()
		if g == nil {
			return false
		}
		state, err := g.control.readSystem(t.Context())
		readers = state.lease.Readers
		return err == nil && len(readers) == election.Readers(vms-1)
	}, "the lease names readers")
	lost := map[*Gateway]bool{granter(): true}
	for _, g := range d.vms {
		if g.elector.address == readers[0] || g.elector.address == readers[1] {
			lost[g] = true
		}
	}
	require.Len(t, lost, 3, "the granter does not read for the others")
	for g := range lost {
		refusals[g](true) // it cannot release the lease
		g.cancel()
		for _, server := range g.servers {
			server.Close()
		}
		<-g.electionDone
	}
	words := 0.0
	for _, g := range d.vms {
		if lost[g] {
			continue
		}
		d.eventually(func() bool { return g.links.followedGranter() != nil }, "the VM has a granter")
		for _, result := range []string{"unchanged", "moved", "useless", "failed"} {
			words += testutil.ToFloat64(g.metrics.leaseWords.WithLabelValues(result))
		}
	}
	require.NotZero(t, words, "VMs ask readers")
}
