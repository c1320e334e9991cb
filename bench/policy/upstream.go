package policy

import (
	"time"

	"dandelionhill.dev/api"
)

// reply is the upstream's response to a request, as the holder sees it.
type reply int

const (
	answered reply = iota
	shed
	broken // the connection broke
)

// job is one request at an upstream.
type job struct {
	serviceTime time.Duration
	crashing    bool
	onRun       func() // called when the run takes effect
	reply       func(reply)
	interrupted bool // in flight when its upstream crashed
}

// coldStart describes how an upstream warms up. Its load limit, in requests in
// flight, rises from 1 to its slots by one for each warmAfter answers. Its service
// times are multiplied by slowdown at first, and by less as the limit rises. With
// singleSlot it is cold for warmAfter answers in total, and until then runs one
// request at a time and accepts one more that waits.
type coldStart struct {
	warmAfter  int
	slowdown   float64
	singleSlot bool
}

// upstream models a server with slots and a short queue, which sheds requests
// beyond that.
type upstream struct {
	e         *engine
	id        api.UpstreamID
	slots     int
	shedLimit int // requests in the system beyond which it sheds
	cold      *coldStart
	done      int // answers since the cold start
	running   map[*job]bool
	waiting   []*job
	crashes   int
	epoch     int // changes with each crash
	// maxLoadRatio is the highest ratio of requests in flight to the load limit
	// while cold.
	maxLoadRatio float64
	sheds        int
}

// rtt is the round trip between holder and upstream (section 1.2).
const rtt = time.Millisecond

func newUpstream(e *engine, id api.UpstreamID, slots int) *upstream {
	return &upstream{e: e, id: id, slots: slots, shedLimit: 2 * slots, running: map[*job]bool{}}
}

// loadLimit returns the number of requests in flight that u can handle now. It
// ends the cold time when u has warmed up.
func (u *upstream) loadLimit() int {
	if u.cold == nil {
		return u.shedLimit
	}
	if u.cold.singleSlot && u.done < u.cold.warmAfter {
		return 2
	}
	level := 1 + u.done/u.cold.warmAfter
	if u.cold.singleSlot {
		level = u.slots
	}
	if level >= u.slots {
		u.cold = nil
		return u.shedLimit
	}
	return level
}

func (u *upstream) slowdown() float64 {
	if u.cold == nil {
		return 1
	}
	if u.cold.singleSlot {
		return u.cold.slowdown
	}
	missing := 1 - float64(u.done)/float64(u.cold.warmAfter*(u.slots-1))
	return 1 + (u.cold.slowdown-1)*max(0, missing)
}

// send delivers a request after half a round trip.
func (u *upstream) send(j *job) {
	u.e.after(rtt/2, func() { u.receive(j) })
}

func (u *upstream) receive(j *job) {
	load := len(u.running) + len(u.waiting)
	limit := u.loadLimit()
	if u.cold != nil {
		u.maxLoadRatio = max(u.maxLoadRatio, float64(load+1)/float64(limit))
	}
	if load >= limit {
		u.sheds++
		u.e.after(rtt/2, func() { j.reply(shed) })
		return
	}
	if len(u.running) >= u.slots || len(u.running) > 0 && u.cold != nil && u.cold.singleSlot {
		u.waiting = append(u.waiting, j)
		return
	}
	u.start(j)
}

func (u *upstream) start(j *job) {
	u.running[j] = true
	epoch := u.epoch
	u.e.after(time.Duration(float64(j.serviceTime)*u.slowdown()), func() {
		if epoch == u.epoch {
			u.finish(j)
		}
	})
}

func (u *upstream) finish(j *job) {
	if j.crashing {
		u.crash()
		return
	}
	delete(u.running, j)
	u.done++
	if j.onRun != nil {
		j.onRun()
	}
	u.e.after(rtt/2, func() { j.reply(answered) })
	u.loadLimit() // ends the cold time
	for len(u.waiting) > 0 && len(u.running) < u.slots && (len(u.running) == 0 || u.cold == nil || !u.cold.singleSlot) {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.start(next)
	}
}

// crash breaks the connections of all requests at u, crashing or not.
func (u *upstream) crash() {
	u.crashes++
	u.epoch++
	lost := u.waiting
	for j := range u.running {
		lost = append(lost, j)
	}
	u.waiting, u.running = nil, map[*job]bool{}
	for _, j := range lost {
		j.interrupted = true
	}
	for _, j := range lost {
		u.e.after(rtt/2, func() { j.reply(broken) })
	}
}
