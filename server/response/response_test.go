package response_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/server/response"
)

// TestHandlerThatWritesNothing guards against an empty 200 for a request whose handler returns
// without an answer.
func TestHandlerThatWritesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		handle http.HandlerFunc
		status int // 0 if the connection ends
	}{
		"nothing":             {func(http.ResponseWriter, *http.Request) {}, 0},
		"only a header field": {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Type", "text/plain") }, 0},
		"a provisional status": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
		}, 0},
		"a status": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, http.StatusNoContent},
		"a body":   {func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) }, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(response.Required(c.handle))
			defer server.Close()
			resp, err := http.Post(server.URL, "text/plain", nil)
			if c.status == 0 {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, c.status, resp.StatusCode)
		})
	}
}
