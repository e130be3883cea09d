package zinniamast

import (
	"context"
	"net/http"
)

// Replica is the client of one upstream that receives requests unmodified.
type Replica interface {
	// Send sends a request at most once and returns the response with its body
	// unread. Errors are of type *UpstreamError. Closing the response body abandons
	// the attempt.
	Send(ctx context.Context, request *http.Request) (*http.Response, error)
	// Close closes idle connections.
	Close()
}
