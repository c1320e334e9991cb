// Package response keeps HTTP handlers that write nothing from answering with a success.
package response

import "net/http"

// Tracker records whether a handler has begun a response.
type Tracker struct {
	http.ResponseWriter
	begun bool
}

// Begun reports whether the handler has written a final status or a part of the body.
func (t *Tracker) Begun() bool { return t.begun }

// WriteHeader implements http.ResponseWriter.
func (t *Tracker) WriteHeader(status int) {
	// Other statuses below 200 are provisional: another one follows.
	t.begun = t.begun || status >= http.StatusOK || status == http.StatusSwitchingProtocols
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *Tracker) Write(p []byte) (int, error) {
	t.begun = true
	return t.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (t *Tracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// Required returns a handler that aborts the response if h returns without having begun one:
// net/http would send an empty 200.
func Required(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracker := &Tracker{ResponseWriter: w}
		h.ServeHTTP(tracker, r)
		if !tracker.begun {
			panic(http.ErrAbortHandler)
		}
	})
}
