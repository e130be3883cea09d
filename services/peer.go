package services

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/config"
	"zinniamast/peer"
)

// PeerName is the net/rpc service name under which a Receiver is registered with
// the peer server.
const PeerName = "Services"

// Receiver serves forwarded calls over net/rpc.
type Receiver struct {
	// Handler runs the forwarded calls.
	Handler *Handler
	// Context ends when the node must not run calls any longer.
	Context context.Context
}

// Run implements the net/rpc method that PeerForwarder calls.
func (r *Receiver) Run(call ForwardedCall, answer *ForwardedAnswer) error {
	*answer = r.Handler.RunForwarded(r.Context, call)
	return nil
}

// PeerForwarder implements Forwarder over the pool of peer connections.
type PeerForwarder struct {
	// Pool holds the connections to peers.
	Pool *peer.Pool
	// Members holds the addresses of the nodes.
	Members *blackboard.Members
}

// Forward implements Forwarder.
func (p *PeerForwarder) Forward(ctx context.Context, node string, call ForwardedCall) (ForwardedAnswer, error) {
	var answer ForwardedAnswer
	member, ok := p.Members.Get(node)
	if !ok || member.Address == "" {
		return answer, ErrNotForwarded
	}
	err := p.Pool.Call(ctx, member.Address, PeerName+".Run", call, &answer)
	if peer.DidNotRun(err) {
		return answer, ErrNotForwarded
	}
	return answer, err
}

// rebuildCall returns the call that another node has parsed and checked.
func (h *Handler) rebuildCall(f ForwardedCall) (*call, *zinniamast.Refusal) {
	current := h.config.Board.Configuration.Config()
	service := current.Service(f.Service)
	if service == nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonUnknownService, "there is no service %q", f.Service).
			WithRan(zinniamast.Unknown)
	}
	return &call{
		id:           newID(),
		organisation: f.Organisation,
		service:      service,
		policy: current.Resolve(config.Match{
			Organisation:  f.Organisation,
			Service:       f.Service,
			FailureDomain: h.config.FailureDomain,
			Class:         string(f.Class),
		}),
		class:       f.Class,
		key:         f.Key,
		method:      f.Method,
		path:        f.Path,
		header:      f.Header,
		body:        f.Body,
		deadline:    time.Now().Add(f.Wait),
		fingerprint: fingerprint(f.Service, f.Method, f.Path, f.Body),
	}, nil
}

// fingerprint returns a hash of a call's content, by which the quarantine
// identifies it.
func fingerprint(service, method, path string, body []byte) uint64 {
	return xxh3.HashString(service+" "+method+" "+path+"\n") ^ xxh3.Hash(body)
}
