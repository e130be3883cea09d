package zinniamast

import (
	"context"
	"net/http"
)

// Replica is one upstream that takes requests as they are.
type Replica interface {
	// Send sends a request at most once and returns the answer's head; errors
	// are *UpstreamError. Closing the answer's body gives the attempt up.
	Send(ctx context.Context, request *http.Request) (*http.Response, error)
	// Close closes idle connections.
	Close()
}
