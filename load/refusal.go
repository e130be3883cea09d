package load

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"zinniamast"
)

// refusal is a node's JSON error as decoded by a caller.
type refusal struct {
	Message      string         `json:"message"`
	Reason       string         `json:"reason"`
	Ran          zinniamast.Ran `json:"ran"`
	RetryAfterMS int64          `json:"retry_after_ms"`
}

// retryAfter returns the delay after which the caller may retry; zero means
// that it must not.
func (r *refusal) retryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

// parseRefusal decodes {"error": {...}}. It reports false for any other body,
// which is not a refusal of a node.
func parseRefusal(raw []byte) (*refusal, bool) {
	var body struct {
		Error *refusal `json:"error"`
	}
	if json.Unmarshal(raw, &body) != nil || body.Error == nil || body.Error.Reason == "" {
		return nil, false
	}
	return body.Error, true
}

// readRetryAfter uses the Retry-After header, which has whole seconds, if the body
// has no delay in milliseconds.
func (r *refusal) readRetryAfter(header http.Header) {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err == nil && r.RetryAfterMS == 0 {
		r.RetryAfterMS = int64(seconds) * time.Second.Milliseconds()
	}
}
