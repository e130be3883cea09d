// Package handoff lets accepted requests outlive the node that accepted them: a
// leaving node hands them over to peers, a directory records which node holds a
// request, and callers can continue to read its answer from any node.
package handoff

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast/blackboard"
	"zinniamast/caller"
	"zinniamast/request"
)

// Transport calls methods of peers.
type Transport interface {
	// Call calls a method of the peer at an address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Runner runs requests.
type Runner interface {
	// Resume runs a request that another node began, at the same upstream if possible.
	Resume(ctx context.Context, q *request.Request, upstream string)
	// Release ends the attempt of a request that a peer has taken over.
	Release(q *request.Request)
}

// Config holds the dependencies and settings of an exchange.
type Config struct {
	Board     *blackboard.Board
	Transport Transport
	Runner    Runner
	// Node and FailureDomain are the name and the failure domain of this instance.
	Node          string
	FailureDomain string
	// Address is the host:port at which peers reach this node.
	Address string
	// Stopping reports whether this node no longer takes over requests.
	Stopping func() bool
	// MemoryCap bounds the bytes of the requests at this node, held ones included;
	// zero means no bound.
	MemoryCap int64
	// Context is cancelled when the node must stop running requests.
	Context    context.Context
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

const (
	// callTimeout bounds calls between nodes that carry no requests.
	callTimeout = 300 * time.Millisecond
	// holdTimeout bounds a Hold call, which carries requests.
	holdTimeout = 3 * time.Second
	// startLease is how long a node waits for the Start call of a request that it
	// holds. The giver makes the call right after the acknowledgement of Hold; if
	// it does not arrive, the giver has died, or has handed the request to another
	// peer, which the directory then names.
	startLease = 3 * time.Second
	// maxLease bounds the lease that a giver may request.
	maxLease = time.Minute
	// batchBytes and batchRequests bound the requests in one Hold call.
	batchBytes    = 4 << 20
	batchRequests = 64
)

// Exchange hands requests over to peers, takes them over from peers and locates
// them. The methods that peers call are on the receiver that Receiver returns.
type Exchange struct {
	config    Config
	directory *directory
	metrics   *metrics

	mu     sync.Mutex
	held   map[string]*heldRequest
	relays map[string]*relay
}

// heldRequest is a copy of a peer's request that waits for the Start call.
type heldRequest struct {
	snapshot request.Snapshot
	timer    *time.Timer
	// expires is when the lease ends; the timer may have fired before a renewal.
	expires  time.Time
	starting bool
}

var _ caller.Locator = (*Exchange)(nil)

// New returns an exchange.
func New(config Config) *Exchange {
	return &Exchange{
		config:    config,
		directory: newDirectory(),
		metrics:   newMetrics(config.Registerer),
		held:      map[string]*heldRequest{},
		relays:    map[string]*relay{},
	}
}

// Receiver returns the RPC receiver for peers, to be registered under ServiceName.
func (x *Exchange) Receiver() *Receiver {
	return &Receiver{
		exchange: x,
	}
}

// ServiceName is the name under which the receiver is registered.
const ServiceName = "Handoff"

// Receiver holds the methods that peers call over net/rpc.
type Receiver struct {
	exchange *Exchange
}

// call calls a method of a peer within callTimeout.
func (x *Exchange) call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return x.config.Transport.Call(ctx, address, ServiceName+"."+method, args, reply)
}
