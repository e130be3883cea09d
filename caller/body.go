package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"zinniamast"
)

// bodyTimeout bounds how long a caller may take to send the request body.
const bodyTimeout = 30 * time.Second

// ReadBody reads a whole request body of at most limit bytes. A read deadline
// applies, because a caller that sends a byte now and then would otherwise hold
// its connection and memory indefinitely. The deadline is cleared after the body,
// so that it does not interrupt a long answer.
func ReadBody(w http.ResponseWriter, q *http.Request, limit int64) ([]byte, *zinniamast.Refusal) {
	control := http.NewResponseController(w)
	// Not every ResponseWriter supports deadlines; those of the node's listeners do.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, zinniamast.Refuse(zinniamast.ReasonOversized, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "the body did not arrive whole")
	}
	return body, nil
}
