// Package upstream is a fake of a server that owns keys: it accepts fenced grants, has few
// slots, starts cold, sheds load, drains and reports its load with a lag. It can be made to
// freeze, slow down, crash and skip its checks.
package upstream

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/lease"
)

// Config configures a server.
type Config struct {
	ID             api.UpstreamID
	Slots          int
	MaxConnections int           // further connections are closed at once; 0 is unlimited
	ServiceTime    time.Duration // mean; half is constant, half exponentially distributed
	QueueLimit     int           // requests that may wait for a slot; further ones are shed
	Checks         lease.Checks
	// WarmupRuns is the number of runs after a start before the server is warm. Runs of a
	// cold server take coldFactor times as long.
	WarmupRuns int
	// ReportLag is the age of the load in the health report.
	ReportLag time.Duration
	Seed      uint64
	// NoRenewals makes the server use the protocol without renewals: it treats every grant as
	// a complete list of ranges.
	NoRenewals bool
	// Recorder records every run; nil records nothing.
	Recorder Recorder
	// Respond, unless it is nil, writes the response of a run, with the head of the usual one set. It
	// returns false for the usual response.
	Respond func(w http.ResponseWriter, r *http.Request) bool
}

// Run describes one execution of a request.
type Run struct {
	Upstream  api.UpstreamID
	Key       string
	RequestID string
	Fence     api.Fence
	Start     time.Time
	End       time.Time
	Completed bool // false if it was cancelled, passed its deadline, or crashed
}

// Recorder collects runs for the checkers of histories. Started is called before the run
// has any effect.
type Recorder interface {
	Started(run *Run)
	Ended(run *Run)
}

// Faults are the faults that a server injects.
type Faults struct {
	SlowdownFactor float64 `json:"straggle"` // factor on the service time; 0 and 1 mean none
	Frozen         bool    `json:"frozen"`   // no request is read, run or responded to
	Truncate       bool    `json:"truncate"` // responses are truncated
	WrongNonce     bool    `json:"cross"`    // responses carry the nonce of another request
	ReportIdle     bool    `json:"mislead"`  // the load report always says idle
}

// Server is one upstream. It keeps its address over restarts.
type Server struct {
	cfg     Config
	address string

	mu          sync.Mutex
	http        *http.Server
	cancel      context.CancelFunc // cancels the runs of this incarnation
	incarnation api.Incarnation
	started     time.Time
	guard       *lease.Guard
	faults      Faults
	unfrozen    chan struct{} // closed when a freeze ends; nil while not frozen
	slots       chan struct{}
	waiting     int
	running     int
	runs        int // completed by this incarnation
	draining    bool
	loadSamples []loadSample
	rng         *rand.Rand
	stats       Stats
}

type loadSample struct {
	at   time.Time
	load float64
}

// Stats holds counters over all restarts of a server.
type Stats struct {
	Runs         uint64  `json:"runs"`
	Sheds        uint64  `json:"sheds"`
	Crashes      uint64  `json:"crashes"`
	Refused      uint64  `json:"refused"`   // by the guard
	ColdOverload float64 `json:"cold_over"` // peak of concurrent requests while cold, divided by the two that a cold server can take
}

// New returns a server that is not running.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.ID))))}
}

// Start listens on address ("ip:port"; port 0 picks one) as a new incarnation.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = listener.Addr().String()
	s.incarnation = api.Incarnation(uuid.NewString()[:8])
	s.started = time.Now()
	s.guard = lease.NewGuard(s.cfg.Checks)
	s.slots = make(chan struct{}, s.cfg.Slots)
	s.waiting, s.running, s.runs, s.draining, s.loadSamples = 0, 0, 0, false, nil
	s.cancel = cancel
	s.http = &http.Server{
		Handler:     s.handler(),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	if s.cfg.MaxConnections > 0 {
		listener = &limitListener{Listener: listener, limit: s.cfg.MaxConnections}
	}
	go s.http.Serve(listener)
	return nil
}

// Address returns the address on which the server listens or last listened.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Incarnation returns the current or last incarnation.
func (s *Server) Incarnation() api.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// ID returns the server's name.
func (s *Server) ID() api.UpstreamID { return s.cfg.ID }

// Crash ends the server at once: its connections break and its state is lost.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Server) crash() {
	if s.http == nil {
		return
	}
	s.stats.Crashes++
	s.cancel()
	s.http.Close()
	s.http = nil
}

// Restart starts a crashed server again on its address.
func (s *Server) Restart() error { return s.Start(s.Address()) }

// Stop ends the server permanently.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		s.cancel()
		s.http.Close()
		s.http = nil
	}
	if s.unfrozen != nil {
		close(s.unfrozen)
		s.unfrozen = nil
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	switch {
	case f.Frozen && s.unfrozen == nil:
		s.unfrozen = make(chan struct{})
	case !f.Frozen && s.unfrozen != nil:
		close(s.unfrozen)
		s.unfrozen = nil
	}
}

// MakeCold makes the server cold without a restart.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = 0
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// clock is the server's monotonic clock.
func (s *Server) clock() time.Duration { return time.Since(s.started) }

// waitUnfrozen blocks while the server is frozen.
func (s *Server) waitUnfrozen() {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	if unfrozen != nil {
		<-unfrozen
	}
}

func (s *Server) cold() bool { return s.runs < s.cfg.WarmupRuns }

// limitListener closes connections beyond a limit.
type limitListener struct {
	net.Listener
	limit int
	mu    sync.Mutex
	open  int
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		full := l.open >= l.limit
		if !full {
			l.open++
		}
		l.mu.Unlock()
		if full {
			conn.Close()
			continue
		}
		return &limitConn{Conn: conn, release: sync.OnceFunc(func() {
			l.mu.Lock()
			l.open--
			l.mu.Unlock()
		})}, nil
	}
}

type limitConn struct {
	net.Conn
	release func()
}

func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}
