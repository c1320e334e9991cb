package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/authority"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/platform/tablehttp"
	"dandelionhill.dev/platform/upstreamhttp"
	"dandelionhill.dev/platform/vmhttp"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/holder"

	tablefake "dandelionhill.dev/fakes/table"
	"dandelionhill.dev/fakes/vmlist"
)

func wireMeasurements() []Measurement {
	sum := func(message func(i int) []byte) func(int) (float64, error) {
		return func(n int) (float64, error) {
			total := 0
			for i := range n {
				total += len(message(i))
			}
			return float64(total), nil
		}
	}
	spans := []int{1, 10, 100, 1000}
	return []Measurement{
		{"b_heartbeat_peer", "B per peer listed", "wire.Heartbeat, CBOR", largeSizes, func(n int) (float64, error) {
			return float64(len(encode(wire.TypeHeartbeat, heartbeat(n, 1)))), nil
		}},
		{"b_heartbeat_held", "B per shard held", "wire.Heartbeat without peers, CBOR", []int{1, 10, 100, 1000}, func(n int) (float64, error) {
			return float64(len(encode(wire.TypeHeartbeat, heartbeat(0, n)))), nil
		}},
		{"b_renew", "B per renewal", "authority renewal, CBOR", largeSizes, sum(func(i int) []byte { return encode(wire.TypeAuthority, renewal(i, authority.Renew)) })},
		{"b_renew_ack", "B per answer", "answer to an authority renewal, CBOR", largeSizes, sum(func(i int) []byte { return encode(wire.TypeAuthority, renewal(i, authority.RenewAck)) })},
		{"b_assign_range", "B per range", "wire.Assign, CBOR", largeSizes, func(n int) (float64, error) {
			return float64(len(encode(wire.TypeAssign, assignment(n)))), nil
		}},
		{"b_assign_ack", "B per answer", "answer to an assignment, CBOR", largeSizes, sum(func(i int) []byte {
			return encode(wire.TypeAssignAck, control.AssignAck{Shard: shardID(i), Fence: 5<<24 | 77, Seq: 100})
		})},
		{"b_grant_sent_span", "B per range span", "grant on the socket, HTTP and JSON, sent", spans, func(n int) (float64, error) {
			sent, _, err := grantBytes(n)
			return sent, err
		}},
		{"b_grant_received_span", "B per range span", "response to a grant on the socket, HTTP and JSON", spans, func(n int) (float64, error) {
			_, received, err := grantBytes(n)
			return received, err
		}},
		{"b_grant_renewal", "B per renewal", "grant that names another one instead of listing ranges, and its response, on the socket", smallSizes, renewalBytes},
		{"b_change", "B per change", "typed change, JSON", largeSizes, sum(changeJSON)},
		{"b_document_upstream", "B per upstream", "wire.Config with the whole document, CBOR", largeSizes, func(n int) (float64, error) {
			data, err := config.Encode(document(n))
			return float64(len(encode(wire.TypeConfig, wire.Config{Revision: 100_000, Document: data}))), err
		}},
		{"b_head_row", "B per row", "proposed head row, JSON: name and version of each row", largeSizes, func(n int) (float64, error) {
			head := make(map[string]uint64, n)
			for i := range n {
				head[fmt.Sprintf("config/foglalas-%05d", i)] = uint64(90_000 + i)
			}
			data, err := json.Marshal(head)
			return float64(len(data)), err
		}},
		{"b_poll_shard", "B per shard", "poll of the store on the socket, both directions: condition on the configuration, n authority records", []int{10, 100, 1000, 10_000}, func(n int) (float64, error) {
			return pollBytes(n)
		}},
		{"b_list_vm", "B per VM", "reading of the list of VMs on the socket", largeSizes, listBytes},
		{"b_status_range", "B per range", "holder.Status, CBOR", largeSizes, func(n int) (float64, error) {
			return float64(len(encode(wire.TypeReply, status(n)))), nil
		}},
	}
}

func encode(kind wire.Type, payload any) []byte {
	data, err := wire.Encode(kind, 0, payload)
	if err != nil {
		panic(err)
	}
	return data
}

// heartbeat returns a heartbeat that lists n peers and some held shards.
func heartbeat(n, held int) wire.Heartbeat {
	hb := wire.Heartbeat{Incarnation: "0000abcd", Reachable: vmIDs(n), Revision: 100_000}
	for i := range held {
		hb.HeldShards = append(hb.HeldShards, wire.HeldShard{Shard: shardID(4000 + i), Fence: 5<<24 | 77})
	}
	return hb
}

func renewal(i int, kind authority.MessageType) control.AuthorityMessage {
	return control.AuthorityMessage{Shard: shardID(i), Message: authority.Message{
		Type: kind, Ballot: 77, Seq: uint64(100_000 + i), OK: kind == authority.RenewAck, Incarnation: "0000abcd", Member: "0000abce",
		Record: record(i),
	}}
}

