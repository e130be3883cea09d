package zinniamast

import (
	"errors"
	"fmt"
)

// Failure is the way in which one attempt at an upstream ended without a complete answer.
type Failure string

// The ways an attempt can fail.
const (
	// FailureDial means that no connection was established, so nothing was sent.
	FailureDial Failure = "dial"
	// FailureRefused means that the upstream answered that it did not accept the request.
	FailureRefused Failure = "refused"
	// FailureTimeout means that the request was sent and no answer arrived in time.
	FailureTimeout Failure = "timeout"
	// FailureReset means that the connection broke after the first byte was sent.
	FailureReset Failure = "reset"
	// FailureCutShort means that an answer started and ended without its end mark.
	FailureCutShort Failure = "cut_short"
	// FailureWrongAttempt means that an answer carried the ID of another attempt.
	FailureWrongAttempt Failure = "crossed"
	// FailureError means that the upstream reported an error while running the request.
	FailureError Failure = "error"
	// FailureInvalid means that the upstream rejected the request as invalid.
	FailureInvalid Failure = "invalid"
	// FailureStopped means that this node stopped the attempt.
	FailureStopped Failure = "stopped"
	// FailurePath means that the upstream became unreachable from this node during the attempt
	// and has not crashed, as far as other nodes can tell.
	FailurePath Failure = "path"
	// FailureRelay means that the node that relayed the attempt was lost during it.
	FailureRelay Failure = "relay"
	// FailureNoPlace means that the node that was to relay the attempt had no unused place at the
	// upstream and sent nothing there.
	FailureNoPlace Failure = "no_place"
)

// FailureOutcome describes what can be concluded from a failure.
type FailureOutcome struct {
	// Ran says whether the request ran, as far as the failure shows.
	Ran Ran
	// BlamesReplica means that the failure counts against the replica's health.
	BlamesReplica bool
	// MayHaveCrashed means that this request may have crashed the replica.
	MayHaveCrashed bool
}

// FailureOutcomes is the only table that maps each failure to its outcome.
// Ran is NotRun only if no byte can have reached a replica that may act on it,
// or if the replica itself confirmed that it does not act on the request.
var FailureOutcomes = map[Failure]FailureOutcome{
	FailureDial:         {Ran: NotRun, BlamesReplica: true, MayHaveCrashed: false},
	FailureRefused:      {Ran: NotRun, BlamesReplica: false, MayHaveCrashed: false},
	FailureInvalid:      {Ran: NotRun, BlamesReplica: false, MayHaveCrashed: false},
	FailureTimeout:      {Ran: Unknown, BlamesReplica: true, MayHaveCrashed: false},
	FailureReset:        {Ran: Unknown, BlamesReplica: true, MayHaveCrashed: true},
	FailureCutShort:     {Ran: DidRun, BlamesReplica: true, MayHaveCrashed: true},
	FailureWrongAttempt: {Ran: Unknown, BlamesReplica: true, MayHaveCrashed: false},
	FailureError:        {Ran: DidRun, BlamesReplica: true, MayHaveCrashed: false},
	FailureStopped:      {Ran: Unknown, BlamesReplica: false, MayHaveCrashed: false},
	FailurePath:         {Ran: Unknown, BlamesReplica: false, MayHaveCrashed: false},
	FailureRelay:        {Ran: Unknown, BlamesReplica: false, MayHaveCrashed: false},
	FailureNoPlace:      {Ran: NotRun, BlamesReplica: false, MayHaveCrashed: false},
}

// ErrPathLost is the error of an answer that ended early because this node's path to the
// replica was lost, and not the replica.
var ErrPathLost = errors.New("the path to the replica was lost")

// ErrMalformed is the error of an answer that breaks HTTP in a way that net/http accepts.
var ErrMalformed = errors.New("malformed answer")

// ErrRelayLost is the error of an answer that ended early because the node that relayed it
// was lost.
var ErrRelayLost = errors.New("the relaying node was lost")

// UpstreamError is the error that clients of upstreams return.
type UpstreamError struct {
	// Failure is the way in which the attempt ended.
	Failure Failure
	// Upstream is the upstream's ID.
	Upstream string
	// Leaving means that the upstream refused the attempt because it is shutting down.
	Leaving bool
	// Cause is the underlying error, for the log.
	Cause error
}

// Error implements error.
func (e *UpstreamError) Error() string {
	return fmt.Sprintf("upstream %s: %s: %v", e.Upstream, e.Failure, e.Cause)
}

// Unwrap returns the underlying error.
func (e *UpstreamError) Unwrap() error { return e.Cause }

// WasUnsent reports whether no byte of the request was sent to the upstream.
func (e *UpstreamError) WasUnsent() bool {
	return e.Failure == FailureDial || e.Failure == FailureNoPlace
}

// Outcome returns what can be concluded from the failure.
func (e *UpstreamError) Outcome() FailureOutcome {
	outcome, ok := FailureOutcomes[e.Failure]
	if !ok {
		return FailureOutcome{
			Ran:           Unknown,
			BlamesReplica: true,
		}
	}
	return outcome
}

// AsUpstreamError returns the *UpstreamError in err's chain, or nil.
func AsUpstreamError(err error) *UpstreamError {
	var upstream *UpstreamError
	if errors.As(err, &upstream) {
		return upstream
	}
	return nil
}
