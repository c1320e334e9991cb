package fleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/platform/fleet"
)

// TestFeedSkipsNoChange guards against a response to a call for changes that states a version
// without a change up to it, because the change came when the wait was over: no later call returns
// it.
func TestFeedSkipsNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		s.Put("servers", "a", nil)
		response := httptest.NewRecorder()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/api/rows-feed?Table=servers&after=1&WaitMs=1000", nil))
		}()
		synctest.Wait()
		s.mu.Lock()
		time.Sleep(time.Second) // the wait ends, but the store cannot respond yet
		s.apply(fleet.Tx{Put: []fleet.Put{{RowID: fleet.RowID{Table: "servers", Key: "b"}}}})
		s.mu.Unlock()
		<-ended
		var page fleet.Page
		require.NoError(t, json.Unmarshal(response.Body.Bytes(), &page))
		require.EqualValues(t, 2, page.Version)
		require.Len(t, page.Rows, 1)
	})
}
