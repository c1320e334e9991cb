package policy

import (
	"time"

	"dandelionhill.dev/api"
)

// reply is what the holder learns about a request that it sent.
type reply int

const (
	answered reply = iota
	shed
	broken // the connection broke
)

// job is one request at an upstream.
type job struct {
	service time.Duration
	poison  bool
	ran     func() // called when the run takes effect
	reply   func(reply)
}

// coldness says how an upstream recovers from a cold start. What it bears, in
// requests in flight, rises from 1 to its slots by one for each warmAfter
// answers; its service times are slow times as long at first and fall with the
// share that is still missing. With flat it is cold for warmAfter answers in all
// and meanwhile has one slot and bears one more request that waits.
type coldness struct {
	warmAfter int
	slow      float64
	flat      bool
}

// upstream models a server with slots, a short queue and sheds beyond it.
type upstream struct {
	e       *engine
	id      api.UpstreamID
	slots   int
	bound   int // requests in the system beyond which it sheds
	cold    *coldness
	done    int // answers since the cold start
	running map[*job]bool
	waiting []*job
	crashes int
	epoch   int // changes with each crash
	// worstOver is the greatest ratio of requests in flight to what it bore.
	worstOver float64
	sheds     int
}

// rtt is the round trip between holder and upstream (section 1.2).
const rtt = time.Millisecond

func newUpstream(e *engine, id api.UpstreamID, slots int) *upstream {
	return &upstream{e: e, id: id, slots: slots, bound: 2 * slots, running: map[*job]bool{}}
}

// bears returns the requests in flight that u can handle now.
func (u *upstream) bears() int {
	if u.cold == nil {
		return u.bound
	}
	if u.cold.flat && u.done < u.cold.warmAfter {
		return 2
	}
	level := 1 + u.done/u.cold.warmAfter
	if u.cold.flat {
		level = u.slots
	}
	if level >= u.slots {
		u.cold = nil
		return u.bound
	}
	return level
}

func (u *upstream) slowdown() float64 {
	if u.cold == nil {
		return 1
	}
	if u.cold.flat {
		return u.cold.slow
	}
	missing := 1 - float64(u.done)/float64(u.cold.warmAfter*(u.slots-1))
	return 1 + (u.cold.slow-1)*max(0, missing)
}

// send delivers a request after half a round trip.
func (u *upstream) send(j *job) {
	u.e.after(rtt/2, func() { u.receive(j) })
}

func (u *upstream) receive(j *job) {
	load := len(u.running) + len(u.waiting)
	bears := u.bears()
	if u.cold != nil {
		u.worstOver = max(u.worstOver, float64(load+1)/float64(bears))
	}
	if load >= bears {
		u.sheds++
		u.e.after(rtt/2, func() { j.reply(shed) })
		return
	}
	if len(u.running) >= u.slots || len(u.running) > 0 && u.cold != nil && u.cold.flat {
		u.waiting = append(u.waiting, j)
		return
	}
	u.start(j)
}

func (u *upstream) start(j *job) {
	u.running[j] = true
	epoch := u.epoch
	u.e.after(time.Duration(float64(j.service)*u.slowdown()), func() {
		if epoch == u.epoch {
			u.finish(j)
		}
	})
}

func (u *upstream) finish(j *job) {
	if j.poison {
		u.crash()
		return
	}
	delete(u.running, j)
	u.done++
	if j.ran != nil {
		j.ran()
	}
	u.e.after(rtt/2, func() { j.reply(answered) })
	u.bears() // ends the cold time
	for len(u.waiting) > 0 && len(u.running) < u.slots && (len(u.running) == 0 || u.cold == nil || !u.cold.flat) {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.start(next)
	}
}

// crash ends all requests at u, poison or not.
func (u *upstream) crash() {
	u.crashes++
	u.epoch++
	lost := u.waiting
	for j := range u.running {
		lost = append(lost, j)
	}
	u.waiting, u.running = nil, map[*job]bool{}
	for _, j := range lost {
		u.e.after(rtt/2, func() { j.reply(broken) })
	}
}
