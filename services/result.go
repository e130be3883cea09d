package services

import (
	"net/http"
	"strconv"

	"zinniamast"
)

// result is a whole answer for the caller.
type result struct {
	answer   zinniamast.ServiceAnswer
	replayed bool
}

// write sends the answer. A caller that has gone cannot be told.
func (r *result) write(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range forwardedHeaders(r.answer.Header) {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(r.answer.Body)))
	if r.replayed {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(r.answer.Status)
	_, _ = w.Write(r.answer.Body)
}
