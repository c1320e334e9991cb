package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"dandelionhill.dev/platform/fleet"
)

// link is a TCP proxy between one VM and an address. While it is cut, it refuses connections.
type link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l := &link{target: target, conns: make(map[net.Conn]bool)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.address = listener.Addr().String()
	l.serve(listener)
	return l, nil
}

func (l *link) serve(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(c)
		}
	}()
}

func (l *link) pass(c net.Conn) {
	t, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(c)
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[t] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	forward := func(to, from net.Conn) {
		// The end of one direction ends the other one too: the peers close whole connections.
		_, _ = io.Copy(to, from)
		to.Close()
		from.Close()
	}
	both.Go(func() { forward(t, c) })
	both.Go(func() { forward(c, t) })
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	delete(l.conns, t)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// cut resets all connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener.Close()
	for c := range l.conns {
		reset(c)
	}
}

// heal ends a cut.
func (l *link) heal() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.serve(listener)
	return nil
}

// storeFront passes the calls of one VM to the store. In the entries of workers it puts the links
// of this VM in the place of the workers' addresses.
type storeFront struct {
	store http.Handler
	links map[string]*link // by the worker's address
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	got := &capture{header: make(http.Header), status: http.StatusOK}
	f.store.ServeHTTP(got, r)
	body := got.body.Bytes()
	var page fleet.Page
	if strings.HasPrefix(r.URL.Path, "/api/rows-") && json.Unmarshal(body, &page) == nil {
		for i, row := range page.Rows {
			for address, l := range f.links {
				if row.Table == fleet.TableUpstreams {
					page.Rows[i].Value = bytes.ReplaceAll(page.Rows[i].Value, []byte(`"`+address+`"`), []byte(`"`+l.address+`"`))
				}
			}
		}
		if data, err := json.Marshal(page); err == nil {
			body = data
		}
	}
	for name, values := range got.header {
		w.Header()[name] = values
	}
	w.WriteHeader(got.status)
	// The VM may have closed its connection.
	_, _ = w.Write(body)
}

// capture holds a response.
type capture struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (c *capture) Header() http.Header         { return c.header }
func (c *capture) WriteHeader(status int)      { c.status = status }
func (c *capture) Write(p []byte) (int, error) { return c.body.Write(p) }
