package listen

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/shedding"
	"dandelionhill.dev/server/buffers"
)

// TestAssembly guards against messages in parts that take more memory than their bytes, or keep it
// after they were refused, and against parts that exceed the stated size.
func TestAssembly(t *testing.T) {
	const part = 16 << 10
	shared := buffers.NewBudget(32 << 20)
	m := NewMessages(MessageLimits{Bytes: 32 << 20, ConnectionBytes: 2*largestMessage + 4*handlingCost, ConnectionCount: 2}, nil, buffers.NewBudget(0), shared)
	c := m.Connection(nil, largestMessage)
	send := func(a *Assembly, bytes int) error {
		for ; bytes > 0; bytes -= part {
			if err := a.Append(make([]byte, min(bytes, part))); err != nil {
				return err
			}
		}
		return nil
	}
	first, err := c.Assemble(largestMessage)
	require.NoError(t, err)
	require.NoError(t, send(first, part))
	require.LessOrEqual(t, c.used, int64(pieceBytes+handlingCost), "a stated size alone holds nothing")
	second, err := c.Assemble(largestMessage)
	require.NoError(t, err)
	_, err = c.Assemble(1)
	require.ErrorIs(t, err, ErrMessageRefused, "it counts before it is whole")
	require.NoError(t, send(first, largestMessage-part))
	require.True(t, first.Complete())
	require.ErrorIs(t, first.Append([]byte{0}), ErrAssembly)
	require.LessOrEqual(t, c.used, int64(largestMessage+pieceBytes+2*handlingCost))
	data, err := first.Join()
	require.NoError(t, err)
	require.Len(t, data, largestMessage)
	require.NoError(t, send(second, largestMessage))
	_, err = second.Join()
	require.ErrorIs(t, err, ErrMessageRefused)
	require.LessOrEqual(t, c.used, int64(largestMessage+handlingCost), "what was refused holds nothing")
	whole, err := first.Whole(100, 10)
	require.NoError(t, err)
	require.Len(t, whole.Data, largestMessage)
	require.NoError(t, whole.Handle())
	whole.Release()
	second.Release()
	require.Zero(t, c.used)
	require.Zero(t, c.count)
	require.Zero(t, c.assembling.Load())
	require.Equal(t, shared.Total(), shared.Left())
	// The largest request fits the smallest VM.
	m, _ = newMessages(144)
	c = m.Connection(nil, largestMessage)
	largest, err := c.Assemble(largestMessage)
	require.NoError(t, err)
	require.NoError(t, send(largest, largestMessage))
	_, err = largest.Join()
	require.NoError(t, err)
	_, err = largest.Whole(64<<10, 3000)
	require.NoError(t, err)
	largest.Release()
	require.Zero(t, c.used)
	for _, size := range []int64{-1, 0, largestMessage + 1} {
		_, err = c.Assemble(size)
		require.ErrorIs(t, err, ErrMessageTooLarge)
	}
}

// TestAssemblyMustMakeProgress guards against a half-sent message in parts whose connection counts as
// idle or as running a request, so that its memory is never reclaimed.
func TestAssemblyMustMakeProgress(t *testing.T) {
	conn := &Conn{guard: &Guard{now: func() time.Duration { return 0 }}, hijacked: true}
	m := NewMessages(MessageLimits{}, nil, nil, nil)
	c := m.Connection(conn, largestMessage)
	a, err := c.Assemble(largestMessage)
	require.NoError(t, err)
	c.setReading(true)
	c.setReading(false) // another message was read
	require.Equal(t, shedding.Body, conn.phaseNow())
	a.Release()
	require.Equal(t, shedding.Idle, conn.phaseNow())
	done := c.Run()
	require.Equal(t, shedding.Running, conn.phaseNow(), "a response is sent in parts")
	done()
	require.Equal(t, shedding.Idle, conn.phaseNow())
}
