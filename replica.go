package zinniamast

import (
	"context"
	"net/http"
	"time"
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

// Connection describes the connection that a send used.
type Connection struct {
	// Requests counts the earlier requests on the connection, and Idle is the time since the last
	// one ended; both are zero for a new connection.
	Requests int
	Idle     time.Duration
}

type connectionKey struct{}

// WithConnection returns a context whose sends are described in c.
func WithConnection(ctx context.Context, c *Connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// RecordConnection describes a send's connection in the Connection of its context, if that has one.
func RecordConnection(ctx context.Context, used Connection) {
	if c, ok := ctx.Value(connectionKey{}).(*Connection); ok {
		*c = used
	}
}
