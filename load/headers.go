package load

import (
	"encoding/json"
	"time"

	"zinniamast/checker"
	"zinniamast/request"
)

// deadlineHeader formats the time remaining until a deadline for the deadline
// header, at least one millisecond.
func deadlineHeader(deadline time.Time) string {
	return max(time.Until(deadline), time.Millisecond).Round(time.Millisecond).String()
}

// priorityClass returns the priority class that callers request for a kind of traffic.
func priorityClass(kind checker.Kind) string {
	switch kind {
	case checker.KindTriage:
		return string(request.ClassUrgent)
	case checker.KindSummary:
		return string(request.ClassBulk)
	default:
		return string(request.ClassNormal)
	}
}

// recomputedTokens reads recomputed_tokens, which the node adds to the usage
// counts; it returns 0 if there is none.
func recomputedTokens(usage string) int {
	var counts struct {
		Recomputed int `json:"recomputed_tokens"`
	}
	if json.Unmarshal([]byte(usage), &counts) != nil {
		return 0
	}
	return counts.Recomputed
}
