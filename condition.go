package zinniamast

// Condition is what a replica says of itself in all its answers while it holds.
type Condition struct {
	// RateLimit is the number of requests per second that the replica takes from all nodes
	// together; zero if it names no limit.
	RateLimit float64
	// IsBrittle reports whether the replica fails if it has to reject more than MaxRejections
	// requests in a second, of all nodes together, for want of room.
	IsBrittle     bool
	MaxRejections int
}

// Feedback is what a node learns of a replica from one answer.
type Feedback struct {
	// Condition is what the replica says of itself.
	Condition Condition
	// Rejected reports whether the replica had no room for the request.
	Rejected bool
	// Unreadable is a header whose value was ignored; empty if there is none.
	Unreadable string
}
