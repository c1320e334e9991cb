package capacity

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/platform"
	"dandelionhill.dev/server/holder"
	"dandelionhill.dev/server/metrics"
)

// idealUpstream is an in-memory upstream that accepts every grant. It excludes the
// costs of HTTP from the measurements of the holder's state.
type idealUpstream struct{ started time.Time }

func (u *idealUpstream) report() platform.Health {
	return platform.Health{Incarnation: "0000abcd", ClockMs: time.Since(u.started).Milliseconds(), Ready: true, SupportsRenewals: true}
}

// Health implements platform.Upstream.
func (u *idealUpstream) Health(context.Context) (platform.Health, error) { return u.report(), nil }

// Grant implements platform.Upstream.
func (u *idealUpstream) Grant(_ context.Context, g platform.Grant) (platform.GrantResult, error) {
	health := u.report()
	health.Fence = g.Fence
	return platform.GrantResult{Accepted: true, Health: health}, nil
}

// Drain implements platform.Upstream.
func (u *idealUpstream) Drain(context.Context, bool) (platform.Health, error) { return u.report(), nil }

// Send implements platform.Upstream.
func (u *idealUpstream) Send(context.Context, platform.Request) (platform.Response, error) {
	return platform.Response{Status: 200, Incarnation: "0000abcd"}, nil
}

// errNotPlaced means that a shard did not grant all its ranges in time.
var errNotPlaced = errors.New("the shard did not place its ranges")

// placementTimeout bounds the wait for the first placement of a shard.
const placementTimeout = 30 * time.Second

// startShard starts a shard with the given numbers of ranges and upstreams and
// waits until every range has an owner.
func startShard(ranges, ups int) (*holder.Shard, error) {
	doc := document(ups)
	service := &doc.Services[0]
	service.Ranges, service.Shards = ranges, 1
	service.Layout = []config.Span{{First: 0, Last: ranges - 1}}
	for i := range service.Upstreams {
		service.Upstreams[i].Shard = 0
	}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	assigned := make(chan uint64, 4096)
	s := holder.New(holder.Config{
		ID: api.ShardID{Service: service.Name}, Fence: 5<<24 | 77, Clock: clock, Metrics: metrics.New(), Log: zerolog.Nop(),
		Dial:             func(string, config.Service) platform.Upstream { return &idealUpstream{start} },
		ReportAssignment: func(a wire.Assign) { assigned <- a.Seq },
	}, doc, holder.PriorState{}, start)
	for clock() < placementTimeout {
		s.SetAuthority(clock() + time.Second)
		s.Tick()
		select {
		case seq := <-assigned:
			s.AckAssignment(seq)
		case <-time.After(10 * time.Millisecond):
		}
		if countOwnedRanges(s) == ranges {
			return s, nil
		}
	}
	s.Close()
	return nil, errNotPlaced
}

// countOwnedRanges counts the ranges that have an owner.
func countOwnedRanges(s *holder.Shard) int {
	n := 0
	for _, u := range s.Status().Upstreams {
		n += u.Ranges
	}
	return n
}

// memoryOfShard returns the heap and stacks of a held shard, including its
// sessions.
func memoryOfShard(ranges, ups int) (float64, error) {
	return memoryOf(func() (any, func(), error) {
		s, err := startShard(ranges, ups)
		if err != nil {
			return nil, nil, err
		}
		return s, s.Close, nil
	})
}

// tickTime returns the time of one tick of a held shard, in nanoseconds.
func tickTime(ranges, ups int) (float64, error) {
	s, err := startShard(ranges, ups)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	return nanoseconds(func() func() {
		return s.Tick
	}), nil
}

// planTicks is the number of planning ticks that planTickTime measures.
const planTicks = 9

// planTickTime returns the median time of planning ticks, in nanoseconds. It waits
// before each until a plan is due.
func planTickTime(ranges, ups int) (float64, error) {
	s, err := startShard(ranges, ups)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	times := make([]float64, 0, planTicks)
	for range planTicks {
		time.Sleep(holder.PlanEvery)
		s.SetAuthority(time.Hour)
		start := time.Now()
		s.Tick()
		times = append(times, float64(time.Since(start).Nanoseconds()))
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}
