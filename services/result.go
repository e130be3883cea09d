package services

import (
	"net/http"
	"strconv"

	"zinniamast"
)

// result is a whole answer for the caller. It is replayed if it was stored for an
// earlier request with the same key.
type result struct {
	answer   zinniamast.ServiceAnswer
	replayed bool
}

// write sends the answer. A write error is ignored, since a caller that has
// disconnected cannot be notified.
func (r *result) write(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range forwardedHeaders(r.answer.Header) {
		header[name] = values
	}
	if r.answer.EndsWithConnection {
		// The caller's answer ends with its connection, too: a length would say that it is complete.
		header.Set("Transfer-Encoding", "identity")
	} else {
		header.Set("Content-Length", strconv.Itoa(len(r.answer.Body)))
	}
	if r.replayed {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(r.answer.Status)
	_, _ = w.Write(r.answer.Body)
}
