package soak

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dandelionhill.dev/platform/httpconn"
)

// fault is a network fault that a proxy injects into its connections.
type fault int32

// The faults of a proxy.
const (
	faultNone               fault = iota
	faultDelay                    // bytes are delayed
	faultReset                    // connections are reset, new ones too
	faultBlackhole                // no bytes are forwarded, connections stay open
	faultBlackholeRequests        // bytes are forwarded to the caller only
	faultBlackholeResponses       // bytes are forwarded from the caller only
)

var faultNames = map[fault]string{
	faultNone: "none", faultDelay: "delay", faultReset: "reset", faultBlackhole: "silent", faultBlackholeRequests: "requests blocked", faultBlackholeResponses: "responses blocked",
}

const (
	// proxyDelay is the delay of each read with faultDelay.
	proxyDelay = 60 * time.Millisecond
	// proxyPollInterval is the time between checks whether a blocked direction is open again.
	proxyPollInterval = 20 * time.Millisecond
)

// proxy forwards TCP connections to an address and injects faults.
type proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32
	// cut means that nothing passes between the target and the VMs for which beyondCut is true:
	// no bytes, no closes, no resets. Connections and held-back bytes outlast it.
	cut       atomic.Bool
	beyondCut func(vm string) bool
	senders   *senders // finds out which VM a caller is; nil if the proxy need not know

	mu         sync.Mutex
	conns      map[net.Conn]bool
	faultSpans []span
	cutSpans   []span
}

// newProxy listens on an address; port 0 selects a free port. A proxy without senders has no cuts.
func newProxy(listen, to string, from *senders, beyondCut func(vm string) bool) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: to, senders: from, beyondCut: beyondCut, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault starts a fault; faultNone ends it. The end of any fault but faultDelay resets
// the connections, so that held-back bytes are lost.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	closeSpan(p.faultSpans) // before anything passes again
	if f != faultNone {
		p.faultSpans = append(p.faultSpans, span{From: monotonic()})
	}
	p.mu.Unlock()
	previous := fault(p.fault.Swap(int32(f)))
	if f == faultReset || f == faultNone && previous != faultDelay {
		p.reset()
	}
}

// setCut starts or ends a cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case cut == p.cut.Load():
	case cut:
		p.cutSpans = append(p.cutSpans, span{From: monotonic()})
	default:
		closeSpan(p.cutSpans) // before anything passes again
	}
	p.cut.Store(cut)
}

// isCut reports whether a cut separates a caller from the target; it holds for a caller that is
// not known yet.
func (p *proxy) isCut(from *sender) bool {
	if !p.cut.Load() {
		return false
	}
	vm := from.name()
	return vm == "" || p.beyondCut(vm)
}

// reset resets all connections, unless a cut would not let the resets pass.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut.Load() {
		return
	}
	for c := range p.conns {
		resetOnClose(c)
		c.Close()
	}
	clear(p.conns)
}

// tcpOf returns the TCP connection of a proxied one.
func tcpOf(c net.Conn) (*net.TCPConn, bool) {
	if checked, ok := c.(*httpconn.Conn); ok {
		c = checked.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	return tcp, ok
}

// resetOnClose makes the connection reset when it is closed.
func resetOnClose(c net.Conn) {
	if tcp, ok := tcpOf(c); ok {
		_ = tcp.SetLinger(0) // it is closed in any case
	}
}

func (p *proxy) close() {
	p.cut.Store(false)
	p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(caller net.Conn) {
	defer caller.Close()
	var from *sender
	if p.senders != nil {
		from = p.senders.find(addrsOf(caller).peer())
	}
	for p.isCut(from) {
		time.Sleep(proxyPollInterval)
	}
	if fault(p.fault.Load()) == faultReset {
		resetOnClose(caller)
		return
	}
	tcp, err := net.Dial("tcp", p.target)
	if err != nil {
		resetOnClose(caller)
		return
	}
	defer tcp.Close()
	// A reset by the server must not become an orderly end.
	server := httpconn.NewConn(tcp)
	p.mu.Lock()
	p.conns[caller], p.conns[server] = true, true
	p.mu.Unlock()
	if p.senders != nil {
		p.senders.forwarded(addrsOf(server), from)
	}
	done := make(chan bool, 2)
	forward := func(to, receive net.Conn, blocking fault) { done <- p.forward(to, receive, blocking, from) }
	go forward(server, caller, faultBlackholeRequests)
	go forward(caller, server, faultBlackholeResponses)
	if inOrder := <-done; !inOrder {
		// The end of a connection tells a VM whether the process at the other end has ended.
		resetOnClose(caller)
		resetOnClose(server)
	}
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
}

// forward copies one direction until either side closes, and reports whether the sender has
// closed its side in order; blocking is the fault that stops this direction.
func (p *proxy) forward(to, from net.Conn, blocking fault, vm *sender) (inOrder bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		cut := false
		for blocked := true; blocked; {
			cut = cut || p.isCut(vm)
			switch f := fault(p.fault.Load()); {
			case f == faultBlackhole || f == blocking || p.isCut(vm):
				p.mu.Lock()
				open := p.conns[from]
				p.mu.Unlock()
				if !open {
					return false
				}
				time.Sleep(proxyPollInterval)
			case f == faultDelay:
				time.Sleep(proxyDelay)
				blocked = false
			default:
				blocked = false
			}
		}
		if cut && err == nil {
			n, err = readAvailable(from, buffer, n)
		}
		if cut && errors.Is(err, syscall.ECONNRESET) {
			return false // what was held back is lost when its sender resets the connection
		}
		if n > 0 {
			if vm != nil && blocking == faultBlackholeRequests {
				vm.delivered.Store(int64(monotonic()))
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return false
			}
		}
		if err == io.EOF {
			if tcp, ok := tcpOf(to); ok {
				_ = tcp.CloseWrite() // the other direction stays open
			}
			return true
		}
		if err != nil {
			return false
		}
	}
}

// readAvailable appends what has arrived on a connection to the first n bytes of a buffer, and
// returns how the connection has ended, if it has.
func readAvailable(from net.Conn, buffer []byte, n int) (int, error) {
	defer func() { _ = from.SetReadDeadline(time.Time{}) }() // fails on a closed connection only
	for n < len(buffer) {
		if err := from.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
			return n, err
		}
		m, err := from.Read(buffer[n:])
		n += m
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
