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

// PeerName is the name under which a Receiver is registered with the peers' server.
const PeerName = "Services"

// Receiver answers forwarded calls over net/rpc.
type Receiver struct {
	// Handler runs them.
	Handler *Handler
	// Context ends when the node may run nothing any more.
	Context context.Context
}

// Run implements the remote call.
func (r *Receiver) Run(call ForwardedCall, answer *ForwardedAnswer) error {
	*answer = r.Handler.RunForwarded(r.Context, call)
	return nil
}

// PeerForwarder implements Forwarder over the peers' pool.
type PeerForwarder struct {
	// Pool holds the connections.
	Pool *peer.Pool
	// Members says where the nodes are.
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

// rebuildCall rebuilds a call that another node has parsed and checked.
func (h *Handler) rebuildCall(f ForwardedCall) (*call, *zinniamast.Refusal) {
	current := h.config.Board.Configuration.Config()
	service := current.Service(f.Service)
	if service == nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonUnknownService, "there is no service %q", f.Service).
			With(zinniamast.Unknown)
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

// fingerprint tells calls apart by content, for the quarantine.
func fingerprint(service, method, path string, body []byte) uint64 {
	return xxh3.HashString(service+" "+method+" "+path+"\n") ^ xxh3.Hash(body)
}
