package soak

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhill.dev/server/wait"
)

const (
	// senderInterval is the time between two searches for the processes of connections.
	senderInterval = 30 * time.Millisecond
	// senderTries is how many searches may miss a connection before it stays unknown.
	senderTries = 30
)

// sender is the VM at the caller's end of a connection, once it is known.
type sender struct {
	vm    atomic.Pointer[string]
	tries int
	// delivered is when a proxy last passed on bytes of the caller, 0 without a proxy.
	delivered atomic.Int64
}

// arrival returns when a call that the upstream took at a time has arrived there, as far as known.
func (s *sender) arrival(taken time.Duration) time.Duration {
	if delivered := time.Duration(s.delivered.Load()); 0 < delivered && delivered < taken {
		return delivered
	}
	return taken
}

// name returns the VM, or "" while it is not known.
func (s *sender) name() string {
	if s == nil || s.vm.Load() == nil {
		return ""
	}
	return *s.vm.Load()
}

func (s *sender) set(vm string) { s.vm.Store(&vm) }

// socketAddrs identifies one end of a connection.
type socketAddrs struct{ local, remote string }

// addrsOf returns the addresses of an end of a connection.
func addrsOf(c net.Conn) socketAddrs {
	return socketAddrs{c.LocalAddr().String(), c.RemoteAddr().String()}
}

// peer returns the other end.
func (a socketAddrs) peer() socketAddrs { return socketAddrs{a.remote, a.local} }

// senders finds the VMs to which connections belong, by the sockets of their processes.
type senders struct {
	// processIDs returns the process IDs of the VMs, by name.
	processIDs func() map[string]int

	mu      sync.Mutex
	wanted  map[socketAddrs][]*sender // by the VM's end
	proxied map[socketAddrs]*sender   // by a proxy's end
}

func newSenders(processIDs func() map[string]int) *senders {
	return &senders{processIDs: processIDs, wanted: make(map[socketAddrs][]*sender), proxied: make(map[socketAddrs]*sender)}
}

// find starts the search for the VM of an open connection.
func (s *senders) find(end socketAddrs) *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := &sender{}
	s.wanted[end] = append(s.wanted[end], found)
	return found
}

// forwarded records for whom a proxy has opened a connection.
func (s *senders) forwarded(end socketAddrs, from *sender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxied[end] = from
}

// at returns the sender at the other end of a connection to an upstream.
func (s *senders) at(end socketAddrs) *sender {
	s.mu.Lock()
	from := s.proxied[end]
	s.mu.Unlock()
	if from == nil {
		return s.find(end)
	}
	return from
}

// run searches until ctx ends.
func (s *senders) run(ctx context.Context) {
	for wait.For(ctx, senderInterval) {
		s.search()
	}
}

func (s *senders) search() {
	s.mu.Lock()
	wanted := s.wanted
	s.wanted = make(map[socketAddrs][]*sender)
	s.mu.Unlock()
	if len(wanted) == 0 {
		return
	}
	bySocket := make(map[string][]*sender)
	for end, socket := range sockets() {
		if of := wanted[end]; of != nil {
			bySocket[socket] = of
		}
	}
	for vm, id := range s.processIDs() {
		if len(bySocket) == 0 {
			break
		}
		dir := fmt.Sprintf("/proc/%d/fd/", id)
		entries, _ := os.ReadDir(dir) // fails if the process has ended
		for _, entry := range entries {
			link, _ := os.Readlink(dir + entry.Name())
			for _, of := range bySocket[link] {
				of.set(vm)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for end, of := range wanted {
		for _, each := range of {
			if each.tries++; each.name() == "" && each.tries < senderTries {
				s.wanted[end] = append(s.wanted[end], each)
			}
		}
	}
}

// sockets returns the links in /proc/PID/fd of the sockets of TCP over IPv4.
func sockets() map[socketAddrs]string {
	all := make(map[socketAddrs]string)
	file, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return all
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || fields[9] == "0" {
			continue
		}
		all[socketAddrs{decodeAddress(fields[1]), decodeAddress(fields[2])}] = "socket:[" + fields[9] + "]"
	}
	return all
}

// decodeAddress returns an address of /proc/PID/net/tcp as net.Addr prints it, or "" for the heading.
func decodeAddress(text string) string {
	b, err := hex.DecodeString(strings.Replace(text, ":", "", 1))
	if err != nil || len(b) != 6 {
		return ""
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}), uint16(b[4])<<8|uint16(b[5])).String()
}
