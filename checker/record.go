package checker

import (
	"time"

	"zinniamast"
)

// Kind names a kind of traffic.
type Kind string

// The kinds of traffic.
const (
	// KindSummary is a long prompt with a long streamed answer.
	KindSummary Kind = "summary"
	// KindQuestion is a short prompt with a streamed answer.
	KindQuestion Kind = "question"
	// KindTriage is a short prompt with a one-line answer that is not streamed.
	KindTriage Kind = "triage"
	// KindLookup is an idempotent service call.
	KindLookup Kind = "lookup"
	// KindBooking is a service call that may not be repeated.
	KindBooking Kind = "booking"
)

// Kinds lists every kind of traffic.
func Kinds() []Kind {
	return []Kind{KindSummary, KindQuestion, KindTriage, KindLookup, KindBooking}
}

// Request is one request of a caller, which may take several tries.
type Request struct {
	// ID is unique among the checker's requests.
	ID string
	// Organisation is the organisation of the caller.
	Organisation string
	// Key is the idempotency key; empty if the caller sets none.
	Key string
	// Kind is the kind of traffic.
	Kind Kind
	// Expected is the complete answer.
	Expected string
	// Repeatable means that the request may safely run more than once.
	Repeatable bool
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
}

// Outcome is the final outcome that a caller received.
type Outcome struct {
	// Whole means that an answer was received up to its end marker.
	Whole bool
	// Answer is the text received, complete or not.
	Answer string
	// Ran is the run state given by the refusal; it is ignored if Whole is true.
	Ran zinniamast.Ran
	// Reason is the reason of the refusal or the transport error.
	Reason string
	// Uncertain means that an earlier try by the same caller may have run, for
	// example because it ended without a reply from the node. A later "not run"
	// then covers the later try only.
	Uncertain bool
	// Recomputed is the number of recomputed tokens that the node reports.
	Recomputed int
	// At is when the outcome was received.
	At time.Time
}

// Runs holds the number of actual runs of each request, by request ID.
type Runs map[string]int
