package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/freshness"
	"dandelionhill.dev/platform/fleet"
)

// lostFeedStore answers reads of a table, and no long poll.
type lostFeedStore struct {
	reads   atomic.Int64
	version atomic.Int64
}

func (s *lostFeedStore) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "feed") {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	s.reads.Add(1)
	version := s.version.Load()
	body, err := json.Marshal(fleet.Page{Rows: []fleet.Row{{Key: "row", Version: version}}, Version: version})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}

// bubbleClock returns a clock that follows the time of a synctest bubble.
func bubbleClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// followLostFeed lets a VM follow a table in a store that answers no long poll, from version 5.
// It returns the store, the VM's state and the monitor of the table.
func followLostFeed(t *testing.T, table string) (*lostFeedStore, *control, *feedMonitor) {
	store := &lostFeedStore{}
	store.version.Store(5)
	c := newControl(fleet.NewStore("store", &http.Client{Transport: store}), NewMetrics(), zerolog.Nop())
	monitor := c.feeds()[table]
	monitor.clock = bubbleClock()
	go c.followTable(t.Context(), source{
		table: table, interval: func() time.Duration { return feedInterval },
		apply: func(*fleet.Page, bool) {}, monitor: monitor,
	})
	return store, c, monitor
}

// TestLongPollWithoutResponse guards against a VM that keeps an older configuration because
// the response to its long poll was lost: it reads the table again once another VM reports a
// newer row, and only then.
func TestLongPollWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _, monitor := followLostFeed(t, fleet.TableOperator)
		time.Sleep(time.Second)
		require.EqualValues(t, 1, store.reads.Load())
		monitor.reported(5)
		time.Sleep(time.Second)
		require.EqualValues(t, 1, store.reads.Load(), "no other VM knows more")
		store.version.Store(9)
		monitor.reported(9)
		time.Sleep(freshness.DefaultConfig().MaxLag + feedInterval)
		require.EqualValues(t, 2, store.reads.Load())
		require.Equal(t, int64(9), monitor.newestChange())
		time.Sleep(time.Second)
		require.EqualValues(t, 2, store.reads.Load(), "the VM has caught up")
	})
}

// TestSilentFeedOfOneVM guards against a configuration that is not in force on a VM to which
// the store does not return changes, while other VMs have it.
func TestSilentFeedOfOneVM(t *testing.T) {
	d := newDeployment(t)
	address, silence := d.silentFeedStore()
	a := d.startVM("vm-a")
	d.eventually(func() bool { return a.links.currentGranter() != nil }, "vm-a is the granter")
	b := d.startVMAt("vm-b", address)
	d.eventually(func() bool { return b.control.view().config != nil && b.control.view().rank == 1 }, "vm-b follows vm-a")
	silence.Store(true)
	// The poll in flight returns this change; the next one is silent.
	d.configure(7, "keyed")
	d.eventually(func() bool { return b.control.view().config.Version == 7 }, "the last change before the silence")
	d.configure(8, "keyed")
	d.eventually(func() bool { return b.control.view().config.Version == 8 }, "vm-b learns of the change from vm-a")
}

// TestStaleTableShows guards against a VM that lags behind the store without a sign of it in its
// log and metrics.
func TestStaleTableShows(t *testing.T) {
	now := 100 * time.Second
	var log bytes.Buffer
	m := NewMetrics()
	c := newControl(fleet.NewStore("", newStoreClient()), m, zerolog.New(&log))
	for _, feed := range c.feeds() {
		feed.clock = func() time.Duration { return now }
	}
	age := func() string {
		response := httptest.NewRecorder()
		m.handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for line := range strings.Lines(response.Body.String()) {
			if value, ok := strings.CutPrefix(line, `dandelionhill_table_age_seconds{table="op"} `); ok {
				return strings.TrimSpace(value)
			}
		}
		return ""
	}
	c.logStaleTables()
	require.Empty(t, log.String(), "nothing has been read")
	require.Equal(t, "NaN", age())
	c.operatorFeed.read(nil, 5)
	now += staleAge + time.Second
	c.logStaleTables()
	require.Contains(t, log.String(), `"event":"table_stale","table":"op","stale":true`)
	require.Equal(t, "4", age())
	log.Reset()
	c.logStaleTables()
	require.Empty(t, log.String(), "nothing has changed")
	c.operatorFeed.vouched(1, 5)
	c.logStaleTables()
	require.Contains(t, log.String(), `"stale":false`)
}
