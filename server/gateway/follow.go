package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

const (
	// callTimeout bounds a call of the store that answers at once.
	callTimeout = 1500 * time.Millisecond
	// feedWait is how long the store holds a feed without changes.
	feedWait = 20 * time.Second
	// feedPause collects changes that come close together into one call.
	feedPause = 80 * time.Millisecond
	// entriesPause is feedPause for the entries of upstreams at VMs that do not
	// grant: they have 2 s to leave an upstream that leaves.
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

// source follows one table.
type source struct {
	table string
	// pause is the time from one answer to the next call.
	pause func() time.Duration
	// apply gets all rows (full) or the changed ones.
	apply func(rows []fleet.Row, full bool)
	// relay, unless it is nil, passes what is read on to other VMs, or brings what
	// another VM has read.
	relay *relay
}

// follow reads a table and then its changes until ctx ends.
func (c *control) follow(ctx context.Context, s source) {
	version, known := int64(0), false
	for ctx.Err() == nil {
		if s.relay != nil && known {
			if to, ok := s.relay.covered(); ok {
				version = max(version, to)
				wait.For(ctx, relayCheck)
				continue
			}
		}
		page, err := c.next(ctx, s.table, version, known)
		switch {
		case err == nil:
			c.storeAnswered(true)
			if len(page.Rows) > 0 || !known {
				s.apply(page.Rows, !known)
			}
			version = max(version, page.Version)
			if s.relay != nil {
				s.relay.read(page.Rows, version, !known)
			}
			known = true
			wait.For(ctx, s.pause())
		case errors.Is(err, fleet.ErrCompacted):
			c.log.Info().Str("event", "feed_restarted").Str("table", s.table).Int64("after", version).Msg("")
			known = false
		case ctx.Err() != nil:
			return
		default:
			c.storeAnswered(false)
			if s.relay != nil {
				s.relay.lost()
			}
			c.log.Warn().Str("event", "store_call_failed").Str("table", s.table).Err(err).Msg("")
			wait.For(ctx, storeRetry)
		}
	}
}

// next reads all rows, or waits for those that have changed after a version.
func (c *control) next(ctx context.Context, table string, version int64, known bool) (*fleet.Page, error) {
	if !known {
		return c.readAll(ctx, table)
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+callTimeout)
	defer cancel()
	page, err := c.store.WaitForChanges(ctx, table, version, feedWait)
	c.metrics.storeCall("feed", err)
	return page, err
}

func (c *control) readAll(ctx context.Context, table string) (*fleet.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := bootTime()
	page, err := c.store.ReadTable(ctx, table)
	if err == nil {
		c.readClock(sent, bootTime(), page)
	}
	c.metrics.storeCall("read", err)
	return page, err
}
