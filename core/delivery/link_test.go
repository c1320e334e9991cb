package delivery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const silence = 700 * time.Millisecond

// TestTransfer guards against a bound on messages that a slow link cannot keep, and against one that
// bounds silence only, so that a message may take any time.
func TestTransfer(t *testing.T) {
	const size, link = 8 << 20, 10e6 / 8
	for name, l := range map[string]Link{"both": NewLink(10, 200), "slow peer": NewLink(200, 10), "one end": NewLink(10, 0), "fast end": NewLink(200, 0), "no end": NewLink(0, 0)} {
		transfer := l.NewTransfer(silence)
		// Eight messages share the link.
		piece := time.Duration(8 * PieceBytes / link * float64(time.Second))
		for range size / PieceBytes {
			require.GreaterOrEqual(t, transfer.Next(PieceBytes), piece, name)
			transfer.Moved(PieceBytes, piece)
		}
	}
	// Pieces come before the bound on silence, but too slowly.
	transfer, pieces := NewLink(10, 10).NewTransfer(silence), 0
	for ; transfer.Next(PieceBytes) >= silence/2; pieces++ {
		transfer.Moved(PieceBytes, silence/2)
	}
	require.InDelta(t, 2, pieces, 1)
	require.Equal(t, silence, NewLink(10, 10).NewTransfer(silence).Next(1<<20), "a piece is bounded by silence")
	// What another VM states must not hold messages for hours.
	slow := NewLink(10, 1e-9).NewTransfer(silence)
	slow.Moved(1<<20, 2*time.Minute)
	require.Negative(t, slow.Next(PieceBytes))
}

// TestArrives guards against a request that is sent although it cannot arrive in time, and against the
// refusal of one that can.
func TestArrives(t *testing.T) {
	const size, share = 1 << 20, 0.8 * 10e6 / 8
	alone := time.Duration(size / share * float64(time.Second))
	for name, c := range map[string]struct {
		link    Link
		waiting []int64
		needed  time.Duration
	}{
		"alone":              {NewLink(10, 0), nil, alone},
		"slow peer":          {NewLink(200, 10), nil, alone},
		"beside smaller one": {NewLink(10, 10), []int64{size / 2}, alone * 3 / 2},
		"beside larger one":  {NewLink(10, 10), []int64{8 * size}, 2 * alone},
	} {
		needed, ok := c.link.Arrives(size, c.waiting, c.needed+time.Millisecond)
		require.True(t, ok, name)
		require.InDelta(t, c.needed, needed, float64(time.Millisecond), name)
		_, ok = c.link.Arrives(size, c.waiting, c.needed-time.Millisecond)
		require.False(t, ok, name)
	}
	_, ok := NewLink(0, 0).Arrives(1<<30, nil, 0)
	require.True(t, ok, "nothing is known of the link")
}

// TestUnpaced guards against pieces that fill the link beside control messages, and against ones that
// wait although control messages keep to what is left to them.
func TestUnpaced(t *testing.T) {
	const link = 10e6 / 8
	for name, c := range map[string]struct{ control, paced float64 }{
		"within its part": {0.15 * link, 0.8 * link},
		"beyond it":       {0.6 * link, 0.4 * link},
	} {
		p, now, sent := NewPacer(10), time.Duration(0), 0
		const message, duration = 4 << 10, 100 * time.Second
		next := now
		for now < duration {
			for ; next <= now; next += time.Duration(message / c.control * float64(time.Second)) {
				p.Unpaced(next, message)
			}
			now += max(p.Grant(now, PieceBytes), time.Microsecond)
			sent += PieceBytes
		}
		require.InEpsilon(t, c.paced, float64(sent)/duration.Seconds(), 0.05, name)
	}
	NewPacer(0).Unpaced(0, 1<<20)
}
