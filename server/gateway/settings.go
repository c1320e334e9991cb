package gateway

import (
	"cmp"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config/strict"
	"dandelionhill.dev/core/election"
	"dandelionhill.dev/core/hedge"
	"dandelionhill.dev/core/ownership"
	"dandelionhill.dev/core/quota"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

// Settings holds the settings that an entry VM needs before it reads the store.
type Settings struct {
	// VM names this entry VM.
	VM api.VMID `json:"vm"`
	// FailureDomain names the failure domain of this VM.
	FailureDomain api.FailureDomain `json:"failure_domain"`
	// Listen holds the addresses at which the VM accepts connections.
	Listen Listen `json:"listen"`
	// PeersAddress is the address of this VM for other VMs, IP:port; Listen.Peers if empty.
	PeersAddress string `json:"peers_address,omitempty"`
	// Store is the address of the platform's store, IP:port.
	Store string `json:"store"`
	// Seeds names other VMs, IP:port or IP. A VM that starts and cannot reach the store asks
	// them for the granter, at the port of Listen.Peers.
	Seeds []string `json:"seeds,omitempty"`
	// Bounds holds the limits that apply to all VMs together.
	Bounds Bounds `json:"bounds"`
	// MemoryMB is the memory of the VM in megabytes.
	MemoryMB int `json:"memory_mb"`
	// Resources describes the VM, for the choice of the granter.
	Resources Resources `json:"resources,omitempty"`
	// Limits bounds the messages that the VM holds in memory.
	Limits Limits `json:"limits,omitempty"`
	// Overload holds the switches of the handling of overload.
	Overload Overload `json:"overload,omitempty"`
	// Hedging says how many requests are sent to a second upstream.
	Hedging Hedging `json:"hedging,omitempty"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
}

// Resources are those of a VM that bound the work of a granter. A value of 0 is not known.
type Resources struct {
	// CPUShare is the part of a processor that the VM has, CPUSpeed the speed of that processor
	// relative to others; 1 by default.
	CPUShare float64 `json:"cpu_share,omitempty"`
	CPUSpeed float64 `json:"cpu_speed,omitempty"`
	// LinkMbps is the bandwidth of the VM's link, in Mbit/s.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// capacity returns the capacity of the VM for the work of the granter.
func (r Resources) capacity() election.Capacity {
	return election.NewCapacity(r.CPUShare*cmp.Or(r.CPUSpeed, 1), r.LinkMbps)
}

// Listen holds addresses in the form IP:port.
type Listen struct {
	// Callers is the address for requests of callers.
	Callers string `json:"callers"`
	// Health is the address for the readiness checks of the load balancer.
	Health string `json:"health"`
	// Peers is the address for the other entry VMs.
	Peers string `json:"peers"`
	// Metrics is the address of the metrics, at path /metrics.
	Metrics string `json:"metrics"`
}

// Bounds holds the limits that are agreed with the users of a deployment.
type Bounds struct {
	// TerminationGrace is the time between SIGTERM and SIGKILL.
	TerminationGrace strict.Duration `json:"grace"`
	// Drain is how long requests may still go to an upstream that says that it leaves;
	// defaultDrain by default.
	Drain strict.Duration `json:"drain,omitempty"`
	// CallDelay bounds the time from the body of a grant leaving until its lease begins, for
	// upstreams that ask for the body; that of package ownership by default. It is checked against
	// the time of each response.
	CallDelay strict.Duration `json:"call_delay,omitempty"`
	// MaxLease is the longest lease that upstreams accept.
	MaxLease strict.Duration `json:"hold"`
	// Revoke is how long keys of workspaces are accepted after the configuration was last
	// confirmed as current, if RevokeStrict; defaultRevoke by default.
	Revoke       strict.Duration `json:"revoke,omitempty"`
	RevokeStrict bool            `json:"revoke_strict,omitempty"`
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound the requests of a workspace in any window,
	// see quota.Rule; quota.DefaultRule by default.
	QuotaWindow    strict.Duration `json:"quota_window,omitempty"`
	QuotaOvershoot float64         `json:"quota_overshoot,omitempty"`
	QuotaSlack     float64         `json:"quota_slack,omitempty"`
	// RetryRatio and RetryAllowance bound the retries within RetryWindow: a share of the
	// requests plus a fixed number.
	RetryWindow    strict.Duration `json:"repeat_window"`
	RetryRatio     float64         `json:"repeat_ratio"`
	RetryAllowance float64         `json:"repeat_slack"`
}

// quotaRule returns the bound on the requests of a workspace.
func (b Bounds) quotaRule() quota.Rule {
	if b.QuotaWindow == 0 {
		return quota.DefaultRule
	}
	return quota.Rule{Window: b.QuotaWindow.AsDuration(), Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
}

// defaultDrain is the time for which upstreams that leave go on serving at least.
const defaultDrain = 2 * time.Second

// defaultRevoke is the default of Bounds.Revoke.
const defaultRevoke = 5 * time.Second

// Limits bounds the messages that the VM holds in memory. A limit of 0 is the default.
type Limits struct {
	// ResponseHeadKB bounds the head of an upstream's response, with all informational
	// responses before it, in units of 1,024 bytes; 64 by default.
	ResponseHeadKB int `json:"response_head_kb,omitempty"`
	// ResponseBodyKB bounds the body of an upstream's response, in units of 1,024 bytes;
	// 8,192 by default.
	ResponseBodyKB int `json:"response_body_kb,omitempty"`
	// RequestBodyKB bounds the body of a caller's request, in units of 1,024 bytes; by default
	// what BuffersMB has room for. The configuration may set a lower limit.
	RequestBodyKB int `json:"request_body_kb,omitempty"`
	// BuffersMB bounds the memory of all messages together, in megabytes; by default what
	// MemoryMB leaves for it.
	BuffersMB int `json:"buffers_mb,omitempty"`
	// HeadsKB bounds the memory of the parsed heads of callers' requests, in units of 1,024 bytes.
	HeadsKB int `json:"heads_kb,omitempty"`
	// CallerConnections, PeerConnections, HealthConnections and MetricsConnections bound the open
	// connections of each listener, ConnectionsPerAddress those of callers from one IP address.
	CallerConnections     int `json:"caller_connections,omitempty"`
	PeerConnections       int `json:"peer_connections,omitempty"`
	HealthConnections     int `json:"health_connections,omitempty"`
	MetricsConnections    int `json:"metrics_connections,omitempty"`
	ConnectionsPerAddress int `json:"connections_per_address,omitempty"`
	// MessagesMB bounds the memory of messages of other VMs beyond the reserved one, in megabytes. It
	// is a part of BuffersMB. PeerMessages and PeerConnectionMessages bound the requests of isolated
	// VMs that are handled at a time, over all connections and for each.
	MessagesMB             int `json:"messages_mb,omitempty"`
	PeerMessages           int `json:"messages,omitempty"`
	PeerConnectionMessages int `json:"messages_per_connection,omitempty"`
	// MinRate is the lowest rate at which a body must arrive and a response must be read, in
	// bytes per second over MinRateWindow; 1,000 over 5 s by default.
	MinRate       int             `json:"min_rate,omitempty"`
	MinRateWindow strict.Duration `json:"min_rate_window,omitempty"`
	// ResponseWindowKB is the memory, in units of 1,024 bytes, of a response that is delivered
	// while it is read; smaller ones are read whole. 64 by default.
	ResponseWindowKB int `json:"response_window_kb,omitempty"`
	// CallerReadTimeout is how long the caller of such a response may read nothing; 2s by default.
	// It must be less than the time after which upstreams abort an unread response.
	CallerReadTimeout strict.Duration `json:"caller_read_timeout,omitempty"`
}

// Overload holds the switches of the handling of overload, all off by default.
type Overload struct {
	// Backpressure limits the requests to an upstream by the load that it reports in its
	// responses. A shed request, a reset connection and a request without a response count as
	// signs that it is full.
	Backpressure bool `json:"backpressure,omitempty"`
	// DropSilent gives up a request that may be sent again when the upstream has not responded
	// for longer than a full queue takes.
	DropSilent bool `json:"drop_silent,omitempty"`
	// Fair orders the requests that wait for an upstream by priority and remaining time, and
	// within a priority by the shares of the workspaces.
	Fair bool `json:"fair,omitempty"`
	// FairRoutes does the same without workspaces, by the shares of the routes, and of the failure
	// domains of callers where several reach this VM.
	FairRoutes bool `json:"fair_routes,omitempty"`
	// RefuseLate refuses requests that can no longer meet their target while the demand for an
	// upstream exceeds what it takes and others become late for that.
	RefuseLate bool `json:"refuse_late,omitempty"`
	// OwnerHealth places the keys of a service by the failures, the silence and the speed of their
	// owners, as all VMs report them.
	OwnerHealth bool `json:"owner_health,omitempty"`
	// Contention makes the granter tell all VMs of upstreams that get many times what they can run,
	// as with a hot key, and the VMs share these from the start. It needs Backpressure.
	Contention bool `json:"contention,omitempty"`
}

// Hedging configures hedged requests.
type Hedging struct {
	// Share is the number of extra sends as a share of the requests of a service, 0 for none and
	// hedge.MaxShare at most.
	Share float64 `json:"share,omitempty"`
}

// Defaults of Limits.
const (
	defaultResponseHeadKB = 64
	defaultBodyKB         = 8 << 10
	// defaultResponseWindowKB holds what a caller at 10 Mbit/s reads in 50 ms.
	defaultResponseWindowKB = 64
	// defaultCallerReadTimeout leaves time for two packets that are lost in a row; upstreams abort
	// unread responses after some seconds.
	defaultCallerReadTimeout = strict.Duration(2 * time.Second)
)

// withDefaults returns the limits with the defaults of those for responses.
func (l Limits) withDefaults() Limits {
	l.ResponseHeadKB = cmp.Or(l.ResponseHeadKB, defaultResponseHeadKB)
	l.ResponseBodyKB = cmp.Or(l.ResponseBodyKB, defaultBodyKB)
	l.ResponseWindowKB = cmp.Or(l.ResponseWindowKB, defaultResponseWindowKB)
	l.CallerReadTimeout = cmp.Or(l.CallerReadTimeout, defaultCallerReadTimeout)
	return l
}

// response returns the limits of an upstream's response.
func (l Limits) response() upstreamconn.Limits {
	return upstreamconn.Limits{Head: int64(l.ResponseHeadKB) << 10, Body: int64(l.ResponseBodyKB) << 10}
}

// LoadSettings reads and validates a settings file, JSON with comments. The error names
// each problem with its line.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the settings file: name a readable file with -settings")
	}
	return ParseSettings(path, data)
}

// ParseSettings parses and validates the content of a settings file.
func ParseSettings(name string, data []byte) (*Settings, error) {
	s := Settings{LogLevel: "info", Bounds: Bounds{
		Drain: strict.Duration(defaultDrain), CallDelay: strict.Duration(ownership.DefaultConfig(fleet.KeyCount).MaxMessageDelay), Revoke: strict.Duration(defaultRevoke),
		QuotaWindow: strict.Duration(quota.DefaultRule.Window), QuotaOvershoot: quota.DefaultRule.Overshoot, QuotaSlack: quota.DefaultRule.Slack,
	}}
	c := strict.Decode(name, data, &s)
	for field, value := range map[string]string{
		"vm": string(s.VM), "failure_domain": string(s.FailureDomain), "store": s.Store,
		"listen.callers": s.Listen.Callers, "listen.health": s.Listen.Health,
		"listen.peers": s.Listen.Peers, "listen.metrics": s.Listen.Metrics,
	} {
		if value == "" {
			c.Add(field, "write a value", "%s is empty", field)
		}
	}
	if s.MemoryMB <= 0 {
		c.Add("memory_mb", "write the memory of the VM in megabytes", "%d is out of range", s.MemoryMB)
	}
	for field, value := range map[string]strict.Duration{
		"bounds.grace": s.Bounds.TerminationGrace, "bounds.drain": s.Bounds.Drain, "bounds.call_delay": s.Bounds.CallDelay, "bounds.revoke": s.Bounds.Revoke, "bounds.hold": s.Bounds.MaxLease, "bounds.repeat_window": s.Bounds.RetryWindow,
	} {
		if value <= 0 {
			c.Add(field, "write a time above 0s", "%s is out of range", value)
		}
	}
	for field, value := range map[string]float64{
		"resources.cpu_share": s.Resources.CPUShare, "resources.cpu_speed": s.Resources.CPUSpeed, "resources.link_mbps": s.Resources.LinkMbps,
	} {
		if value < 0 {
			c.Add(field, "write a number above 0, or leave it out if it is not known", "%v is out of range", value)
		}
	}
	for field, value := range map[string]int{
		"limits.response_head_kb": s.Limits.ResponseHeadKB, "limits.response_body_kb": s.Limits.ResponseBodyKB,
		"limits.response_window_kb": s.Limits.ResponseWindowKB,
		"limits.request_body_kb":    s.Limits.RequestBodyKB, "limits.buffers_mb": s.Limits.BuffersMB, "limits.heads_kb": s.Limits.HeadsKB,
		"limits.caller_connections": s.Limits.CallerConnections, "limits.peer_connections": s.Limits.PeerConnections,
		"limits.health_connections": s.Limits.HealthConnections, "limits.metrics_connections": s.Limits.MetricsConnections,
		"limits.connections_per_address": s.Limits.ConnectionsPerAddress, "limits.min_rate": s.Limits.MinRate,
		"limits.messages_mb": s.Limits.MessagesMB, "limits.messages": s.Limits.PeerMessages,
		"limits.messages_per_connection": s.Limits.PeerConnectionMessages,
	} {
		if value < 0 {
			c.Add(field, "write a limit above 0, or leave it out for the default", "%d is out of range", value)
		}
	}
	if s.Bounds.QuotaWindow < strict.Duration(time.Second) {
		c.Add("bounds.quota_window", "write a time of at least 1s, or leave it out for the default", "%s is out of range", s.Bounds.QuotaWindow)
	}
	for field, value := range map[string]float64{"bounds.quota_overshoot": s.Bounds.QuotaOvershoot, "bounds.quota_slack": s.Bounds.QuotaSlack} {
		if value < 0 {
			c.Add(field, "write a number of 0 or more, or leave it out for the default", "%v is out of range", value)
		}
	}
	if s.Limits.MinRateWindow < 0 {
		c.Add("limits.min_rate_window", "write a time above 0s, or leave it out for the default", "%s is out of range", s.Limits.MinRateWindow)
	}
	if s.Limits.CallerReadTimeout < 0 {
		c.Add("limits.caller_read_timeout", "write a time above 0s, or leave it out for the default", "%s is out of range", s.Limits.CallerReadTimeout)
	}
	if s.Overload.Contention && !s.Overload.Backpressure {
		c.Add("overload.contention", "set overload.backpressure to true too, or leave contention out", "it has no effect without backpressure")
	}
	if s.Hedging.Share < 0 || s.Hedging.Share > hedge.MaxShare {
		c.Add("hedging.share", "write a share of the requests from 0 (no hedges) to 0.2, for example 0.05", "%v is out of range", s.Hedging.Share)
	}
	if s.Limits.BuffersMB > s.MemoryMB {
		c.Add("limits.buffers_mb", "write less than memory_mb", "%d MB exceeds the memory of the VM", s.Limits.BuffersMB)
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		c.Add("log_level", "write debug, info, warn or error", "%q is no log level", s.LogLevel)
	}
	if _, _, err := net.SplitHostPort(s.Listen.Peers); err != nil && s.Listen.Peers != "" {
		c.Add("listen.peers", "write IP:port", "%q has no port", s.Listen.Peers)
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// peersAddress returns the address of this VM for other VMs.
func (s *Settings) peersAddress() string {
	if s.PeersAddress != "" {
		return s.PeersAddress
	}
	return s.Listen.Peers
}

// seeds returns the addresses of Seeds for other VMs.
func (s *Settings) seeds() []string {
	_, port, err := net.SplitHostPort(s.Listen.Peers)
	if err != nil {
		return nil // ParseSettings refuses such an address
	}
	var out []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}
