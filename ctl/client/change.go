package client

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/core/config"
)

// pollInterval is the time between two queries of an operation.
const pollInterval = 200 * time.Millisecond

// maxSends bounds how often one change is sent when its responses are lost. It is
// sent again only after a query of its operation ID returned "unknown".
const maxSends = 3

// DryRun returns what a change would do, without writing it.
func (c *Client) DryRun(ctx context.Context, ch config.Change) (*admin.ChangeResult, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode the change")
	}
	var lastErr error
	for _, base := range c.baseURLs {
		result := &admin.ChangeResult{}
		err := c.call(ctx, c.AttemptTimeout, http.MethodPost, base+admin.PathChanges+"?"+admin.QueryDryRun+"=true", body, result)
		if err == nil || !retryable(err) {
			return result, err
		}
		lastErr = err
	}
	return nil, unreachable(lastErr)
}

// Change sends a change. When the response is lost or leaves the effect unknown, it
// queries the operation ID. Only if the operation is unknown does it send the
// change again, with the same ID, so that the change takes effect once.
func (c *Client) Change(ctx context.Context, ch config.Change) (*admin.ChangeResult, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode the change")
	}
	for sends := 1; ; sends++ {
		result, inDoubt, err := c.send(ctx, body, sends-1)
		if err == nil {
			result.OperationID = ch.OperationID
		}
		if err == nil || !inDoubt {
			return result, err
		}
		status, queryErr := c.resolve(ctx, ch.OperationID)
		if queryErr != nil {
			return nil, errors.Wrapf(queryErr, "the response to operation %s was lost (%v) and its state could not be read: repeat with --operation-id %s",
				ch.OperationID, err, ch.OperationID)
		}
		if status.State != admin.StateUnknown {
			return &admin.ChangeResult{OperationStatus: *status}, nil
		}
		if sends == maxSends {
			return nil, errors.Wrapf(unreachable(err), "operation %s is not known after %d attempts and may still take effect: repeat with --operation-id %s",
				ch.OperationID, sends, ch.OperationID)
		}
	}
}

// send tries the addresses in turn, from the one at index start, until the change
// may have reached a server. A retry starts at another address, because the first
// server may accept connections and never respond.
// inDoubt is true when the change may have taken effect although err is not nil.
func (c *Client) send(ctx context.Context, body []byte, start int) (result *admin.ChangeResult, inDoubt bool, err error) {
	for i := range c.baseURLs {
		base := c.baseURLs[(start+i)%len(c.baseURLs)]
		result = &admin.ChangeResult{}
		err = c.call(ctx, c.AttemptTimeout, http.MethodPost, base+admin.PathChanges, body, result)
		if err == nil {
			return result, false, nil
		}
		var adminErr *admin.Error
		if errors.As(err, &adminErr) {
			if adminErr.Kind == admin.Stopping {
				continue // refused before any write
			}
			return nil, retryable(err), err
		}
		var callErr *callError
		if errors.As(err, &callErr) && callErr.sent {
			return nil, true, err
		}
	}
	return nil, false, unreachable(err)
}

// resolve queries an operation. After a retryable error or "unknown" it queries up
// to twice more, with pauses, because the write may be in progress.
func (c *Client) resolve(ctx context.Context, id string) (*admin.OperationStatus, error) {
	status, err := c.Operation(ctx, id)
	for retries := 0; retries < 2 && (err != nil && retryable(err) || err == nil && status.State == admin.StateUnknown); retries++ {
		if sleepErr := c.Sleep(ctx, pollInterval); sleepErr != nil {
			return nil, errors.Wrap(ErrUnreachable, sleepErr.Error())
		}
		status, err = c.Operation(ctx, id)
	}
	return status, err
}

// Wait queries an operation until it has reached a state or the context ends.
// It returns the last known state with the context's error.
func (c *Client) Wait(ctx context.Context, last admin.OperationStatus, state admin.OperationState) (admin.OperationStatus, error) {
	for !reached(last.State, state) {
		if err := c.Sleep(ctx, pollInterval); err != nil {
			return last, err
		}
		status, err := c.Operation(ctx, last.OperationID)
		switch {
		case err != nil && !retryable(err):
			return last, err
		case err == nil && status.State != admin.StateUnknown:
			last = *status
		case ctx.Err() != nil:
			return last, ctx.Err()
		}
	}
	return last, nil
}

func reached(have, want admin.OperationState) bool {
	order := map[admin.OperationState]int{admin.StatePending: 1, admin.StateAccepted: 2, admin.StateInForce: 3}
	return order[have] >= order[want]
}
