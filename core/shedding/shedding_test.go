package shedding_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/shedding"
)

var rules = shedding.Rules{MinRate: 1000, Window: 5 * time.Second, Grace: time.Second}

// TestVictim guards against closing a connection whose request may have been sent, or a
// well-behaved one before a slow one.
func TestVictim(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		conns    []shedding.Conn
		shortage shedding.Shortage
		want     int // -1 for none
	}{
		"none": {want: -1},
		"running requests are kept": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Running, Slow: true, Silent: 60 * s, Memory: 9},
		}, want: -1},
		"running requests are kept in a shortage of memory": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Running, Slow: true, Silent: 60 * s, Memory: 9},
		}, shortage: shedding.Memory, want: -1},
		"a response that is read is kept": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Writing, Memory: 9},
		}, want: -1},
		"slow before idle": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Idle, Silent: 60 * s},
			{Peer: "a", Phase: shedding.Head, Slow: true, Silent: s},
		}, want: 1},
		"a slow reader": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Writing, Slow: true, Memory: 9}, {Peer: "a", Phase: shedding.Body, Memory: 9},
		}, shortage: shedding.Memory, want: 0},
		"idle before active": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Body}, {Peer: "a", Phase: shedding.Idle}, {Peer: "a", Phase: shedding.Running},
		}, want: 1},
		"established before active ones of a peer with fewer": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Idle, Established: true, Silent: s},
			{Peer: "b", Phase: shedding.Body},
			{Peer: "b", Phase: shedding.Body},
		}, want: 1},
		"idle before established": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Idle, Established: true, Silent: 60 * s}, {Peer: "b", Phase: shedding.Idle},
		}, want: 1},
		"established connections are kept in a shortage of memory": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Idle, Established: true, Memory: 9},
		}, shortage: shedding.Memory, want: -1},
		"the peer with the most connections": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Idle, Silent: 60 * s},
			{Peer: "b", Phase: shedding.Idle, Silent: s},
			{Peer: "b", Phase: shedding.Running},
		}, want: 1},
		"the peer with the most memory": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Body, Slow: true, Memory: 2},
			{Peer: "a", Phase: shedding.Body, Slow: true, Memory: 2},
			{Peer: "b", Phase: shedding.Body, Slow: true, Memory: 5},
		}, shortage: shedding.Memory, want: 2},
		"the longest silent": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Idle, Silent: s}, {Peer: "a", Phase: shedding.Idle, Silent: 2 * s},
		}, want: 1},
		"connections that free no memory are kept": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Idle, Silent: 60 * s}, {Peer: "a", Phase: shedding.Head, Slow: true},
		}, shortage: shedding.Memory, want: -1},
		"messages that make progress are kept in a shortage of memory": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Body, Memory: 9}, {Peer: "a", Phase: shedding.Head, Memory: 9},
		}, shortage: shedding.Memory, want: -1},
		"the last resort is a message that makes progress": {conns: []shedding.Conn{
			{Peer: "a", Phase: shedding.Running}, {Peer: "a", Phase: shedding.Body, Memory: 9},
		}, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := shedding.Victim(c.conns, c.shortage)
			if c.want < 0 {
				require.False(t, ok)
				return
			}
			require.True(t, ok)
			require.Equal(t, c.want, got)
		})
	}
}

// TestProgress guards against clients that stay below the minimum rate without being silent, and
// against limits that well-behaved clients meet.
func TestProgress(t *testing.T) {
	for name, c := range map[string]struct {
		phase    shedding.Phase
		rate     int64 // bytes in each step of 100 ms
		pause    int   // steps without bytes after each 20 steps
		slowAt   time.Duration
		closedAt time.Duration // 0 for never
	}{
		"silent body":                           {phase: shedding.Body, slowAt: 1100 * time.Millisecond, closedAt: 5 * time.Second},
		"a byte at a time":                      {phase: shedding.Body, rate: 1, slowAt: 1100 * time.Millisecond, closedAt: 5 * time.Second},
		"slow reader":                           {phase: shedding.Writing, rate: 99, slowAt: 1100 * time.Millisecond, closedAt: 5 * time.Second},
		"at the minimum rate":                   {phase: shedding.Body, rate: 100},
		"one of 50 clients of a 10 Mbit/s link": {phase: shedding.Writing, rate: 2500},
		"the same with pauses":                  {phase: shedding.Writing, rate: 2500, pause: 9},
		"a head in pieces":                      {phase: shedding.Head, rate: 1, slowAt: 1100 * time.Millisecond},
		"idle":                                  {phase: shedding.Idle},
		"an upstream that works":                {phase: shedding.Running},
	} {
		t.Run(name, func(t *testing.T) {
			p := shedding.NewProgress(0)
			p.Begin(0, c.phase)
			p.Observe(0, 0, rules)
			var bytes int64
			var slowAt, closedAt time.Duration
			for step := 1; step <= 200 && closedAt == 0; step++ {
				now := time.Duration(step) * 100 * time.Millisecond
				if step%(20+c.pause) < 20 {
					bytes += c.rate
				}
				if p.Observe(now, bytes, rules) {
					closedAt = now
				}
				if slowAt == 0 && p.Slow(now, rules) {
					slowAt = now
				}
			}
			require.Equal(t, c.closedAt, closedAt)
			require.Equal(t, c.slowAt, slowAt)
		})
	}
}

// TestProgressRestarts guards against time of an earlier phase that counts in the next one.
func TestProgressRestarts(t *testing.T) {
	p := shedding.NewProgress(0)
	p.Observe(0, 7, rules)
	require.False(t, p.Observe(60*time.Second, 7, rules))
	p.Begin(60*time.Second, shedding.Body)
	require.False(t, p.Observe(60*time.Second, 7, rules))
	p.Begin(61*time.Second, shedding.Body)
	require.False(t, p.Observe(64*time.Second, 7, rules))
	require.True(t, p.Observe(65*time.Second, 7, rules))
	require.Equal(t, 5*time.Second, p.Silent(65*time.Second))
	require.False(t, p.Observe(66*time.Second, 7+5000, rules))
	require.Zero(t, p.Silent(66*time.Second))
}
