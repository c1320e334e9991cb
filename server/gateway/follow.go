package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/platform/fleet"
	"dandelionhill.dev/platform/httpconn"
	"dandelionhill.dev/server/upstreamconn"
	"dandelionhill.dev/server/wait"
)

const (
	// callTimeout bounds a call to the store that asks for no wait.
	callTimeout = 1500 * time.Millisecond
	// feedInterval is the pause between polls; it batches changes that come close together.
	feedInterval = 80 * time.Millisecond
	// upstreamFeedInterval is feedInterval for the registrations at VMs that do not grant:
	// they have 2 s to stop using an upstream that shuts down.
	upstreamFeedInterval = 600 * time.Millisecond
	// storeRetryDelay is the pause after a feed has panicked; half of it is the pause between two
	// attempts of a granter to write its lease.
	storeRetryDelay = 400 * time.Millisecond
	// storeIdleTimeout is how long an idle connection to the store is kept.
	storeIdleTimeout = 30 * time.Second
)

// newStoreClient returns an HTTP client whose connections detect an unresponsive store.
func newStoreClient() *http.Client { return newStoreClientOn(upstreamconn.Dial) }

func newStoreClientOn(dial httpconn.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: httpconn.Dialer(dial), DisableCompression: true, IdleConnTimeout: storeIdleTimeout,
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
	// monitor says how long a poll waits, and ends one that waits in vain.
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
	version, known := int64(0), false
	// compacted means that the store has dropped its history since the last response, which came
	// in an era of it.
	compacted, era := false, int64(0)
	// failed means that the store has failed the last call. Only a call of this VM shows that it answers
	// again: what the granter relays does not.
	failed := false
	for ctx.Err() == nil {
		if s.relay != nil && known && !c.watching.Load() {
			if to, ok := s.relay.active(); ok {
				version = max(version, to)
				if !failed {
					wait.For(ctx, relayCheckInterval)
					continue
				}
			}
			if delay := s.monitor.callDelay(); delay > 0 {
				wait.For(ctx, min(delay, relayCheckInterval))
				continue
			}
		}
		page, err := c.readChanges(ctx, s, version, known)
		switch {
		case err == nil:
			c.setStoreAvailable(true)
			if len(page.Rows) > 0 || !known {
				s.apply(page, !known)
			}
			version = max(version, page.Version)
			s.monitor.read(page.Rows, page.Version)
			if s.relay != nil {
				if compacted && page.Era == era {
					s.relay.recordReread(page.Rows, version)
				} else {
					s.relay.recordFeed(page.Rows, version, !known)
				}
			}
			known, compacted, era, failed = true, false, page.Era, false
			wait.For(ctx, s.interval())
		case errors.Is(err, fleet.ErrCompacted):
			c.log.Info().Str("event", "feed_restarted").Str("table", s.table).Int64("after", version).Msg("")
			known, compacted = false, true
		case errors.Is(err, errFeedBehind):
			c.log.Warn().Str("event", "feed_behind").Str("table", s.table).Int64("after", version).Int64("newest", s.monitor.newestChange()).Msg("")
			known, compacted = false, false
		case errors.Is(err, errFeedUnwatched):
			c.log.Info().Str("event", "feed_unwatched").Str("table", s.table).Int64("after", version).Msg("")
		case errors.Is(err, errCallOvertaken):
			c.log.Warn().Str("event", "feed_overtaken").Str("table", s.table).Int64("after", version).Msg("")
		case errors.Is(err, errPollLost):
			c.log.Warn().Str("event", "feed_lost").Str("table", s.table).Int64("after", version).Msg("")
		case ctx.Err() != nil:
			return
		default:
			failed = true
			c.setStoreAvailable(false)
			if s.relay != nil {
				s.relay.markFeedFailed()
			}
			c.log.Warn().Str("event", "store_call_failed").Str("table", s.table).Err(err).Msg("")
			s.monitor.pause(ctx, errors.Is(err, fleet.ErrRefused), c.view().vms)
		}
	}
}

// errPollLost means that a poll got no response after its wait. The call after it shows whether
// the store answers.
var errPollLost = errors.New("the store has not answered a poll after its wait: call it again")

// readChanges reads all rows, or waits for those that changed after a version.
func (c *control) readChanges(ctx context.Context, s source, version int64, known bool) (*fleet.Page, error) {
	if !known {
		readCtx, done := s.monitor.readWhole(ctx)
		defer done()
		page, err := c.readAll(readCtx, s.table)
		if err != nil {
			err = c.callLost(s, readCtx, err)
		}
		return page, err
	}
	pollCtx, waits, done := s.monitor.poll(ctx, c.watching.Load(), c.view().vms)
	defer done()
	sent := bootTime()
	page, err := c.store.WaitForChanges(pollCtx, s.table, version, waits)
	c.observeEra(page)
	c.storeCallEnded(pollCtx, "feed", sent, err)
	if err == nil || errors.Is(err, fleet.ErrCompacted) {
		return page, err
	}
	err = c.callLost(s, pollCtx, err)
	if errors.Is(context.Cause(pollCtx), context.DeadlineExceeded) && waits > 0 {
		err = errPollLost
	}
	return nil, err
}

// callLost records that a call of a feed has failed with an error, and returns why.
func (c *control) callLost(s source, callCtx context.Context, err error) error {
	cause := context.Cause(callCtx)
	switch {
	case errors.Is(cause, errFeedUnwatched):
		return cause
	case errors.Is(cause, errFeedBehind):
		// The connections may be as silent as the one of the call.
		c.store.CloseIdleConnections()
		return cause
	case errors.Is(cause, errCallOvertaken):
		c.store.CloseIdleConnections()
		s.monitor.givenUp()
		return cause
	}
	s.monitor.lost()
	return err
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
	c.storeCallEnded(ctx, "read", sent, err)
	return page, err
}

// storeCallEnded counts a call of the store, and tells the feeds of a response. After a call
// without one the next call gets a new connection: the idle ones may be silent too.
func (c *control) storeCallEnded(ctx context.Context, call string, sent time.Duration, err error) {
	c.metrics.recordStoreCall(call, callCauseOf(ctx), err)
	if err == nil || errors.Is(err, fleet.ErrConflict) {
		for _, feed := range c.feeds() {
			feed.storeAnswered(sent)
		}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		c.store.CloseIdleConnections()
	}
}
