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

// ideal is an upstream in memory that accepts every grant. It leaves the costs
// of HTTP out of the measurements of the holder's state.
type ideal struct{ started time.Time }

func (u *ideal) report() platform.Health {
	return platform.Health{Incarnation: "0000abcd", ClockMs: time.Since(u.started).Milliseconds(), Ready: true, SupportsRenewals: true}
}

// Health implements platform.Upstream.
func (u *ideal) Health(context.Context) (platform.Health, error) { return u.report(), nil }

// Grant implements platform.Upstream.
func (u *ideal) Grant(_ context.Context, g platform.Grant) (platform.GrantResult, error) {
	health := u.report()
	health.Fence = g.Fence
	return platform.GrantResult{Accepted: true, Health: health}, nil
}

// Drain implements platform.Upstream.
func (u *ideal) Drain(context.Context, bool) (platform.Health, error) { return u.report(), nil }

// Send implements platform.Upstream.
func (u *ideal) Send(context.Context, platform.Request) (platform.Response, error) {
	return platform.Response{Status: 200, Incarnation: "0000abcd"}, nil
}

// errNotPlaced means that a shard did not grant all its ranges in time.
var errNotPlaced = errors.New("the shard did not place its ranges")

// placeTimeout bounds the wait for the first placement of a shard.
const placeTimeout = 30 * time.Second

// heldShard starts a shard with the given numbers of ranges and upstreams and
// waits until every range has an owner.
func heldShard(ranges, ups int) (*holder.Shard, error) {
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
		Dial:             func(string, config.Service) platform.Upstream { return &ideal{start} },
		ReportAssignment: func(a wire.Assign) { assigned <- a.Seq },
	}, doc, holder.PriorState{}, start)
	for clock() < placeTimeout {
		s.SetAuthority(clock() + time.Second)
		s.Tick()
		select {
		case seq := <-assigned:
			s.AckAssignment(seq)
		case <-time.After(10 * time.Millisecond):
		}
		if owned(s) == ranges {
			return s, nil
		}
	}
	s.Close()
	return nil, errNotPlaced
}

// owned counts the ranges that have an owner.
func owned(s *holder.Shard) int {
	n := 0
	for _, u := range s.Status().Upstreams {
		n += u.Ranges
	}
	return n
}

// memoryOfShard returns the heap and stacks of a held shard, its sessions included.
func memoryOfShard(ranges, ups int) (float64, error) {
	return memoryOf(func() (any, func(), error) {
		s, err := heldShard(ranges, ups)
		if err != nil {
			return nil, nil, err
		}
		return s, s.Close, nil
	})
}

// tickTime returns the time of one tick of a held shard, in nanoseconds.
func tickTime(ranges, ups int) (float64, error) {
	s, err := heldShard(ranges, ups)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	return nanoseconds(func() func() {
		return s.Tick
	}), nil
}

// planTicks is the number of ticks with a plan that planTickTime measures.
const planTicks = 9

// planTickTime returns the median time of ticks that plan, in nanoseconds. Each
// waits until a plan is due.
func planTickTime(ranges, ups int) (float64, error) {
	s, err := heldShard(ranges, ups)
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
