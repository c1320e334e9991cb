package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/bench/cluster"
	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/placement"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/metrics"

	tablefake "dandelionhill.dev/fakes/table"
	"dandelionhill.dev/fakes/vmlist"
)

func loopMeasurements() []Measurement {
	return []Measurement{
		{"ns_loop_shard", "ns a second per shard", "control.Control at rest: processor time of ticks, snapshots and polled records of shards that other VMs hold", []int{10, 100, 1000, 10_000}, loopTime},
		{"ns_request", "ns per request", "processor time of three dandelionhilld processes, entry to upstream, over that at rest", []int{60, 200, 600, 2000, 6000}, requestTime},
	}
}

// disconnectedSender is a control.Sender without connections to peers.
type disconnectedSender struct{}

// Send implements control.Sender.
func (disconnectedSender) Send(api.VMID, wire.Type, any) bool { return false }

// Call implements control.Sender.
func (disconnectedSender) Call(context.Context, api.VMID, wire.Type, any, any) error {
	return context.DeadlineExceeded
}

const (
	// loopSettle is how long the control loop runs before it receives the
	// heartbeat, and again before it is measured.
	loopSettle = 400 * time.Millisecond
	// loopWindow is the time over which the loop is measured. It ends before the
	// claims of the heartbeat expire.
	loopWindow = 2 * time.Second
)

// loopTime returns the processor time, in nanoseconds a second, of the control
// loop of a VM that knows n shards and holds none.
func loopTime(n int) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	doc := document(1)
	doc.Services[0].Layout = make([]config.Span, n)
	doc.Services[0].Shards = n
	name := doc.Services[0].Name
	data, err := config.Encode(doc)
	if err != nil {
		return 0, err
	}
	store := tablefake.New()
	puts := []platform.Put{{Key: control.ConfigKey, Value: data}}
	hb := wire.Heartbeat{Incarnation: "0000abcd", Revision: doc.Revision}
	for i := range n {
		id := api.ShardID{Service: name, Index: i}
		rec := record(i)
		rec.Shard = id
		value, err := json.Marshal(rec)
		if err != nil {
			return 0, err
		}
		puts = append(puts, platform.Put{Key: "authority/" + id.String(), Value: value})
		hb.HeldShards = append(hb.HeldShards, wire.HeldShard{Shard: id, Fence: 5 << 24})
	}
	if _, err := store.Commit(ctx, platform.Txn{Puts: puts}); err != nil {
		return 0, err
	}
	start := time.Now()
	c := control.New(control.Config{
		Self: placement.VM{ID: "self"}, VMs: []placement.VM{{ID: "self"}, {ID: "other"}}, Table: store, VMList: vmlist.New(0),
		Clock: func() time.Duration { return time.Since(start) }, Metrics: metrics.New(), Log: zerolog.Nop(),
	})
	c.SetSender(disconnectedSender{})
	go c.Run(ctx)
	time.Sleep(loopSettle)
	frame, err := wire.Decode(encode(wire.TypeHeartbeat, hb))
	if err != nil {
		return 0, err
	}
	c.HandleMessage("other", frame)
	time.Sleep(loopSettle)
	if got := len(c.Snapshot().Holders); got != n {
		return 0, fmt.Errorf("the control loop has holders of %d shards", got)
	}
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	time.Sleep(loopWindow)
	after, err := processorTime()
	return float64((after - before).Nanoseconds()) / loopWindow.Seconds(), err
}

// DaemonPath is the path of the program dandelionhilld, for measurements of whole
// deployments.
var DaemonPath = "bin/dandelionhilld"

// ExamplesDir is the directory of the example configurations.
var ExamplesDir = "examples"

// requestWindow is the time over which requests are spread.
const requestWindow = 3 * time.Second

// requestTime returns the processor time, in nanoseconds, of all VMs of a small
// deployment in a window in which n idempotent keyed requests are sent.
func requestTime(n int) (float64, error) {
	path := filepath.Join(ExamplesDir, "hooghly", "configuration.json")
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	doc, err := config.Parse(path, data)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		Document: doc, VMs: 3, UpstreamsPerService: 6, ServiceTime: time.Millisecond, Binary: DaemonPath, Seed: 1,
	})
	if err != nil {
		return 0, err
	}
	defer c.Stop()
	if err := c.WaitServing(ctx); err != nil {
		return 0, err
	}
	send := func(n int, window time.Duration) *load.Report {
		loadCtx, cancel := context.WithTimeout(ctx, window)
		defer cancel()
		return load.Run(loadCtx, load.Options{
			Entries: func() []string {
				var urls []string
				for _, vm := range c.VMs {
					urls = append(urls, "http://"+vm.Settings.Listen.Callers)
				}
				return urls
			},
			Targets: []load.Target{{Service: doc.Services[0].Name, Keyed: true, IdempotentShare: 1}},
			Keys:    10_000, Rate: float64(n) / window.Seconds(), Workers: 64, Timeout: time.Second, MaxRetries: 3, Seed: 1,
		})
	}
	send(1000, requestWindow) // warms up the upstreams and opens the connections
	before, err := processTimes(c)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	report := send(n, requestWindow)
	time.Sleep(time.Until(began.Add(requestWindow)))
	after, err := processTimes(c)
	if err != nil {
		return 0, err
	}
	if got := len(report.Results); got < n*98/100 {
		return 0, fmt.Errorf("only %d requests were sent", got)
	}
	return float64((after - before).Nanoseconds()), nil
}

// clockTick is the unit of processor times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// processTimes returns the processor time used by the VMs of a deployment.
func processTimes(c *cluster.Cluster) (time.Duration, error) {
	total := time.Duration(0)
	for _, vm := range c.VMs {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", vm.PID()))
		if err != nil {
			return 0, err
		}
		// The program name, in parentheses, may contain spaces. User and system
		// time are fields 14 and 15 of the line.
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		if len(fields) < 13 {
			return 0, fmt.Errorf("unexpected line %q", data)
		}
		for _, field := range fields[11:13] {
			ticks, err := strconv.ParseInt(field, 10, 64)
			if err != nil {
				return 0, err
			}
			total += time.Duration(ticks) * clockTick
		}
	}
	return total, nil
}
