package checker

import (
	"fmt"
	"time"

	"zinniamast"
)

// maxViolations bounds how many violations a verdict describes.
const maxViolations = 10

// Verdict is the result of a reconciliation.
type Verdict struct {
	// Sent counts requests; Accepted counts those whose outcome is not "not run".
	Sent     int
	Accepted int
	// Whole counts complete answers, late ones included; Late counts those after their deadline.
	Whole int
	Late  int
	// NotRun, Ran and Unknown count valid failures by their run state.
	NotRun  int
	Ran     int
	Unknown int
	// Lost counts requests without a valid outcome by their deadline plus the margin.
	Lost int
	// Doubled counts requests that may not be repeated and ran more than once.
	Doubled int
	// NotWhole counts answers with missing, duplicated or mixed tokens, and surplus outcomes.
	NotWhole int
	// WrongCaller counts answers that belong to another request.
	WrongCaller int
	// FalseNotRun counts requests that ran although their outcome is "not run".
	FalseNotRun int
	// FalseRan counts requests that did not run although their outcome says that they
	// ran or is a complete answer.
	FalseRan int
	// StrayRuns counts runs of requests that no caller sent.
	StrayRuns int
	// RefusedByReason counts failures by reason.
	RefusedByReason map[string]int
	// RecomputedTokens sums the recomputed tokens that the nodes report.
	RecomputedTokens int
	// Violations describes the first violations.
	Violations []string
}

func newVerdict() Verdict {
	return Verdict{RefusedByReason: map[string]int{}}
}

// OK reports whether there are no violations. A complete answer that is late
// is not a violation.
func (v *Verdict) OK() bool {
	return v.ViolationCount() == 0
}

// ViolationCount returns the number of violations, described or not.
func (v *Verdict) ViolationCount() int {
	return v.Lost + v.Doubled + v.NotWhole + v.WrongCaller + v.FalseNotRun + v.FalseRan + v.StrayRuns
}

func (v *Verdict) addViolation(format string, args ...any) {
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// checkRequest counts one request by its outcome and its runs.
func (v *Verdict) checkRequest(e *entry, ran int, owners map[string][]string, margin time.Duration) {
	v.Sent++
	r := &e.request
	if ran > 1 && !r.Repeatable {
		v.Doubled++
		v.addViolation("%s (%s, key %q): may not be repeated and ran %d times", r.ID, r.Kind, r.Key, ran)
	}
	if len(e.outcomes) == 0 {
		v.Lost++
		v.addViolation("%s (%s): its caller got no outcome", r.ID, r.Kind)
		return
	}
	if len(e.outcomes) > 1 {
		v.NotWhole++
		v.addViolation("%s (%s): its caller got %d outcomes", r.ID, r.Kind, len(e.outcomes))
	}
	outcome := &e.outcomes[0]
	v.RecomputedTokens += outcome.Recomputed
	if outcome.Whole {
		v.checkAnswer(r, outcome, ran, owners)
		return
	}
	v.checkFailure(r, outcome, ran, margin)
}

// checkAnswer checks an answer that was received up to its end marker.
func (v *Verdict) checkAnswer(r *Request, outcome *Outcome, ran int, owners map[string][]string) {
	if other, ok := otherOwner(r, outcome.Answer, owners); ok {
		v.WrongCaller++
		v.addViolation("%s (%s): got the answer of %s", r.ID, r.Kind, other)
		return
	}
	if fault := Compare(r.Expected, outcome.Answer); fault != "" {
		v.NotWhole++
		v.addViolation("%s (%s): %s", r.ID, r.Kind, fault)
		return
	}
	if ran == 0 {
		v.FalseRan++
		v.addViolation("%s (%s): was answered whole although nothing ran", r.ID, r.Kind)
		return
	}
	v.Whole++
	if outcome.At.After(r.Deadline) {
		v.Late++
	}
}

// checkFailure checks the time and the run state of a failure.
func (v *Verdict) checkFailure(r *Request, outcome *Outcome, ran int, margin time.Duration) {
	v.RefusedByReason[outcome.Reason]++
	if outcome.At.After(r.Deadline.Add(margin)) {
		v.Lost++
		v.addViolation("%s (%s): heard of its failure only %v after its deadline", r.ID, r.Kind, outcome.At.Sub(r.Deadline))
		return
	}
	switch outcome.Ran {
	case zinniamast.NotRun:
		// A repeatable request takes no claim, so a node does not know of a try
		// on another node that has since died. For all others it must find out
		// from the claim.
		if ran > 0 && !(r.Repeatable && outcome.Uncertain) {
			v.FalseNotRun++
			v.addViolation("%s (%s, reason %s): was told \"not run\" and ran %d times", r.ID, r.Kind, outcome.Reason, ran)
			return
		}
		v.NotRun++
	case zinniamast.DidRun:
		if ran == 0 {
			v.FalseRan++
			v.addViolation("%s (%s, reason %s): was told that it ran and did not", r.ID, r.Kind, outcome.Reason)
			return
		}
		v.Ran++
	case zinniamast.Unknown:
		v.Unknown++
	default:
		v.Lost++
		v.addViolation("%s (%s, reason %s): its failure does not say whether it ran", r.ID, r.Kind, outcome.Reason)
	}
}

// countAccepted derives Accepted from the other counts.
func (v *Verdict) countAccepted() {
	v.Accepted = v.Sent - v.NotRun
}

// otherOwner returns the request that an answer belongs to if it is not r.
func otherOwner(r *Request, answer string, owners map[string][]string) (string, bool) {
	ids, ok := owners[answer]
	if !ok || answer == r.Expected {
		return "", false
	}
	return ids[0], true
}
