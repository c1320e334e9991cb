package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
)

const (
	// callTimeout bounds a call of the store that answers at once.
	callTimeout = 1500 * time.Millisecond
	// feedWait is how long the store holds a feed without changes.
	feedWait = 20 * time.Second
	// feedPause collects changes that come close together into one call.
	feedPause = 80 * time.Millisecond
	// entriesPause is feedPause for the entries of upstreams at VMs that do not
	// grant: they learn new owners from the granter, and have 2 s to leave an
	// upstream that leaves.
	entriesPause = 600 * time.Millisecond
	// storeRetry is the pause after a failed call of the store.
	storeRetry = 400 * time.Millisecond
	// storeIdle is how long a connection to the store is kept without a call.
	storeIdle = 30 * time.Second
)

// newStoreClient returns an HTTP client whose connections notice a silent store.
func newStoreClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: upstreamconn.Dial, DisableCompression: true, IdleConnTimeout: storeIdle,
		MaxIdleConnsPerHost: 4,
	}}
}

// follow reads a table and then its changes until ctx ends. apply gets all rows
// (full) or the changed ones; pause is the time from one answer to the next call.
func (c *control) follow(ctx context.Context, table string, pause func() time.Duration, apply func(rows []fleet.Row, full bool)) {
	version, known := int64(0), false
	for ctx.Err() == nil {
		var page *fleet.Page
		var err error
		if !known {
			page, err = c.readAll(ctx, table)
		} else {
			feedCtx, cancel := context.WithTimeout(ctx, feedWait+callTimeout)
			page, err = c.store.Feed(feedCtx, table, version, feedWait)
			cancel()
			c.metrics.storeCall("feed", err)
		}
		switch {
		case err == nil:
			c.storeAnswered(true)
			if len(page.Rows) > 0 || !known {
				apply(page.Rows, !known)
			}
			version, known = max(version, page.Version), true
			sleep(ctx, pause())
		case errors.Is(err, fleet.ErrHistoryGone):
			c.log.Info().Str("event", "feed_restarted").Str("table", table).Int64("after", version).Msg("")
			known = false
		case ctx.Err() != nil:
			return
		default:
			c.storeAnswered(false)
			c.log.Warn().Str("event", "store_call_failed").Str("table", table).Err(err).Msg("")
			sleep(ctx, storeRetry)
		}
	}
}

func (c *control) readAll(ctx context.Context, table string) (*fleet.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := bootTime()
	page, err := c.store.All(ctx, table)
	if err == nil {
		c.readClock(sent, bootTime(), page)
	}
	c.metrics.storeCall("read", err)
	return page, err
}
