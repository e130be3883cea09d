package zinniamast

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran says whether a refused or failed request ran, as far as that is known.
type Ran string

// The possible states of a request that received no answer.
const (
	// NotRun means that the request did not run. It is used only if no byte can have
	// reached a replica that may act on it.
	NotRun Ran = "not_run"
	// DidRun means that the request ran but its answer was not delivered.
	DidRun Ran = "ran"
	// Unknown means that this node cannot determine whether the request ran.
	Unknown Ran = "unknown"
)

// Reason is the reason why a request was refused or failed. The same text is
// used in JSON, in metric labels and in logs.
type Reason string

// The reasons that are returned to callers.
const (
	ReasonUnauthorised     Reason = "unauthorised"
	ReasonMalformed        Reason = "malformed"
	ReasonOversized        Reason = "oversized"
	ReasonNotFound         Reason = "not_found"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonPastDeadline     Reason = "past_deadline"
	ReasonDeadlineUnmet    Reason = "deadline_unmet"
	ReasonNoUpstream       Reason = "no_upstream"
	ReasonNoCapacity       Reason = "no_capacity"
	ReasonOverShare        Reason = "over_share"
	ReasonMemoryFull       Reason = "memory_full"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonUpstreamFailed   Reason = "upstream_failed"
	ReasonAnswerCutShort   Reason = "answer_cut_short"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonKeyConflict      Reason = "key_conflict"
	ReasonKeyRequired      Reason = "key_required"
	ReasonInProgress       Reason = "in_progress"
	ReasonOutcomeUnknown   Reason = "outcome_unknown"
	ReasonQuarantined      Reason = "quarantined"
	ReasonStarting         Reason = "starting"
	ReasonStopping         Reason = "stopping"
	ReasonMoved            Reason = "moved"
	ReasonRequestLost      Reason = "request_lost"
	ReasonCancelled        Reason = "cancelled"
	// ReasonUnresumable means that a stream cannot go on where it ended, and that the caller
	// can only start it anew.
	ReasonUnresumable Reason = "unresumable"
)

// reasonStatus maps each reason to its HTTP status.
var reasonStatus = map[Reason]int{
	ReasonUnauthorised:     http.StatusUnauthorized,
	ReasonMalformed:        http.StatusBadRequest,
	ReasonOversized:        http.StatusRequestEntityTooLarge,
	ReasonNotFound:         http.StatusNotFound,
	ReasonUnknownModel:     http.StatusNotFound,
	ReasonUnknownService:   http.StatusNotFound,
	ReasonPastDeadline:     http.StatusGatewayTimeout,
	ReasonDeadlineUnmet:    http.StatusServiceUnavailable,
	ReasonNoUpstream:       http.StatusServiceUnavailable,
	ReasonNoCapacity:       http.StatusServiceUnavailable,
	ReasonOverShare:        http.StatusTooManyRequests,
	ReasonMemoryFull:       http.StatusServiceUnavailable,
	ReasonRetryBudget:      http.StatusServiceUnavailable,
	ReasonUpstreamFailed:   http.StatusBadGateway,
	ReasonAnswerCutShort:   http.StatusBadGateway,
	ReasonStoreUnavailable: http.StatusServiceUnavailable,
	ReasonKeyConflict:      http.StatusUnprocessableEntity,
	ReasonKeyRequired:      http.StatusBadRequest,
	ReasonInProgress:       http.StatusConflict,
	ReasonOutcomeUnknown:   http.StatusBadGateway,
	ReasonQuarantined:      http.StatusUnprocessableEntity,
	ReasonStarting:         http.StatusServiceUnavailable,
	ReasonStopping:         http.StatusServiceUnavailable,
	ReasonMoved:            http.StatusServiceUnavailable,
	ReasonRequestLost:      http.StatusGone,
	ReasonCancelled:        499,
	ReasonUnresumable:      http.StatusServiceUnavailable,
}

// Reasons returns all reasons, so that metrics can initialise a counter for each.
func Reasons() []Reason {
	reasons := make([]Reason, 0, len(reasonStatus))
	for reason := range reasonStatus {
		reasons = append(reasons, reason)
	}
	return reasons
}

// Refusal is the error type that every layer returns towards the caller.
type Refusal struct {
	// Reason is the machine-readable reason.
	Reason Reason
	// Ran says whether the request ran.
	Ran Ran
	// Message is a human-readable sentence.
	Message string
	// RetryAfter is the time to wait before a retry. Zero means that a retry cannot help.
	RetryAfter time.Duration
}

// Refuse returns a refusal for a request that did not run.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Ran:     NotRun,
		Message: fmt.Sprintf(format, args...),
	}
}

// WithRetryAfter sets RetryAfter, which should be a realistic estimate, and returns the refusal.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// WithRan sets whether the request ran and returns the refusal.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Ran, r.Message)
}

// Status returns the HTTP status that carries the refusal.
func (r *Refusal) Status() int {
	if status, ok := reasonStatus[r.Reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// AsRefusal returns the *Refusal in err's chain. For any other error it returns one
// with ReasonUpstreamFailed and Unknown.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{
		Reason:  ReasonUpstreamFailed,
		Ran:     Unknown,
		Message: err.Error(),
	}
}
