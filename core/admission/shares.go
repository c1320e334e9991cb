package admission

import (
	"math"
	"time"

	"dandelionhill.dev/api"
)

const (
	// usualWindow is the time over which the usual demand of a flow is averaged. A flow that sends
	// many times as much for some seconds gains little weight by it.
	usualWindow = time.Minute
	// forgottenDemand is the average number of requests in usualWindow below which a flow is
	// forgotten.
	forgottenDemand = 0.05
	// cleanInterval is the time between two searches for flows to forget.
	cleanInterval = time.Second
)

// Flow is a class of requests that gets a share of the capacity: the requests of a workspace, or,
// without workspaces, those of a route from one failure domain of callers.
type Flow struct {
	// Workspace is that of the caller, empty without workspaces.
	Workspace api.WorkspaceName
	// Route and Domain are set without workspaces. Domain is empty for the callers of this VM.
	Route  string
	Domain api.FailureDomain
	// Priority is that of the route, 0 with workspaces. Flows of one priority divide what more
	// urgent ones leave, so each priority has a virtual time of its own.
	Priority int
}

// Shares divides the capacity of a service among flows by weighted fair queueing: each has a
// virtual time, which advances by the work that starts for it, divided by its weight, its usual
// demand. The flow with the lowest virtual time goes first. One VM has one Shares for each
// service. It is not safe for concurrent use.
type Shares struct {
	flows map[Flow]*flowShare
	// now is the virtual time of each priority: the highest at which a request has started.
	now       map[int]float64
	cleanedAt time.Duration
	// forgotten counts the flows that were removed.
	forgotten int
}

// flowShare is the state of one flow.
type flowShare struct {
	demand   float64 // requests in usualWindow, averaged, at demandAt
	demandAt time.Duration
	virtual  float64
}

// NewShares returns Shares without flows.
func NewShares() *Shares {
	return &Shares{flows: make(map[Flow]*flowShare), now: make(map[int]float64)}
}

func (f *flowShare) decay(now time.Duration) {
	if elapsed := now - f.demandAt; elapsed > 0 {
		f.demand *= math.Exp(-elapsed.Seconds() / usualWindow.Seconds())
		f.demandAt = now
	}
}

// Arrive records a request of a flow.
func (s *Shares) Arrive(now time.Duration, flow Flow) {
	f := s.flows[flow]
	if f == nil {
		f = &flowShare{demandAt: now, virtual: s.now[flow.Priority]}
		s.flows[flow] = f
	}
	f.decay(now)
	f.demand++
	if now-s.cleanedAt < cleanInterval {
		return
	}
	s.cleanedAt = now
	for flow, f := range s.flows {
		// The debt of one that was served more than its share goes with it, after minutes.
		if f.decay(now); f.demand < forgottenDemand {
			delete(s.flows, flow)
			s.forgotten++
		}
	}
}

// Start records that a request of a flow begins to use the service for a time.
func (s *Shares) Start(flow Flow, work time.Duration) {
	f := s.flows[flow]
	if f == nil {
		return
	}
	f.virtual = max(f.virtual, s.now[flow.Priority])
	s.now[flow.Priority] = f.virtual
	f.virtual += work.Seconds() / max(f.demand, forgottenDemand)
}

// Rank returns the virtual time of a flow; among those of one priority, the lowest goes first.
func (s *Shares) Rank(flow Flow) float64 {
	if f := s.flows[flow]; f != nil {
		return max(f.virtual, s.now[flow.Priority])
	}
	return s.now[flow.Priority]
}

// Len returns the number of flows that are known.
func (s *Shares) Len() int { return len(s.flows) }

// Forgotten returns how many flows were removed because they have sent nothing for long.
func (s *Shares) Forgotten() int { return s.forgotten }

// Sharer is Shares, or a version of it for concurrent use.
type Sharer interface {
	Arrive(now time.Duration, flow Flow)
	Start(flow Flow, work time.Duration)
	Rank(flow Flow) float64
}

// SetShares orders requests by what callers lose: those that can meet their target first, then by
// priority without ageing, by the share of their flow, and by remaining time. nil restores
// the order by arrival time.
func (q *Queue) SetShares(s Sharer) { q.shares = s }

// precedesByLoss reports whether a goes before b in the order of SetShares.
func (q *Queue) precedesByLoss(now time.Duration, a, b *Request) bool {
	if x, y := a.inTime(now), b.inTime(now); x != y {
		return x
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Flow != b.Flow {
		if x, y := q.shares.Rank(a.Flow), q.shares.Rank(b.Flow); x != y {
			return x < y
		}
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.Arrived < b.Arrived
}

// outranked returns the waiting requests of workspaces that cannot be served before their deadline
// because of others. They have not run, and their callers can retry while there is time.
func (q *Queue) outranked(now time.Duration) (refuse []*Request) {
	if q.shares == nil || len(q.waiting) < 2 {
		return nil
	}
	for _, r := range q.waiting {
		// The first one waits for nothing but the upstream.
		if ahead := q.ahead(now, r); ahead > 0 && r.Flow.Workspace != "" && r.MissesDeadline(now+q.wait(now, ahead)) {
			refuse = append(refuse, r)
		}
	}
	return refuse
}
