package membership

import (
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// never is a time before every other. It is not the lowest possible value, so
// that differences to it do not overflow.
const never = time.Duration(math.MinInt64 / 2)

// maxFormer bounds the earlier incarnations kept per VM. A heartbeat of an
// earlier incarnation can only be one that was delayed in the network, so only
// the most recent ones matter.
const maxFormer = 8

// peer is the view of one VM.
type peer struct {
	id          api.VMID
	incarnation api.Incarnation
	former      []api.Incarnation // the latest earlier incarnations
	everHeard   bool
	firstHeard  time.Duration // of this incarnation
	lastHeard   time.Duration // or the time when the VM became known
	vouched     time.Duration // when another VM last said that it hears this one
	streak      int           // consecutive heartbeats while not alive
	leaving     bool          // by its own heartbeat

	listed      ListState
	listedSince time.Duration
	gone        bool // listed as gone for this incarnation

	state    State
	reported State // as of the last Tick
}

// heard takes a heartbeat and reports whether it is from the present
// incarnation, or a newer one, of a VM that is not gone.
func (p *peer) heard(now time.Duration, hb Heartbeat, cfg Config) bool {
	if slices.Contains(p.former, hb.Incarnation) {
		return false
	}
	if !p.everHeard || hb.Incarnation != p.incarnation {
		p.restarted(now, hb.Incarnation)
	}
	if p.gone {
		return false
	}
	p.update(now, cfg)
	// A gap of two intervals means that a heartbeat in between was lost.
	if now-p.lastHeard >= 2*cfg.HeartbeatEvery {
		p.streak = 0
	}
	p.streak++
	p.lastHeard = now
	p.leaving = hb.Leaving
	p.update(now, cfg)
	return true
}

// restarted takes over a new incarnation, which is alive with its first
// heartbeat: what was known about the earlier one says nothing about it.
func (p *peer) restarted(now time.Duration, incarnation api.Incarnation) {
	if p.everHeard {
		if len(p.former) == maxFormer {
			p.former = slices.Delete(p.former, 0, 1)
		}
		p.former = append(p.former, p.incarnation)
	}
	p.incarnation, p.everHeard = incarnation, true
	p.firstHeard, p.lastHeard = now, now
	p.gone, p.leaving, p.streak = false, false, 0
	p.state = Alive
}

// checkGone marks the incarnation as gone if the list's report must be about it
// and not, because the list lags, about an earlier one.
func (p *peer) checkGone(now time.Duration, cfg Config) {
	if p.gone || p.listed != ListGone {
		return
	}
	switch {
	case p.everHeard && p.listedSince < p.firstHeard:
		// The list has said so since before this incarnation was heard. Only a
		// report from after its last heartbeat can be about it.
		p.gone = now-p.lastHeard >= cfg.ListLag
	case p.everHeard:
		p.gone = now-p.firstHeard >= cfg.ListLag
	default:
		p.gone = true
	}
	if p.gone {
		p.state, p.streak = Dead, 0
	}
}

// hearing reports whether the VM itself was heard recently.
func (p *peer) hearing(now time.Duration, cfg Config) bool {
	return p.everHeard && !p.gone && now-p.lastHeard < cfg.SuspectAfter
}

// isLeaving reports whether the VM or the list says that it is stopping. A list
// that has said so since before this incarnation was heard is about an earlier
// one.
func (p *peer) isLeaving() bool {
	return p.leaving || p.listed == ListLeaving && (!p.everHeard || p.listedSince >= p.firstHeard)
}

// update sets the state for the time now.
func (p *peer) update(now time.Duration, cfg Config) {
	silent := now - p.lastHeard
	vouched := now-p.vouched < cfg.SuspectAfter
	switch {
	case p.gone:
		p.state = Dead
	case p.everHeard && silent < cfg.SuspectAfter:
		switch {
		case p.isLeaving():
			p.state = Leaving
		case p.state == Alive || p.state == Leaving || p.streak >= cfg.RecoverAfter:
			p.state = Alive
		default:
			p.state = Suspect
		}
	case vouched:
		p.state, p.streak = Unreachable, 0
	case silent >= cfg.DeadAfter:
		p.state, p.streak = Dead, 0
	case p.isLeaving():
		p.state = Leaving
	default:
		p.state, p.streak = Suspect, 0
	}
}
