package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"zinniamast"
)

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorContent `json:"error"`
}

type errorContent struct {
	Message      string            `json:"message"`
	Type         string            `json:"type"`
	Code         zinniamast.Reason `json:"code"`
	Reason       zinniamast.Reason `json:"reason"`
	Ran          zinniamast.Ran    `json:"ran"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
}

// errorType is the value of the type field, which chat-completions clients expect
// in an error.
const errorType = "zinniamast_refusal"

func newErrorBody(refusal *zinniamast.Refusal) errorBody {
	return errorBody{
		Error: errorContent{
			Message:      refusal.Message,
			Type:         errorType,
			Code:         refusal.Reason,
			Reason:       refusal.Reason,
			Ran:          refusal.Ran,
			RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		},
	}
}

// WriteRefusal answers a caller with a refusal. Retry-After is set if a retry can
// succeed. X-Should-Retry says whether to retry in the form that common client
// libraries read; without it they retry every status of 500 and above.
func WriteRefusal(w http.ResponseWriter, refusal *zinniamast.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("X-Should-Retry", strconv.FormatBool(refusal.RetryAfter > 0))
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
		header.Set("Retry-After-Ms", strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(refusal.Status())
	// The error is ignored because the caller may have disconnected.
	_ = json.NewEncoder(w).Encode(newErrorBody(refusal))
}

// refuse answers a caller with a refusal and records it.
func (s *Server) refuse(w http.ResponseWriter, refusal *zinniamast.Refusal) {
	s.recordRefusal(refusal)
	WriteRefusal(w, refusal)
}

// recordRefusal counts and logs a refusal.
func (s *Server) recordRefusal(refusal *zinniamast.Refusal) {
	s.config.Metrics.countRefusal(refusal)
	s.config.Logger.Debug("request refused",
		"reason", refusal.Reason,
		"ran", refusal.Ran,
		"message", refusal.Message)
}
