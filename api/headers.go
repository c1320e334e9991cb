package api

// Headers between callers and entry VMs.
const (
	// HeaderKey carries the key of a request to a keyed service.
	HeaderKey = "Dandelionhill-Key"
	// HeaderRequestID carries the UUID version 7 of a request that is not idempotent.
	HeaderRequestID = "Dandelionhill-Request-Id"
	// HeaderIdempotent is "true" on idempotent requests. GET and HEAD are idempotent without it.
	HeaderIdempotent = "Dandelionhill-Idempotent"
	// HeaderTimeout carries the time until the caller's deadline in milliseconds.
	HeaderTimeout = "Dandelionhill-Timeout-Ms"
	// HeaderCaller names the caller for fair queueing.
	HeaderCaller = "Dandelionhill-Caller"
	// HeaderOutcome carries the Outcome of every response.
	HeaderOutcome = "Dandelionhill-Outcome"
	// HeaderRefusal carries the Kind of a refusal.
	HeaderRefusal = "Dandelionhill-Refusal"
)

// Headers between entry VMs and upstreams.
const (
	// HeaderFence carries the fence of the sender.
	HeaderFence = "Dandelionhill-Fence"
	// HeaderRange carries the number of the key's range.
	HeaderRange = "Dandelionhill-Range"
	// HeaderDeadline carries the deadline of the request in milliseconds on the upstream's clock.
	HeaderDeadline = "Dandelionhill-Deadline-Ms"
	// HeaderNonce carries a value that the response must repeat.
	HeaderNonce = "Dandelionhill-Nonce"
	// HeaderShed is "true" on the response of an upstream that sheds a request before running it.
	HeaderShed = "Dandelionhill-Shed"
	// HeaderIncarnation carries the incarnation of the upstream: on requests, the
	// one whose clock the deadline refers to; on responses, the current one.
	HeaderIncarnation = "Dandelionhill-Incarnation"
)
