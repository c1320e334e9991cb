package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// ownerOf returns the upstream that has confirmed a key, empty if none has.
func (m *Machine) ownerOf(key int) api.UpstreamID {
	for _, e := range m.entries {
		if key >= e.Span.First && key <= e.Span.Last && e.acked && !e.moving && !e.writing {
			return e.Owner.UpstreamID
		}
	}
	return ""
}

// TestRequestedKeyLeavesRestingUpstream guards against a key that stays with an upstream which
// wants no requests, although another one has room, and against keys that go back and forth then.
// Whether balance alone moves the key depends on its load: the first piece that is moved may or may
// not include it, and the rest of the keys is as much as the upstream may keep.
func TestRequestedKeyLeavesRestingUpstream(t *testing.T) {
	const settled, rests, end, key = 3 * time.Second, 4 * time.Second, 14 * time.Second, 1
	for _, load := range []float64{0.1, 0.2, 0.4, 0.7, 1, 2, 5} {
		for _, rate := range []float64{0, 0.1, 0.5, 1, 5} {
			t.Run(fmt.Sprint(load, " ", rate), func(t *testing.T) {
				m := New(DefaultConfig(1<<16), 1, nil, Predecessor{})
				first, changes := api.UpstreamID(""), 0
				for now := time.Duration(0); now < end; now += 50 * time.Millisecond {
					if now == settled {
						first = m.ownerOf(key)
						m.Observe(key/KeysPerBucket, load)
					}
					if now > settled {
						m.Observe(key/KeysPerBucket, rate*0.05)
					}
					if now%(500*time.Millisecond) == 0 {
						m.Decay(1 - 0.5/6)
					}
					a, b := usable("a", 1), usable("b", 1)
					for _, u := range []*Upstream{&a, &b} {
						if now >= rests && u.UpstreamID == first {
							u.Capacity, u.MayGainKeys, u.Resting = 0.1, false, true
						}
					}
					m.SetUpstreams([]Upstream{a, b})
					before := m.ownerOf(key)
					for _, a := range m.Tick(now, Mode{Renew: true, Move: true}) {
						switch a.Kind {
						case Write:
							m.WriteDone()
						case Grant:
							m.GrantDone(now, a, Accepted)
						case Release:
							m.ReleaseDone(now, a, Accepted, "")
						}
					}
					if after := m.ownerOf(key); now >= rests && after != before && after != "" {
						changes++
					}
					if now >= rests+time.Second {
						require.NotEqual(t, first, m.ownerOf(key), "after %s", now-rests)
					}
				}
				require.NotEmpty(t, first)
				require.Equal(t, 1, changes, "changes of the owner")
			})
		}
	}
}
