package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"dandelionhill.dev/core/delivery"
	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

// largeResponses holds what the deliveries of large responses share.
type largeResponses struct {
	// window is the memory of one response that is delivered while it is read, in bytes.
	window int64
	// readTimeout is how long a caller may read nothing.
	readTimeout time.Duration
	pacer       *linkPacer
	// ended counts the responses that were delivered while they were read: service, result.
	ended *prometheus.CounterVec
}

func newLargeResponses(limits Limits, linkMbps float64, m *Metrics) largeResponses {
	l := largeResponses{
		window: int64(limits.ResponseWindowKB) << 10, readTimeout: limits.CallerReadTimeout.AsDuration(),
		pacer: newLinkPacer(linkMbps),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "streamed_responses_total", Help: "Responses delivered while they were read from the upstream, by result.",
		}, []string{"service", "result"}),
	}
	m.registry.MustRegister(l.ended)
	return l
}

// windowOf returns the window of a request's response, 0 if it must be read whole: an HTTP/1.0
// caller takes the end of the connection for the end of a response without a length.
func (l largeResponses) windowOf(q *request) int64 {
	if !q.streamable || !q.route.LargeResponses {
		return 0
	}
	return l.window
}

// mayStream reports whether a response is the final one of its request: it is not sent again.
func mayStream(status int, headers fleet.ResponseHeaders) bool {
	return status < http.StatusMultipleChoices && !headers.NotRun && headers.Signed && !headers.ContentEncoded
}

// serviceName returns the name of the service, empty if none was chosen: another VM has served the
// request.
func (q *request) serviceName() string {
	if q.service == nil {
		return ""
	}
	return string(q.service.Name)
}

// isLarge reports whether a response is delivered in paced pieces.
func (q *request) isLarge(resp *upstreamconn.Response) bool {
	return resp.Stream != nil || q.route.LargeResponses && len(resp.Body) > delivery.PieceBytes
}

// linkPacer spaces the pieces of all large responses and of all large messages of this VM.
type linkPacer struct {
	// mbps is the bandwidth of the link, 0 if it is not known.
	mbps  float64
	start time.Time
	mu    sync.Mutex
	pacer *delivery.Pacer
	// messages holds the large messages that are being sent.
	messages map[*pacedMessage]bool
}

func newLinkPacer(mbps float64) *linkPacer {
	return &linkPacer{mbps: mbps, start: time.Now(), pacer: delivery.NewPacer(mbps), messages: make(map[*pacedMessage]bool)}
}

// unpaced records a control message, which waits for no turn.
func (p *linkPacer) unpaced(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Unpaced(time.Since(p.start), bytes)
}

// pacedMessage is a large message that is being sent.
type pacedMessage struct {
	pacer *linkPacer
	left  int64
}

// begin records a large message of a number of bytes.
func (p *linkPacer) begin(bytes int) *pacedMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &pacedMessage{p, int64(bytes)}
	p.messages[m] = true
	return m
}

// sending returns the bytes that are left of the large messages that are being sent.
func (p *linkPacer) sending() []int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := make([]int64, 0, len(p.messages))
	for m := range p.messages {
		left = append(left, m.left)
	}
	return left
}

// moved records a piece that had its turn.
func (m *pacedMessage) moved(bytes int) {
	m.pacer.mu.Lock()
	defer m.pacer.mu.Unlock()
	m.left = max(m.left-int64(bytes), 0)
}

// end records that the message is no longer being sent.
func (m *pacedMessage) end() {
	m.pacer.mu.Lock()
	defer m.pacer.mu.Unlock()
	delete(m.pacer.messages, m)
}

// wait waits until a piece may be sent. It reports false if ctx ends first.
func (p *linkPacer) wait(ctx context.Context, bytes int) bool {
	p.mu.Lock()
	pause := p.pacer.Grant(time.Since(p.start), bytes)
	p.mu.Unlock()
	return pause <= 0 || wait.For(ctx, pause)
}

// callerSocket is the part of a caller's connection that bounds what the kernel holds for it.
type callerSocket interface {
	SetWriteBuffer(bytes int) error
	SetLinger(seconds int) error
}

type callerSocketKey struct{}

// withCallerSocket adds the connection of a caller to the context of its requests.
func withCallerSocket(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerSocketKey{}, conn)
}

