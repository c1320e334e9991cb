package gateway

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/rs/zerolog"

	"dandelionhill.dev/server/response"
)

// guard runs the handling of one message, change or request. A panic in it is logged and
// counted, and ends only this handling.
type guard struct {
	metrics *Metrics
	log     zerolog.Logger
}

// run calls f and reports whether it returned. task names it in the log and in the counter.
func (g guard) run(task string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			g.record(task, "", cause)
		}
	}()
	f()
	return true
}

func (g guard) record(task, request string, cause any) {
	g.metrics.panics.WithLabelValues(task).Inc()
	g.log.Error().Str("event", "panic").Str("task", task).Str("request", request).
		Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).Msg("")
}

// serve calls handle for a request of a caller. After a panic it responds that the outcome
// is unknown, unless a response has begun.
func (g guard) serve(w http.ResponseWriter, request string, handle func(w http.ResponseWriter)) {
	tracked := &response.Tracker{ResponseWriter: w}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause == http.ErrAbortHandler {
			panic(cause) // a response was broken off on purpose
		}
		g.record("request", request, cause)
		if tracked.Begun() {
			// Only a broken connection tells the caller that the response is not complete.
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusBadGateway)
	}()
	handle(tracked)
}
