package membership

import (
	"math"
	"slices"
	"time"

	"dandelionhill.dev/api"
)

// distantPast is a time before every other. It is not the minimum value, so that
// differences to it do not overflow.
const distantPast = time.Duration(math.MinInt64 / 2)

// maxFormerIncarnations bounds the earlier incarnations kept per VM. Heartbeats
// of an earlier incarnation only arrive if the network delayed them, so only the
// most recent ones matter.
const maxFormerIncarnations = 8

// peer is the local state of another VM.
type peer struct {
	id                 api.VMID
	incarnation        api.Incarnation
	formerIncarnations []api.Incarnation // the latest earlier incarnations
	everHeard          bool
	firstHeard         time.Duration // of this incarnation
	lastHeard          time.Duration // or the time when the VM became known
	lastHeardByOthers  time.Duration // when another VM last reported this one as reachable
	excused            time.Duration // for which this process has not run since lastHeard
	consecutive        int           // consecutive heartbeats while not alive
	leaving            bool          // by its own heartbeat

	// returning is a former incarnation whose heartbeats arrive regularly while the present one
	// is silent, since returningSince and last at returningAt.
	returning                   api.Incarnation
	returningSince, returningAt time.Duration

	listed      ListState
	listedSince time.Duration
	gone        bool // listed as gone for this incarnation

	state    State
	reported State // as of the last Tick
}

// handleHeartbeat processes a heartbeat and reports whether it is from the
// current incarnation, or a newer one, of a VM that is not gone.
func (p *peer) handleHeartbeat(now time.Duration, hb Heartbeat, cfg Config) bool {
	if slices.Contains(p.formerIncarnations, hb.Incarnation) && !p.returns(now, hb.Incarnation, cfg) {
		return false
	}
	if !p.everHeard || hb.Incarnation != p.incarnation {
		p.startIncarnation(now, hb.Incarnation)
	}
	if p.gone {
		return false
	}
	p.update(now, cfg)
	// A gap of two intervals means that a heartbeat in between was lost.
	if p.silent(now) >= 2*cfg.HeartbeatEvery {
		p.consecutive = 0
	}
	p.consecutive++
	p.lastHeard, p.excused = now, 0
	p.leaving = hb.Leaving
	p.update(now, cfg)
	return true
}

// returns reports whether a heartbeat of a former incarnation shows that it is the present one:
// a delayed heartbeat of an incarnation that was not known is taken for a newer one. Delayed
// heartbeats arrive at once or while the newer one is heard; those of a running process go on.
func (p *peer) returns(now time.Duration, incarnation api.Incarnation, cfg Config) bool {
	if p.gone || now-p.lastHeard < cfg.SuspectAfter {
		return false
	}
	if p.returning != incarnation || now-p.returningAt >= 2*cfg.HeartbeatEvery {
		p.returning, p.returningSince = incarnation, now
	}
	p.returningAt = now
	return now-p.returningSince >= cfg.SuspectAfter
}

// startIncarnation resets the state for a new incarnation, which is alive with
// its first heartbeat whatever the state of the earlier one.
func (p *peer) startIncarnation(now time.Duration, incarnation api.Incarnation) {
	p.returning = ""
	if i := slices.Index(p.formerIncarnations, incarnation); i >= 0 {
		p.formerIncarnations = slices.Delete(p.formerIncarnations, i, i+1)
	}
	if p.everHeard {
		if len(p.formerIncarnations) == maxFormerIncarnations {
			p.formerIncarnations = slices.Delete(p.formerIncarnations, 0, 1)
		}
		p.formerIncarnations = append(p.formerIncarnations, p.incarnation)
	}
	p.incarnation, p.everHeard = incarnation, true
	p.firstHeard, p.lastHeard, p.excused = now, now, 0
	p.gone, p.leaving, p.consecutive = false, false, 0
	p.state = Alive
}

// checkGone marks the incarnation as gone if the list's report must refer to it.
// As the list lags, the report may refer to an earlier incarnation.
func (p *peer) checkGone(now time.Duration, cfg Config) {
	if p.gone || p.listed != ListGone {
		return
	}
	switch {
	case p.everHeard && p.listedSince < p.firstHeard:
		// The list already reported the VM as gone before the first heartbeat of
		// this incarnation. Only a report made after its last one can refer to it.
		p.gone = now-p.lastHeard >= cfg.ListLag
	case p.everHeard:
		p.gone = now-p.firstHeard >= cfg.ListLag
	default:
		p.gone = true
	}
	if p.gone {
		p.state, p.consecutive = Dead, 0
	}
}

// reachable reports whether a heartbeat of the VM arrived recently.
func (p *peer) reachable(now time.Duration, cfg Config) bool {
	return p.everHeard && !p.gone && now-p.lastHeard < cfg.SuspectAfter
}

// isLeaving reports whether the VM's heartbeat or the list shows that it is
// stopping. A report of the list from before the first heartbeat of this
// incarnation refers to an earlier one.
func (p *peer) isLeaving() bool {
	return p.leaving || p.listed == ListLeaving && (!p.everHeard || p.listedSince >= p.firstHeard)
}

// silent returns for how long no heartbeat has arrived while this process ran.
func (p *peer) silent(now time.Duration) time.Duration { return now - p.lastHeard - p.excused }

// update computes the state at now.
func (p *peer) update(now time.Duration, cfg Config) {
	silent := p.silent(now)
	heardByOthers := now-p.lastHeardByOthers < cfg.SuspectAfter
	switch {
	case p.gone:
		p.state = Dead
	case p.everHeard && silent < cfg.SuspectAfter:
		switch {
		case p.isLeaving():
			p.state = Leaving
		case p.state == Alive || p.state == Leaving || p.consecutive >= cfg.RecoverAfter:
			p.state = Alive
		default:
			p.state = Suspect
		}
	case heardByOthers:
		p.state, p.consecutive = Unreachable, 0
	case silent >= cfg.DeadAfter:
		p.state, p.consecutive = Dead, 0
	case p.isLeaving():
		p.state = Leaving
	default:
		p.state, p.consecutive = Suspect, 0
	}
}