// boundSocket bounds what the kernel buffers for the caller of a large response: on its own it
// takes up to 4 MB for one that does not read. Until whole is called, the end of the connection
// discards these bytes; net/http closes it within a write that fails.
func (h *requestHandler) boundSocket(ctx context.Context) (whole func()) {
	socket, ok := ctx.Value(callerSocketKey{}).(callerSocket)
	if !ok {
		return func() {}
	}
	// If one of these fails, the kernel holds more or for longer, and the response is the same.
	_ = socket.SetWriteBuffer(int(h.large.window))
	_ = socket.SetLinger(0)
	return func() { _ = socket.SetLinger(-1) }
}

// finishWith releases the slot of the limiter and settles the crash evidence when the upstream has
// sent its response, however slow the caller is. took is the time until the window was full, which
// statistics use for the same reason.
func (h *requestHandler) finishWith(stream *upstreamconn.Stream, q *request, u *upstream, took time.Duration, release releaseFunc) {
	service, fingerprint := string(q.service.Name), q.fingerprint
	stream.Finished = func(err error, unread time.Duration) {
		release(took, capacityFree)
		switch {
		case err == nil:
			h.crashes.succeeded(fingerprint)
			return
		case errors.Is(err, upstreamconn.ErrAbandoned):
			h.crashes.ended(fingerprint)
			return
		case delivery.UpstreamFault(unread, h.large.readTimeout):
			u.recordFailure(time.Now())
			go h.crashes.verifyCrash(u, fingerprint, h.reach)
		default:
			h.crashes.ended(fingerprint)
		}
		h.metrics.failedSends.WithLabelValues(service, "broken_off").Inc()
		h.log.Info().Str("event", "send_failed").Str("request", q.params.RequestID).Str("upstream", string(u.id)).
			Str("reason", "broken_off").Bool("sent", true).Dur("unread_ms", unread).Err(err).Msg("")
	}
}

// deliver writes a large response in pieces. A response that is not delivered whole ends with its
// connection, by a panic with http.ErrAbortHandler, so that it does not look complete.
func (h *requestHandler) deliver(w http.ResponseWriter, q *request, resp *upstreamconn.Response) {
	ctx, bytes, length := q.http.Context(), int64(0), int64(len(resp.Body))
	if resp.Stream != nil {
		length = resp.Stream.Length
	}
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	whole := h.boundSocket(ctx)
	w.WriteHeader(resp.Status)
	var writeErr error
	caller := http.NewResponseController(w)
	write := func(piece []byte) error {
		if !h.large.pacer.wait(ctx, len(piece)) {
			writeErr = ctx.Err()
			return writeErr
		}
		if writeErr = caller.SetWriteDeadline(time.Now().Add(h.large.readTimeout)); writeErr != nil {
			return writeErr
		}
		if _, writeErr = w.Write(piece); writeErr == nil {
			writeErr = caller.Flush()
		}
		if writeErr == nil {
			bytes += int64(len(piece))
		}
		return writeErr
	}
	var err error
	if resp.Stream != nil {
		err = resp.Stream.Deliver(ctx, upstreamconn.Patience{Until: q.deadline, Silence: h.large.readTimeout}, write)
	} else {
		err = writePieces(resp.Body, write)
	}
	result := delivery.Judge(delivery.End{
		Broken: err != nil, WriteFailed: writeErr != nil, WriteTimeout: errors.Is(writeErr, os.ErrDeadlineExceeded), CallerGone: ctx.Err() != nil && err != nil,
	})
	if resp.Stream != nil {
		h.large.ended.WithLabelValues(q.serviceName(), string(result)).Inc()
	}
	if err == nil {
		whole()
		// A deadline in the past would end the next response of the connection.
		err = caller.SetWriteDeadline(time.Time{})
	}
	if err == nil {
		h.logResponse(q, resp.Status, nil)
		return
	}
	took := time.Since(q.arrived)
	h.metrics.recordRequest(q.serviceName(), string(result), took)
	h.log.Info().Str("event", "response_broken_off").Str("request", q.params.RequestID).Str("reason", string(result)).
		Str("service", q.serviceName()).Str("route", q.route.Name).Str("upstream", string(q.lastUpstream)).Str("proxy", q.proxy).
		Int64("bytes", bytes).Int64("length", length).Dur("took_ms", took).Err(err).Msg("")
	panic(http.ErrAbortHandler)
}

// writePieces writes a body that is in memory.
func writePieces(body []byte, write func(piece []byte) error) error {
	for len(body) > 0 {
		n := min(len(body), delivery.PieceBytes)
		if err := write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}