func record(i int) authority.Record {
	return authority.Record{
		Shard: shardID(i), Version: 5, Members: []api.VMID{vmID(i), vmID(i + 1), vmID(i + 2)}, WriteID: idAt(time.Unix(1_800_000_000, 0), i),
	}
}

func status(n int) holder.Status {
	a := assignment(n)
	s := holder.Status{Shard: a.Shard, Fence: a.Fence, Assignment: a}
	for _, id := range a.Upstreams {
		s.Upstreams = append(s.Upstreams, holder.UpstreamStatus{ID: id, State: "active", Incarnation: "0000abcd", InFlight: 1, Limit: 2, Ranges: 41})
	}
	return s
}

// countingListener is a listener that counts the bytes of its connections.
type countingListener struct {
	net.Listener
	read, written atomic.Int64
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.read.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.l.written.Add(int64(n))
	return n, err
}

// serve starts a server on loopback and counts the bytes of its connections.
func serve(handler http.Handler) (*httptest.Server, *countingListener) {
	server := httptest.NewUnstartedServer(handler)
	l := &countingListener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	return server, l
}

// grantServer returns a handler that accepts grants, as an upstream does.
func grantServer() http.Handler {
	up := &idealUpstream{time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstreamhttp.GrantPath, func(w http.ResponseWriter, r *http.Request) {
		var grant platform.Grant
		if err := json.NewDecoder(r.Body).Decode(&grant); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, _ := up.Grant(r.Context(), grant)
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(result)
	})
	return mux
}

func newGrant(spans int) platform.Grant {
	g := platform.Grant{Service: "foglalas", Fence: 5<<24 | 77, Incarnation: "0000abcd", UntilMs: 86_400_000}
	for i := range spans {
		g.Ranges = append(g.Ranges, platform.RangeSpan{First: 500_000 + 3*i, Last: 500_001 + 3*i})
	}
	return g
}

// socketCalls is the number of calls over which the bytes of one are averaged.
const socketCalls = 20

func grantBytes(spans int) (sent, received float64, err error) {
	server, l := serve(grantServer())
	defer server.Close()
	client := upstreamhttp.New(server.Listener.Addr().String(), 1, 1<<20)
	defer client.Close()
	for range socketCalls {
		if _, err := client.Grant(context.Background(), newGrant(spans)); err != nil {
			return 0, 0, err
		}
	}
	return float64(l.read.Load()) / socketCalls, float64(l.written.Load()) / socketCalls, nil
}

// renewalGrant is a grant that renews another one and lists no ranges.
var renewalGrant = platform.Grant{
	Service: "foglalas", Fence: 5<<24 | 77, Incarnation: "0000abcd", UntilMs: 86_400_000, RenewsUntilMs: 86_000_000,
}

// renewalBytes returns the bytes of n renewals and their responses.
func renewalBytes(n int) (float64, error) {
	server, l := serve(grantServer())
	defer server.Close()
	client := upstreamhttp.New(server.Listener.Addr().String(), 1, 1<<20)
	defer client.Close()
	for range n {
		if _, err := client.Grant(context.Background(), renewalGrant); err != nil {
			return 0, err
		}
	}
	return float64(l.read.Load() + l.written.Load()), nil
}

// listBytes returns the bytes on the socket of one reading of a list of n VMs.
func listBytes(n int) (float64, error) {
	list := vmlist.New(0)
	for i := range n {
		list.Set(string(vmID(i)), platform.VMLive)
	}
	server, l := serve(list.Handler())
	defer server.Close()
	vms, err := vmhttp.New(server.URL).List(context.Background())
	if err == nil && len(vms) != n {
		err = fmt.Errorf("the list has %d of %d VMs", len(vms), n)
	}
	return float64(l.read.Load() + l.written.Load()), err
}

// pollBytes returns the bytes sent and received by one poll of the store that
// reads n records while the configuration has not changed.
func pollBytes(n int) (float64, error) {
	store := tablefake.New()
	server, l := serve(store.Handler())
	defer server.Close()
	txn := platform.Txn{Conditions: []platform.Condition{{Key: control.ConfigKey, Version: 1}}}
	ctx := context.Background()
	if _, err := store.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: control.ConfigKey}}}); err != nil {
		return 0, err
	}
	for i := range n {
		value, err := json.Marshal(record(i))
		if err != nil {
			return 0, err
		}
		key := "authority/" + shardID(i).String()
		if _, err := store.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}}); err != nil {
			return 0, err
		}
		txn.Reads = append(txn.Reads, key)
	}
	result, err := tablehttp.New(server.URL).Commit(ctx, txn)
	if err == nil && !result.Committed {
		err = errors.New("the condition on the configuration did not hold")
	}
	return float64(l.read.Load() + l.written.Load()), err
}
