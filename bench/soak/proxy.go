package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
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

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newProxy listens on an address; port 0 selects a free port.
func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: to, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault starts a fault; faultNone ends it. The end of any fault but faultDelay resets
// the connections, so that held-back bytes are lost.
func (p *proxy) setFault(f fault) {
	previous := fault(p.fault.Swap(int32(f)))
	if f == faultReset || f == faultNone && previous != faultDelay {
		p.reset()
	}
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetOnClose(c)
		c.Close()
	}
	clear(p.conns)
}

// resetOnClose makes the connection reset when it is closed.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it is closed in any case
	}
}

func (p *proxy) close() {
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
	if fault(p.fault.Load()) == faultReset {
		resetOnClose(caller)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		resetOnClose(caller)
		return
	}
	defer server.Close()
	p.mu.Lock()
	p.conns[caller], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan bool, 2)
	forward := func(to, from net.Conn, blocking fault) { done <- p.forward(to, from, blocking) }
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
func (p *proxy) forward(to, from net.Conn, blocking fault) (inOrder bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for blocked := true; blocked; {
			switch f := fault(p.fault.Load()); {
			case f == faultBlackhole || f == blocking:
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
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return false
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other direction stays open
			}
			return true
		}
		if err != nil {
			return false
		}
	}
}
