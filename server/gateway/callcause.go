package gateway

import "context"

// callCause is why this VM calls the store, the label "cause" of store_calls_total. The calls of
// feeds have the causes of package freshness.
type callCause string

const (
	// causeStart is the first read of the lease.
	causeStart callCause = "start"
	// causeGranterLost is the read of the lease after the connection to the granter has ended,
	// causeNoGranter each further one until a VM grants.
	causeGranterLost callCause = "granter_lost"
	causeNoGranter   callCause = "no_granter"
	// causeTakeover stands for the read before a takeover and its writes.
	causeTakeover callCause = "takeover"
	// causeRenewal is a write of the lease alone, causeOwners one with rows of owners or
	// quarantines, causeRelease that of a granter that stops.
	causeRenewal callCause = "renewal"
	causeOwners  callCause = "owners"
	causeRelease callCause = "release"
	// causeRenewalCheck is a read of the lease while the granter cannot renew it, causeCaretaker
	// that of a caretaker.
	causeRenewalCheck callCause = "renewal_check"
	causeCaretaker    callCause = "caretaker"
	// causeOther is that of a call without a cause.
	causeOther callCause = "other"
)

// callCauseKey is the key of the cause in a context. The cause only labels the calls that are made
// on the way through the layers in between, which do not depend on it.
type callCauseKey struct{}

// withCallCause returns a context whose calls of the store have a cause.
func withCallCause(ctx context.Context, cause callCause) context.Context {
	return context.WithValue(ctx, callCauseKey{}, cause)
}

// callCauseOf returns the cause of the calls of a context.
func callCauseOf(ctx context.Context) callCause {
	if cause, ok := ctx.Value(callCauseKey{}).(callCause); ok {
		return cause
	}
	return causeOther
}

// readCause returns the cause of a read of the lease, given what was read last and whether the
// connection to a granter has just ended.
func readCause(known leaseRow, connectionEnded bool) callCause {
	switch {
	case known.askedAt == 0:
		return causeStart
	case connectionEnded:
		return causeGranterLost
	default:
		return causeNoGranter
	}
}
