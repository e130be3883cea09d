// Package caller is a stand-in for a caller of the platform: it builds requests
// as callers send them.
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
	// ID names it.
	ID string
	// Address is host:port of the entry instance, and Host and Path select the route.
	Address string
	Host    string
	Path    string
	// Key is the organisation's.
	Key string
	// Budget is how long the caller waits.
	Budget time.Duration
	Body   string
}

// once hides that a body could be read again: net/http would repeat a request
// on a broken connection by itself, which would count as the system's repetition.
type once struct{ io.Reader }

// HTTP returns the request as it is sent.
func (r Request) HTTP() (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.Address+r.Path, once{strings.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Body))
	request.Host = r.Host
	request.Header.Set("Zinniamast-Request-Id", r.ID)
	request.Header.Set("Zinniamast-Deadline-Ms", strconv.FormatInt(r.Budget.Milliseconds(), 10))
	request.Header.Set("Api-Key", r.Key)
	return request, nil
}
