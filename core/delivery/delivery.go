// Package delivery decides how large responses reach slow callers, and large messages other VMs: which
// responses are delivered while they are read, how fast bytes leave, how long a message may take, and
// who is at fault when a response breaks off.
package delivery

import "time"

const (
	// PieceBytes is the size of one write to a caller. It occupies a link of 10 Mbit/s for 13 ms,
	// which is how long a small response or a control message may have to wait behind it.
	PieceBytes = 16 << 10
	// linkShare is the share of the link that large responses and large messages may use together.
	linkShare = 0.8
	// burstPieces is how many pieces may leave at once after a pause.
	burstPieces = 2
	// maxYield is the longest time for which pieces wait for unpaced messages. Upstreams abort responses
	// that remain unread for some seconds.
	maxYield = 500 * time.Millisecond
)

// Windowed reports whether a response whose body has a stated length, negative if it is unknown,
// may exceed the window, so that it must not be read whole before it is delivered.
func Windowed(length, window int64) bool { return length < 0 || length > window }

// Pacer spaces the pieces of all large responses and large messages of a process, in the order in which they are
// asked for. The zero value does not limit. It is not safe for concurrent use.
type Pacer struct {
	// bytesPerSecond is 0 without a limit.
	bytesPerSecond float64
	// free is when the link has passed on what was granted.
	free time.Duration
	// unpacedFree is when the part of the link that is left to unpaced messages has passed them on.
	unpacedFree time.Duration
}

// NewPacer returns the Pacer of a link, in Mbit/s; 0 is not known and means no limit.
func NewPacer(linkMbps float64) *Pacer {
	p := &Pacer{bytesPerSecond: linkShare * linkMbps * 1e6 / 8}
	if p.bytesPerSecond > 0 {
		p.free, p.unpacedFree = -p.burst(), -p.burst()
	}
	return p
}

// Grant takes room for a piece and returns how long to wait before it is sent.
func (p *Pacer) Grant(now time.Duration, bytes int) (wait time.Duration) {
	if p.bytesPerSecond <= 0 {
		return 0
	}
	p.free = max(p.free, now-p.burst()) + p.duration(bytes)
	return max(p.free-now, 0)
}

// Unpaced records a message that is sent without waiting, such as a control message. Pieces wait for
// what such messages take beyond the part of the link that is left to them.
func (p *Pacer) Unpaced(now time.Duration, bytes int) {
	if p.bytesPerSecond <= 0 {
		return
	}
	const spareShare = (1 - linkShare) / linkShare // of the rate of pieces
	spare := time.Duration(float64(p.duration(bytes)) / spareShare)
	p.unpacedFree = max(p.unpacedFree, now-time.Duration(float64(p.burst())/spareShare)) + spare
	if excess := p.unpacedFree - now; excess > 0 {
		free := max(p.free, now-p.burst())
		p.free = min(free+time.Duration(float64(excess)*spareShare), max(free, now+maxYield))
		p.unpacedFree = now
	}
}

// burst returns the time that the link takes for what may leave at once.
func (p *Pacer) burst() time.Duration { return p.duration(burstPieces * PieceBytes) }

func (p *Pacer) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}

// Result says how the delivery of a response ended.
type Result string

// Results of a delivery.
const (
	Complete Result = "complete"
	// UpstreamBroke means that the upstream did not send the whole response.
	UpstreamBroke Result = "broken_off"
	// CallerStalled means that the caller did not read for the bound.
	CallerStalled Result = "not_read"
	CallerLeft    Result = "caller_left"
)

// End describes the end of a delivery.
type End struct {
	// Broken means that the upstream or its connection failed before the response was whole,
	// WriteFailed that a write to the caller failed, WriteTimeout that it did so after the bound.
	Broken, WriteFailed, WriteTimeout bool
	// CallerGone means that the request's context ended: the caller closed its connection, or the
	// HTTP server did so after a failed write.
	CallerGone bool
}

// Judge returns the result of a delivery. What the caller did comes first: an upstream whose
// response is given up breaks off as a consequence.
func Judge(e End) Result {
	switch {
	case e.WriteTimeout:
		return CallerStalled
	case e.WriteFailed, e.CallerGone:
		return CallerLeft
	case e.Broken:
		return UpstreamBroke
	}
	return Complete
}

// toleratedUnread is the share, as 1/n, of the bound on callers for which a response can remain
// unread before its upstream may have given it up for that.
const toleratedUnread = 2

// UpstreamFault reports whether a response that broke off counts against its upstream. unread is
// the longest time for which nothing was read of it, bound that which callers have.
func UpstreamFault(unread, bound time.Duration) bool { return unread < bound/toleratedUnread }
