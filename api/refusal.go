package api

import (
	"net/http"
	"time"
)

// Outcome says what is known about the execution of a request.
type Outcome string

const (
	// Answered means that an upstream gave a complete response.
	Answered Outcome = "answered"
	// NotRun means that no upstream started the request.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
)

// Kind classifies a refusal.
type Kind string

// The kinds of refusal. docs/protocol.md describes each for callers.
const (
	BadRequest         Kind = "bad_request"
	UnknownService     Kind = "unknown_service"
	TooLarge           Kind = "too_large"
	NoHolder           Kind = "no_holder"
	NotHolder          Kind = "not_holder"
	NoOwner            Kind = "no_owner"
	QueueFull          Kind = "queue_full"
	DeadlineUnmeetable Kind = "deadline"
	RateLimited        Kind = "rate_limited"
	Shed               Kind = "shed"
	Cold               Kind = "cold"
	Draining           Kind = "draining"
	StaleConfiguration Kind = "stale_configuration"
	Quarantined        Kind = "quarantined"
	DuplicateRunning   Kind = "duplicate_running"
	InvalidID          Kind = "invalid_id"
	ForgottenID        Kind = "forgotten_id"
	IDCapacity         Kind = "id_capacity"
	UpstreamFailed     Kind = "upstream_failed"
	UpstreamTimeout    Kind = "upstream_timeout"
	Stopping           Kind = "stopping"
)

// kindProperties holds what all refusals of one kind have in common.
type kindProperties struct {
	status  int
	outcome Outcome
	remedy  string
}

var kinds = map[Kind]kindProperties{
	BadRequest:         {http.StatusBadRequest, NotRun, "correct the request as the message says"},
	UnknownService:     {http.StatusNotFound, NotRun, "use a service name that dandelionctl status lists"},
	TooLarge:           {http.StatusRequestEntityTooLarge, NotRun, "send a smaller body"},
	NoHolder:           {http.StatusServiceUnavailable, NotRun, "send the request again after the stated delay"},
	NotHolder:          {http.StatusServiceUnavailable, NotRun, "send the request again after the stated delay"},
	NoOwner:            {http.StatusServiceUnavailable, NotRun, "send the request again after the stated delay"},
	QueueFull:          {http.StatusTooManyRequests, NotRun, "send the request again after the stated delay"},
	DeadlineUnmeetable: {http.StatusServiceUnavailable, NotRun, "allow more time or send the request again later"},
	RateLimited:        {http.StatusTooManyRequests, NotRun, "send fewer requests from this caller"},
	Shed:               {http.StatusServiceUnavailable, NotRun, "send the request again after the stated delay"},
	Cold:               {http.StatusServiceUnavailable, NotRun, "send the request again after the stated delay"},
	Draining:           {http.StatusServiceUnavailable, NotRun, "send the request again after the stated delay"},
	StaleConfiguration: {http.StatusServiceUnavailable, NotRun, "send the request again; the balancer will choose another VM"},
	Quarantined:        {http.StatusUnprocessableEntity, NotRun, "do not send this request again: it crashed upstreams"},
	DuplicateRunning:   {http.StatusConflict, Unknown, "ask again later with the same request ID"},
	InvalidID:          {http.StatusBadRequest, NotRun, "make a new UUID version 7 from a correct clock"},
	ForgottenID:        {http.StatusConflict, Unknown, "find out at the service whether the request ran before making a new request ID"},
	IDCapacity:         {http.StatusServiceUnavailable, NotRun, "send the request again after the stated delay"},
	UpstreamFailed:     {http.StatusBadGateway, Unknown, "find out at the service whether the request ran before making a new request ID"},
	UpstreamTimeout:    {http.StatusGatewayTimeout, Unknown, "find out at the service whether the request ran before making a new request ID"},
	Stopping:           {http.StatusServiceUnavailable, NotRun, "send the request again; the balancer will choose another VM"},
}

// Kinds returns every kind of refusal.
func Kinds() []Kind {
	all := make([]Kind, 0, len(kinds))
	for kind := range kinds {
		all = append(all, kind)
	}
	return all
}

// Refusal is the typed error for a request that no upstream answered.
type Refusal struct {
	Kind       Kind          `json:"kind"`
	Message    string        `json:"message"`
	Remedy     string        `json:"remedy"`
	Outcome    Outcome       `json:"outcome"`
	RetryAfter time.Duration `json:"-"`
}

// Refuse returns a refusal with the outcome and the remedy of its kind.
func Refuse(kind Kind, message string) *Refusal {
	info := kinds[kind]
	return &Refusal{Kind: kind, Message: message, Remedy: info.remedy, Outcome: info.outcome}
}

// WithRetryAfter sets the delay before a retry and returns r.
func (r *Refusal) WithRetryAfter(delay time.Duration) *Refusal {
	r.RetryAfter = delay
	return r
}

// WithOutcome sets the outcome and returns r.
func (r *Refusal) WithOutcome(outcome Outcome) *Refusal {
	r.Outcome = outcome
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Kind) + ": " + r.Message + "; remedy: " + r.Remedy
}

// Status returns the HTTP status of the refusal's kind.
func (r *Refusal) Status() int {
	if info, ok := kinds[r.Kind]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}
