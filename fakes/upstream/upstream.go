// Package upstream is a stand-in for a server that owns keys: it takes fenced
// grants, has few slots, starts cold, sheds load, drains, reports its load late,
// and can freeze, straggle, crash and skip its checks.
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

// Config describes a server.
type Config struct {
	ID          api.UpstreamID
	Slots       int
	Connections int           // more connections than this are closed at once; 0 is unlimited
	ServiceTime time.Duration // mean; exponentially distributed around half of it
	QueueLimit  int           // requests that may wait for a slot before others are shed
	Checks      lease.Checks
	// WarmupRuns is the number of runs after a start before the server is warm. A
	// cold server has one slot.
	WarmupRuns int
	// ReportLag is the age of the load that the health report states.
	ReportLag time.Duration
	Seed      uint64
	// NoRenewals makes a server of the protocol before renewals: it takes every
	// grant for a whole list of ranges.
	NoRenewals bool
	// Recorder is told of every run; nil records nothing.
	Recorder Recorder
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

// Recorder collects runs for the checkers of histories. Started is called
// before the run has any effect.
type Recorder interface {
	Started(run *Run)
	Ended(run *Run)
}

// Faults is what goes wrong with a server from now on.
type Faults struct {
	SlowdownFactor float64 `json:"straggle"` // factor on the service time; 0 and 1 mean none
	Frozen         bool    `json:"frozen"`   // nothing is read, run or answered
	Truncate       bool    `json:"truncate"` // answers are cut off in the middle
	WrongNonce     bool    `json:"cross"`    // answers carry the nonce of another request
	ReportIdle     bool    `json:"mislead"`  // the load report always says idle
}

// Server is one upstream. It listens on one address through all its restarts.
type Server struct {
	cfg     Config
	address string

	mu          sync.Mutex
	http        *http.Server
	cancel      context.CancelFunc // ends the runs of this incarnation
	incarnation api.Incarnation
	started     time.Time
	guard       *lease.Guard
	faults      Faults
	thaw        chan struct{} // closed when a freeze ends; nil while not frozen
	slots       chan struct{}
	waiting     int
	running     int
	runs        int // completed by this incarnation
	draining    bool
	loads       []loadSample
	rng         *rand.Rand
	stats       Stats
}

type loadSample struct {
	at   time.Time
	load float64
}

// Stats counts what happened to a server through all its restarts.
type Stats struct {
	Runs         uint64  `json:"runs"`
	Sheds        uint64  `json:"sheds"`
	Crashes      uint64  `json:"crashes"`
	Refused      uint64  `json:"refused"`   // by the guard
	ColdOverload float64 `json:"cold_over"` // most requests at once while cold, over what it bears
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
	s.waiting, s.running, s.runs, s.draining, s.loads = 0, 0, 0, false, nil
	s.cancel = cancel
	s.http = &http.Server{
		Handler:     s.handler(),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	if s.cfg.Connections > 0 {
		listener = &limitListener{Listener: listener, limit: s.cfg.Connections}
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

// Incarnation returns the present or last incarnation.
func (s *Server) Incarnation() api.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// ID returns the server's name.
func (s *Server) ID() api.UpstreamID { return s.cfg.ID }

// Crash ends the server at once: its connections break and its memory is lost.
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

// Stop ends the server for good.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		s.cancel()
		s.http.Close()
		s.http = nil
	}
	if s.thaw != nil {
		close(s.thaw)
		s.thaw = nil
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	switch {
	case f.Frozen && s.thaw == nil:
		s.thaw = make(chan struct{})
	case !f.Frozen && s.thaw != nil:
		close(s.thaw)
		s.thaw = nil
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

// wait blocks while the server is frozen.
func (s *Server) wait() {
	s.mu.Lock()
	thaw := s.thaw
	s.mu.Unlock()
	if thaw != nil {
		<-thaw
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
