package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// fault is what a proxy does to its connections.
type fault int32

// The faults of a proxy.
const (
	faultNone    fault = iota
	faultDelay         // bytes come late
	faultReset         // connections are reset, also new ones
	faultSilent        // no bytes pass, connections stay open
	faultRequest       // bytes pass to the caller only
	faultAnswer        // bytes pass from the caller only
)

var faultNames = map[fault]string{
	faultNone: "none", faultDelay: "delay", faultReset: "reset", faultSilent: "silent", faultRequest: "requests cut", faultAnswer: "answers cut",
}

const (
	// proxyDelay is how late bytes come with faultDelay.
	proxyDelay = 60 * time.Millisecond
	// proxyPoll is the time between looks whether bytes may pass again.
	proxyPoll = 20 * time.Millisecond
)

// proxy passes connections on to an address, with faults.
type proxy struct {
	listener net.Listener
	to       string
	fault    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newProxy listens at an address, with port 0 at a free one.
func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set begins a fault; faultNone ends it. Bytes that were held back are lost with
// their connections.
func (p *proxy) set(f fault) {
	before := fault(p.fault.Swap(int32(f)))
	if f == faultReset || f == faultNone && before != faultDelay {
		p.reset()
	}
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // closed below in any case
		}
		c.Close()
	}
	clear(p.conns)
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
		if tcp, ok := caller.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	p.conns[caller], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn, cut fault) {
		p.pass(to, from, cut)
		done <- struct{}{}
	}
	go pass(server, caller, faultRequest)
	go pass(caller, server, faultAnswer)
	<-done
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
}

// pass copies one direction until an end closes.
func (p *proxy) pass(to, from net.Conn, cut fault) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for blocked := true; blocked; {
			switch f := fault(p.fault.Load()); {
			case f == faultSilent || f == cut:
				p.mu.Lock()
				open := p.conns[from]
				p.mu.Unlock()
				if !open {
					return
				}
				time.Sleep(proxyPoll)
			case f == faultDelay:
				time.Sleep(proxyDelay)
				blocked = false
			default:
				blocked = false
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other direction goes on
			}
			return
		}
		if err != nil {
			return
		}
	}
}
