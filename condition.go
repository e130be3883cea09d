package zinniamast

import "time"

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
	// Leaving reports whether the replica said that it leaves and takes no new work.
	Leaving bool
	// RestFor is how long the replica wants no request from this node; zero if it does not
	// say so.
	RestFor time.Duration
	// Unreadable is a header whose value was ignored; empty if there is none.
	Unreadable string
}

// Availability is which replicas of a service a node may send a request to now, as far as what
// they say of themselves decides it.
type Availability struct {
	// Blocked are the replicas that may not get a request.
	Blocked []string
	// Spare are replicas that may get one only if no other replica can. Full are those of them
	// that have just rejected a request of this node for want of room.
	Spare []string
	Full  []string
	// FreesPlace reports whether a blocked replica can get a request as soon as one of this
	// node's requests there ends.
	FreesPlace bool
	// RetryAfter is the time until a replica may get a request again, if all of them want none
	// from this node; zero if that is not so.
	RetryAfter time.Duration
	// Due is a replica that should get the next request; empty if there is none.
	Due string
}
