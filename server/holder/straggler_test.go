package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/core/crash"
	"dandelionhill.dev/core/ramp"
	"dandelionhill.dev/platform"
)

// keyCount returns how many of the first keys an upstream owns.
func (env *testEnv) keyCount(up api.UpstreamID, keys int) (n int) {
	for i := range keys {
		if env.owner(rangeOfKey(fmt.Sprintf("key-%d", i))) == up {
			n++
		}
	}
	return n
}

// TestLastingStragglerKeepsFewRanges checks that an upstream which stays slow loses
// most of its keys, and that one which is slow for a short time keeps them.
func TestLastingStragglerKeepsFewRanges(t *testing.T) {
	const keys = 2 * testRanges
	runWithShard(t, func(env *testEnv) {
		env.until("an owner", func() bool { return env.send(env.shard, "key-0") })
		for i := range keys {
			defer env.load(fmt.Sprintf("key-%d", i), 4)()
		}
		time.Sleep(30 * time.Second) // all upstreams are warm and the ranges balanced
		slow := env.doc.Services[0].Upstreams[0].ID
		before := env.keyCount(slow, keys)
		require.Greater(t, before, keys/8)
		env.upstreams[slow].setServiceTime(60 * time.Millisecond)
		time.Sleep(20 * time.Second)
		env.upstreams[slow].setServiceTime(4 * time.Millisecond)
		time.Sleep(30 * time.Second)
		require.Equal(t, before, env.keyCount(slow, keys), "keys after a moment")
		env.upstreams[slow].setServiceTime(60 * time.Millisecond)
		env.until("LastingAfter", func() bool {
			env.shard.mu.Lock()
			defer env.shard.mu.Unlock()
			return env.shard.monitor.Lasting(env.now(), slow)
		})
		env.until("moves", func() bool { return env.keyCount(slow, keys) <= before/8 })
		env.upstreams[slow].setServiceTime(4 * time.Millisecond)
		env.until("its return", func() bool {
			env.shard.mu.Lock()
			defer env.shard.mu.Unlock()
			return !env.shard.monitor.Straggling(slow)
		})
	})
}

// TestRefusalAtDeadlineIsNoShed guards against a slow upstream that counts as cold, and loses ranges,
// because it has refused a request whose deadline had passed there, which was started a millisecond
// or two before. One that turns requests away and is slow counts as cold.
func TestRefusalAtDeadlineIsNoShed(t *testing.T) {
	for name, c := range map[string]struct {
		left time.Duration
		cold bool
	}{"at its deadline": {2 * time.Millisecond, false}, "in time": {300 * time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			runWithShard(t, func(env *testEnv) {
				env.until("an owner", func() bool { return env.send(env.shard, "key-0") })
				for range 10 {
					env.until("a response", func() bool { return env.send(env.shard, "key-0") })
				}
				owner := env.owner(rangeOfKey("key-0"))
				env.shard.mu.Lock()
				defer env.shard.mu.Unlock()
				up, now := env.shard.upstreams[owner], env.now()
				up.ramp = ramp.New(env.shard.rampConfig(), false)
				up.ramp.SetNormalLatency(4 * time.Millisecond)
				deadline, ok := env.shard.leases.Deadline(now, now+c.left, up.id)
				require.True(t, ok)
				env.shard.observeShed(now, &run{up: up, started: now, deadline: deadline})
				for range 64 {
					up.ramp.Observe(now, 60*time.Millisecond, false)
				}
				require.Equal(t, c.cold, up.ramp.Cold())
			})
		})
	}
}

// TestEndAtDeadlineIsNoCrash guards against a slow request that is quarantined as one that crashes
// upstreams, because two of them have ended its run at its deadline by closing the connection. One whose
// connections break before is.
func TestEndAtDeadlineIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		left   time.Duration
		checks config.Checks
		want   crash.Verdict
	}{
		"at its deadline":                {2 * time.Millisecond, config.ChecksFence, crash.Normal},
		"in time":                        {300 * time.Millisecond, config.ChecksFence, crash.Quarantined},
		"the upstream ends no run by it": {2 * time.Millisecond, config.ChecksNone, crash.Quarantined},
	} {
		t.Run(name, func(t *testing.T) {
			runWithShard(t, func(env *testEnv) {
				env.until("an owner", func() bool { return env.send(env.shard, "key-0") })
				owner := env.owner(rangeOfKey("key-0"))
				env.shard.mu.Lock()
				defer env.shard.mu.Unlock()
				up, now := env.shard.upstreams[owner], env.now()
				env.shard.service.UpstreamChecks = c.checks
				defer func() { env.shard.service.UpstreamChecks = config.ChecksFence }()
				deadline, ok := env.shard.leases.Deadline(now, now+c.left, up.id)
				require.True(t, ok)
				r := &request{fingerprint: 7}
				for range 2 {
					up.crashedIncarnation = ""
					env.shard.recordCrash(now, r, &run{up: up, started: now, deadline: deadline}, &platform.SendError{ConnBroken: true}, false)
				}
				require.Equal(t, c.want, env.shard.evidence.Admit(now, r.fingerprint))
			})
		})
	}
}
