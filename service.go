package zinniamast

import (
	"context"
	"net/http"
)

// Service is the client of one replica of a plain service.
type Service interface {
	// Call sends one attempt and reads the complete answer. Errors are of type *UpstreamError.
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// ServiceCall is one attempt at one replica of a plain service.
type ServiceCall struct {
	// Attempt identifies the attempt.
	Attempt string
	// Key is the idempotency key, forwarded to services that check keys.
	Key string
	// Fence is the fencing number for services that check it. If it is zero, none is sent.
	Fence uint64
	// Method is the HTTP method.
	Method string
	// Path is the path and query relative to the service's root.
	Path string
	// Header holds the caller's headers that are forwarded.
	Header http.Header
	// Body is the complete request body.
	Body []byte
}

// ServiceAnswer is a complete answer of a plain service.
type ServiceAnswer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Header holds the answer's headers.
	Header http.Header `json:"header"`
	// Body is the complete body.
	Body []byte `json:"body"`
	// EndsWithConnection means that only the end of its connection marked the end of the body, which
	// may be incomplete then.
	EndsWithConnection bool `json:"ends_with_connection,omitempty"`
}
