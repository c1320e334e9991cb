package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

const (
	// callTimeout bounds a call to the store, not counting the wait of a long poll.
	callTimeout = 1500 * time.Millisecond
	// feedTimeout is how long the store holds a long poll without changes.
	feedTimeout = 20 * time.Second
	// feedInterval is the pause between polls; it batches changes that come close together.
	feedInterval = 80 * time.Millisecond
	// upstreamFeedInterval is feedInterval for the registrations at VMs that do not grant:
	// they have 2 s to stop using an upstream that shuts down.
	upstreamFeedInterval = 600 * time.Millisecond
	// storeRetryDelay is the pause after a failed call to the store; for feeds it doubles with
	// each failure, up to maxStoreRetryDelay.
	storeRetryDelay    = 400 * time.Millisecond
	maxStoreRetryDelay = 1600 * time.Millisecond
	// storeIdleTimeout is how long an idle connection to the store is kept.
	storeIdleTimeout = 30 * time.Second
)

// newStoreClient returns an HTTP client whose connections detect an unresponsive store.
func newStoreClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: upstreamconn.Dial, DisableCompression: true, IdleConnTimeout: storeIdleTimeout,
		MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// source describes a table to follow.
type source struct {
	table string
	// interval returns the pause between a response and the next call.
	interval func() time.Duration
	// apply gets a page with all rows of the table if full, else with the changed ones.
	apply func(page *fleet.Page, full bool)
	// monitor, unless it is nil, ends long polls that fall behind those of other VMs.
	monitor *feedMonitor
	// relay, unless it is nil, passes the rows read on to other VMs, or provides the rows
	// that another VM has read.
	relay *relay
}

// followTable reads a table and then its changes until ctx ends. After a panic it reads the
// table again.
func (c *control) followTable(ctx context.Context, s source) {
	guard := guard{c.metrics, c.log}
	for ctx.Err() == nil {
		if !guard.run("feed", func() { c.readTable(ctx, s) }) {
			wait.For(ctx, storeRetryDelay)
		}
	}
}

// readTable is followTable up to the first panic.
func (c *control) readTable(ctx context.Context, s source) {
	version, known, failed := int64(0), false, false
	retryDelay := storeRetryDelay
	for ctx.Err() == nil {
		if s.relay != nil && known {
			if to, ok := s.relay.active(); ok {
				version = max(version, to)
				wait.For(ctx, relayCheckInterval)
				continue
			}
		}
		timeout := c.feedTimeout
		if failed {
			// The store may have been restored, which its next response shows.
			timeout = 0
		}
		page, err := c.readChanges(ctx, s, version, known, timeout)
		failed = err != nil && !errors.Is(err, fleet.ErrCompacted)
		switch {
		case err == nil:
			c.setStoreAvailable(true)
			retryDelay = storeRetryDelay
			if len(page.Rows) > 0 || !known {
				s.apply(page, !known)
			}
			version = max(version, page.Version)
			if s.monitor != nil {
				s.monitor.read(page.Rows, page.Version)
			}
			if s.relay != nil {
				s.relay.recordFeed(page.Rows, version, !known)
			}
			known = true
			wait.For(ctx, s.interval())
		case errors.Is(err, fleet.ErrCompacted):
			c.log.Info().Str("event", "feed_restarted").Str("table", s.table).Int64("after", version).Msg("")
			known = false
		case errors.Is(err, errFeedBehind):
			c.log.Warn().Str("event", "feed_behind").Str("table", s.table).Int64("after", version).Int64("newest", s.monitor.newestChange()).Msg("")
			// The connections may be as silent as the one of the poll.
			c.store.CloseIdleConnections()
			known = false
		case ctx.Err() != nil:
			return
		default:
			c.setStoreAvailable(false)
			if s.relay != nil {
				s.relay.markFeedFailed()
			}
			c.log.Warn().Str("event", "store_call_failed").Str("table", s.table).Err(err).Msg("")
			// Jitter keeps the VMs from calling together when the store is back.
			wait.For(ctx, time.Duration((0.75+0.5*rand.Float64())*float64(retryDelay)))
			retryDelay = min(2*retryDelay, maxStoreRetryDelay)
		}
	}
}

// readChanges reads all rows, or waits for those that changed after a version.
func (c *control) readChanges(ctx context.Context, s source, version int64, known bool, timeout time.Duration) (*fleet.Page, error) {
	if !known {
		return c.readAll(ctx, s.table)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+callTimeout)
	defer cancel()
	if s.monitor != nil {
		pollCtx, done := s.monitor.longPoll(ctx)
		defer done()
		ctx = pollCtx
	}
	page, err := c.store.WaitForChanges(ctx, s.table, version, timeout)
	if err != nil && errors.Is(context.Cause(ctx), errFeedBehind) {
		err = errFeedBehind
	}
	c.observeEra(page)
	c.metrics.recordStoreCall("feed", err)
	return page, err
}

func (c *control) readAll(ctx context.Context, table string) (*fleet.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := bootTime()
	page, err := c.store.ReadTable(ctx, table)
	if err == nil {
		c.observeEra(page)
		c.submitClock(sent, bootTime(), page)
	}
	c.metrics.recordStoreCall("read", err)
	return page, err
}
