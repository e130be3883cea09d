// Package blackboard holds the shared tables that controllers and the request
// path read and write: this node's view of the configuration, members, upstreams
// and requests.
//
// Lock order: Configuration, Members, Upstreams, one Upstream, Requests, one
// request. A goroutine that holds a lock acquires only locks that come later in
// this list. No lock is held during a call to another process.
package blackboard

// Board is the set of a node's shared tables.
type Board struct {
	// Configuration is the fleet-wide configuration in force on this node.
	Configuration *Configuration
	// Members are the entry instances known to this node.
	Members *Members
	// Upstreams are the replicas known to this node.
	Upstreams *Upstreams
	// Requests are the requests for which this node is responsible.
	Requests *Requests
}

// New returns a board with empty tables.
func New() *Board {
	return &Board{
		Configuration: &Configuration{},
		Members:       NewMembers(),
		Upstreams:     NewUpstreams(),
		Requests:      NewRequests(),
	}
}
