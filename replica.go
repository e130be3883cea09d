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

// Detour is a way to a replica through another node that may have an unused place there.
type Detour struct {
	// Upstream is the replica's ID, and Node that of the other node.
	Upstream string
	Node     string
}

type repeatableKey struct{}

// WithRepeatable marks the context of a send whose request may be sent again although it may
// have run. Such a send may be ended early if its answer cannot arrive.
func WithRepeatable(ctx context.Context) context.Context {
	return context.WithValue(ctx, repeatableKey{}, true)
}

// IsRepeatable reports whether a context was marked by WithRepeatable.
func IsRepeatable(ctx context.Context) bool { return ctx.Value(repeatableKey{}) != nil }
