// Package forward forwards callers' HTTP requests to replicas and returns the
// answers unchanged. An answer is either plain or a stream of events, which
// another replica may resume.
package forward

import (
	"net/http"
	"time"

	"zinniamast"
	"zinniamast/prefix"
)

// Protocol reads and writes the headers that a deployment defines.
type Protocol interface {
	// ReadRequest reads the request metadata from a caller's headers.
	ReadRequest(header http.Header) RequestMetadata
	// WriteRequest rewrites a caller's headers for a replica.
	WriteRequest(header http.Header, delivery Delivery)
	// ReadResponse reads the metadata of a replica's answer.
	ReadResponse(response *http.Response) Reply
	// RetryAfter formats the value of the Retry-After header.
	RetryAfter(wait time.Duration) string
}

// RequestMetadata is the metadata that a caller sends with its request.
type RequestMetadata struct {
	// ID identifies the caller's attempt; empty if the caller sent none.
	ID string
	// Key is the organisation's API key; empty if the caller sent none.
	Key string
	// Timeout is the caller's timeout; zero if the caller sent none.
	Timeout time.Duration
	// PromptTokens is the length of the prompt and MaxTokens the maximum length of
	// the answer. Counted reports whether the caller sent them.
	PromptTokens   int
	MaxTokens      int
	HasTokenCounts bool
	// Parts are the parts of the prompt in order, each identified by its ID.
	Parts []prefix.Part
	// LastEventID is the ID of the last event of the stream that the caller has received;
	// empty for a new stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream;
	// empty for a new stream, or if the caller does not name it.
	Resumes string
}

// Delivery is the metadata that a replica receives with a request.
type Delivery struct {
	// Instance is the ID of the replica that the request is addressed to.
	Instance string
	// Organisation is the caller's organisation; empty on anonymous routes.
	Organisation string
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Priority is the rank of the request at the replica; 0 is the most urgent.
	Priority int
	// FetchFrom is the host:port of the replica from which this replica fetches the
	// parts of the prompt missing in its KV cache; empty if it fetches nothing.
	FetchFrom string
	// LastEventID is the ID of the last event that the caller has received; empty leaves
	// the header unchanged.
	LastEventID string
}

// Reply is the metadata of a replica's answer.
type Reply struct {
	// ID is the ID of the answered request; empty if the replica sent none.
	ID string
	// Signed reports whether the answer has the header that replicas add to their
	// own answers.
	Signed bool
	// NotRun reports the replica's promise that it has not run the request and will
	// not run it.
	NotRun bool
	// WrongInstance reports whether another instance answered at the replica's address.
	WrongInstance bool
	// Feedback is what the answer says of the replica itself.
	Feedback zinniamast.Feedback
}
