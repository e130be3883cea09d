package config

import (
	"cmp"
	"reflect"
	"time"
)

// Upper bounds of policy fields.
const (
	maxDeadline    = 24 * time.Hour
	maxTokensLimit = 1 << 20
	maxBodyLimit   = 64 << 20
	maxAttempts    = 100
	maxRetryBudget = 1
	maxShare       = 1e6
	maxQuarantine  = 100
)

// checkPolicy checks that the fields that are set are within their ranges.
func (p *problems) checkPolicy(path string, policy *Policy) {
	duration := func(field string, value *Duration) {
		checkRange(p, path+"."+field, value, Duration(time.Millisecond), Duration(maxDeadline), "1ms to 24h")
	}
	duration("first_token_target", policy.FirstTokenTarget)
	duration("between_tokens_target", policy.BetweenTokensTarget)
	duration("deadline", policy.Deadline)
	checkRange(p, path+".max_tokens", policy.MaxTokens, 1, maxTokensLimit, "1 to 1048576")
	checkRange(p, path+".max_body", policy.MaxBody, 1, maxBodyLimit, "1B to 64MiB")
	checkRange(p, path+".max_attempts", policy.MaxAttempts, 1, maxAttempts, "1 to 100")
	checkRange(p, path+".retry_budget", policy.RetryBudget, 0, maxRetryBudget, "0 to 1")
	checkRange(p, path+".share", policy.Share, 0.001, maxShare, "0.001 to 1000000")
	checkRange(p, path+".quarantine_after", policy.QuarantineAfter, 1, maxQuarantine, "1 to 100")
	checkRange(p, path+".reclaimable_fraction", policy.ReclaimableFraction, 0, 1, "0 to 1")
}

// checkRange checks one field against its range, if it is set.
func checkRange[T cmp.Ordered](p *problems, path string, value *T, low, high T, allowed string) {
	if value != nil && (*value < low || *value > high) {
		p.add(path, "%v is out of range; write %s", formatValue(*value), allowed)
	}
}

// formatValue returns a value as it is written in the configuration file.
func formatValue(value any) any {
	if duration, ok := value.(Duration); ok {
		return time.Duration(duration).String()
	}
	return value
}

// sameFields reports whether two policies set the same fields, regardless of their
// values.
func sameFields(a, b *Policy) bool {
	first, second := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	for i := range first.NumField() {
		if first.Field(i).IsNil() != second.Field(i).IsNil() {
			return false
		}
	}
	return true
}
