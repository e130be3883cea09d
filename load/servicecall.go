package load

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"zinniamast/caller"
	"zinniamast/checker"
)

// maxAnswerBytes bounds how much of a service's answer is read.
const maxAnswerBytes = 1 << 20

// serviceCaller sends lookups and bookings by plain HTTP.
type serviceCaller struct {
	client  *http.Client
	base    string
	service string
}

func newServiceCaller(c Config, transport http.RoundTripper) *serviceCaller {
	return &serviceCaller{
		client: &http.Client{
			Transport: transport,
		},
		base:    c.Targets[0],
		service: c.Service,
	}
}

// call makes one call and reads the answer to its end.
func (s *serviceCaller) call(ctx context.Context, t *task) attemptResult {
	request, err := s.request(ctx, t)
	if err != nil {
		return attemptResult{}
	}
	request.Header.Set("Authorization", "Bearer "+t.apiKey)
	request.Header.Set(caller.HeaderKey, t.Key)
	request.Header.Set(caller.HeaderDeadline, deadlineHeader(t.Deadline))
	if t.Kind == checker.KindBooking && !t.isSent {
		markFirstSending(request)
	}
	t.isSent = true
	response, err := s.client.Do(request)
	if err != nil {
		return attemptResult{}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return attemptResult{}
	}
	return attemptResult{
		whole:  response.StatusCode < http.StatusBadRequest,
		answer: parseServiceAnswer(raw),
	}
}

// markFirstSending sets the header by which the caller guarantees that nothing
// has run under the request's key.
//
// If a connection closes, net/http retries a request with an Idempotency-Key by
// itself, with all its headers. The retry would carry the guarantee for a key that
// may have run. Without GetBody, net/http cannot retry.
func markFirstSending(request *http.Request) {
	request.Header.Set(caller.HeaderFirst, "true")
	request.GetBody = nil
}

func (s *serviceCaller) request(ctx context.Context, t *task) (*http.Request, error) {
	root := s.base + "/services/" + s.service
	if t.Kind == checker.KindLookup {
		return http.NewRequestWithContext(ctx, http.MethodGet, root+lookupPath(t), nil)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, root+bookingPath, bytes.NewReader(bookingBody(t)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
