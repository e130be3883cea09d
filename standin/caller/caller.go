// Package caller is a stand-in for a caller of the platform; it builds requests as
// callers send them.
package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a caller.
type Request struct {
	// ID is the request ID.
	ID string
	// Address is host:port of the entry instance, and Host and Path select the route.
	Address string
	Host    string
	Path    string
	// Key is the API key of the organisation.
	Key string
	// Budget is the time that the caller waits.
	Budget time.Duration
	Body   string
	// Prompt lists the parts of the prompt; empty for none.
	Prompt string
	// Resumes is the ID of the request that brought the first event of a stream that goes on
	// after an event; empty for a new request.
	Resumes string
	After   string
}

// singleReadBody hides that a body can be read again. Otherwise net/http retries a
// request on a broken connection by itself, which would count as a retry by the
// system.
type singleReadBody struct{ io.Reader }

// HTTP returns the HTTP request to send.
func (r Request) HTTP() (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.Address+r.Path, singleReadBody{strings.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Body))
	request.Host = r.Host
	request.Header.Set("Zinniamast-Request-Id", r.ID)
	request.Header.Set("Zinniamast-Deadline-Ms", strconv.FormatInt(r.Budget.Milliseconds(), 10))
	request.Header.Set("Api-Key", r.Key)
	if r.Prompt != "" {
		request.Header.Set("Zinniamast-Prompt-Prefix", r.Prompt)
	}
	if r.Resumes != "" {
		request.Header.Set("Resumes", r.Resumes)
		request.Header.Set("Last-Event-Id", r.After)
	}
	return request, nil
}

// Stamp returns the stamp of the replica whose answer a response is; empty if it has none.
func Stamp(response *http.Response) string {
	return response.Header.Get("Zinniamast-Server-Stamp")
}
