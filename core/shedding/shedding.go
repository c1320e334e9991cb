// Package shedding decides which connections of clients are closed: those whose progress is below
// the minimum rate, and one connection at a time when connections or memory are short.
package shedding

import "time"

// Phase says what a connection does.
type Phase int

// The phases of a connection.
const (
	// Idle means that no byte of a request has arrived since the last response or since the
	// connection was accepted.
	Idle Phase = iota
	// Head means that the head of a request is arriving.
	Head
	// Body means that the body of a request is arriving, or is discarded after a refusal.
	Body
	// Running means that the request is complete: it waits in the VM or was sent to an upstream.
	Running
	// Writing means that a response is being written.
	Writing
)

// Rules are the limits of progress.
type Rules struct {
	// MinRate is the lowest rate of a body or of a response, in bytes per second, over a window.
	MinRate float64
	Window  time.Duration
	// Grace is how long a message may take before its rate counts when memory or connections are
	// short.
	Grace time.Duration
}

// Progress follows the bytes of one phase of a connection.
type Progress struct {
	phase Phase
	// observed means that mark and last are set.
	observed bool
	// markAt and mark are the start of the window and the bytes until then.
	markAt time.Duration
	mark   int64
	// movedAt is when bytes moved last, last their number.
	movedAt time.Duration
	last    int64
}

// Begin begins a phase. It does nothing in the phase that is present.
func (p *Progress) Begin(now time.Duration, phase Phase) {
	if phase != p.phase {
		*p = NewProgress(now)
		p.phase = phase
	}
}

// NewProgress returns the progress of a connection that was accepted at a time.
func NewProgress(now time.Duration) Progress { return Progress{markAt: now, movedAt: now} }

// Observe records the number of bytes that have moved until now, since any time. It reports whether
// the rate over the last window is below the minimum. The window restarts with each phase and
// whenever enough bytes for it have moved.
func (p *Progress) Observe(now time.Duration, bytes int64, rules Rules) (tooSlow bool) {
	if !p.observed {
		p.observed, p.mark, p.last = true, bytes, bytes
	}
	if bytes > p.last {
		p.movedAt, p.last = now, bytes
	}
	if float64(p.last-p.mark) >= rules.MinRate*rules.Window.Seconds() {
		p.markAt, p.mark = now, p.last
		return false
	}
	return (p.phase == Body || p.phase == Writing) && now-p.markAt >= rules.Window
}

// Slow reports whether the connection is preferred for closing when something is short: a head has
// been arriving, or another message has moved at less than the minimum rate, for longer than the
// grace.
func (p *Progress) Slow(now time.Duration, rules Rules) bool {
	elapsed := now - p.markAt
	if !p.observed || elapsed <= rules.Grace {
		return false
	}
	switch p.phase {
	case Head:
		return true
	case Body, Writing:
		return float64(p.last-p.mark) < rules.MinRate*elapsed.Seconds()
	default:
		return false
	}
}

// Silent returns for how long no byte has moved.
func (p *Progress) Silent(now time.Duration) time.Duration { return now - p.movedAt }

// Conn is a connection as a candidate for closing.
type Conn struct {
	// Peer is the address of the client without its port.
	Peer  string
	Phase Phase
	// Slow and Silent are those of Progress.
	Slow   bool
	Silent time.Duration
	// Established means that the connection is of use while it is idle, such as that of a VM to the
	// granter.
	Established bool
	// Memory is the number of bytes that closing the connection frees.
	Memory int64
}

// Shortage says what there is too little of.
type Shortage int

// The kinds of shortages.
const (
	// Connections means that another connection needs the place.
	Connections Shortage = iota
	// Memory means that a message needs the memory.
	Memory
)

// Victim returns the index of the connection that is closed first, or false if none may be closed.
//
// A running request is never chosen: it may have been sent to an upstream. A response is chosen
// only if its client reads slowly. Slow connections come before idle ones, and these before
// messages that make progress and established connections. Among equals the peer with the largest share comes first, then the
// connection that has been silent for longest. When memory is short, a message that makes progress
// is not chosen: it is as good as the one that needs the memory.
func Victim(conns []Conn, shortage Shortage) (index int, ok bool) {
	shares := make(map[string]int64)
	for i := range conns {
		shares[conns[i].Peer] += weight(&conns[i], shortage)
	}
	best := rank{}
	for i := range conns {
		c := &conns[i]
		class := classOf(c, shortage)
		if class == notEligible {
			continue
		}
		r := rank{class, shares[c.Peer], c.Silent, weight(c, shortage)}
		if !ok || r.before(best) {
			index, best, ok = i, r, true
		}
	}
	return index, ok
}

func weight(c *Conn, shortage Shortage) int64 {
	if shortage == Memory {
		return c.Memory
	}
	return 1
}

// The classes of candidates, in the order in which they are chosen.
const (
	slow   int = iota // a message that arrives or leaves slowly
	idle              // between two requests
	active            // a message that makes progress
	notEligible
)

func classOf(c *Conn, shortage Shortage) int {
	switch {
	case c.Phase == Running, shortage == Memory && c.Memory == 0:
		return notEligible
	case c.Slow && c.Phase != Idle:
		return slow
	case c.Phase == Writing:
		return notEligible
	case c.Phase == Idle && !c.Established:
		return idle
	case shortage == Memory:
		return notEligible
	default:
		return active
	}
}

// rank orders candidates.
type rank struct {
	class  int
	share  int64
	silent time.Duration
	weight int64
}

func (r rank) before(o rank) bool {
	switch {
	case r.class != o.class:
		return r.class < o.class
	case r.share != o.share:
		return r.share > o.share
	case r.silent != o.silent:
		return r.silent > o.silent
	default:
		return r.weight > o.weight
	}
}
