package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/server/control"
	"dandelionhill.dev/server/response"
)

// TestResponseThatCannotBeEncoded guards against an empty 200 in place of an error.
func TestResponseThatCannotBeEncoded(t *testing.T) {
	w := httptest.NewRecorder()
	writeJSON(w, make(chan int))
	require.Equal(t, http.StatusInternalServerError, w.Code)
}

// TestWatchOfACallerThatLeft guards against "no newer revision" for a watch that was cut short.
func TestWatchOfACallerThatLeft(t *testing.T) {
	a := New(Config{Control: control.New(control.Config{Clock: func() time.Duration { return 0 }})})
	ctx, leave := context.WithCancel(t.Context())
	leave()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/?since=0", nil)
	w := httptest.NewRecorder()
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { response.Required(http.HandlerFunc(a.watch)).ServeHTTP(w, r) })
	require.Empty(t, w.Body.String())
}
