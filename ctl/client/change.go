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

// askEvery is the time between two questions about an operation.
const askEvery = 200 * time.Millisecond

// maxSends bounds how often one change is sent when its answers are lost. Each
// repeat follows the answer "unknown" to a question for the operation ID.
const maxSends = 3

// DryRun asks what a change would do without writing it.
func (c *Client) DryRun(ctx context.Context, ch config.Change) (*admin.ChangeResult, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode the change")
	}
	var lastErr error
	for _, base := range c.bases {
		result := &admin.ChangeResult{}
		err := c.call(ctx, c.AttemptTimeout, http.MethodPost, base+admin.PathChanges+"?"+admin.QueryDryRun+"=true", body, result)
		if err == nil || !retryable(err) {
			return result, err
		}
		lastErr = err
	}
	return nil, unreachable(lastErr)
}

// Change sends a change. When the answer is lost, or says that the effect is
// unknown, it asks for the operation ID. Only when the operation is unknown
// does it send the change again, with the same ID, so that it has one effect.
func (c *Client) Change(ctx context.Context, ch config.Change) (*admin.ChangeResult, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode the change")
	}
	for sends := 1; ; sends++ {
		result, doubtful, err := c.send(ctx, body, sends-1)
		if err == nil {
			result.OperationID = ch.OperationID
		}
		if err == nil || !doubtful {
			return result, err
		}
		status, askErr := c.resolve(ctx, ch.OperationID)
		if askErr != nil {
			return nil, errors.Wrapf(askErr, "the answer to operation %s was lost (%v) and its state could not be read: repeat with --operation-id %s",
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

// send tries the addresses in turn, from one at index start, until the change
// may have reached a server. A repeat starts at another address, because the
// first one may accept connections and answer nothing.
// doubtful is true when it may have taken effect although err is not nil.
func (c *Client) send(ctx context.Context, body []byte, start int) (result *admin.ChangeResult, doubtful bool, err error) {
	for i := range c.bases {
		base := c.bases[(start+i)%len(c.bases)]
		result = &admin.ChangeResult{}
		err = c.call(ctx, c.AttemptTimeout, http.MethodPost, base+admin.PathChanges, body, result)
		if err == nil {
			return result, false, nil
		}
		var answered *admin.Error
		if errors.As(err, &answered) {
			if answered.Kind == admin.Stopping {
				continue // refused before any write
			}
			return nil, retryable(err), err
		}
		var failed *callError
		if errors.As(err, &failed) && failed.sent {
			return nil, true, err
		}
	}
	return nil, false, unreachable(err)
}

// resolve asks for an operation until an address answers. An answer "unknown"
// is asked for once more after a pause, because the write may be in progress.
func (c *Client) resolve(ctx context.Context, id string) (*admin.OperationStatus, error) {
	status, err := c.Operation(ctx, id)
	for again := 0; again < 2 && (err != nil && retryable(err) || err == nil && status.State == admin.StateUnknown); again++ {
		if sleepErr := c.Sleep(ctx, askEvery); sleepErr != nil {
			return nil, errors.Wrap(ErrUnreachable, sleepErr.Error())
		}
		status, err = c.Operation(ctx, id)
	}
	return status, err
}

// Wait asks for an operation until it has reached a state or the context ends.
// It returns the last known state with the context's error.
func (c *Client) Wait(ctx context.Context, last admin.OperationStatus, state admin.OperationState) (admin.OperationStatus, error) {
	for !reached(last.State, state) {
		if err := c.Sleep(ctx, askEvery); err != nil {
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
