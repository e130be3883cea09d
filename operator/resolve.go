package operator

import (
	"context"
	"errors"
)

// ResolveArgs is the argument of Receiver.Resolve. It records the outcome of a call
// whose outcome is unknown.
type ResolveArgs struct {
	Organisation string
	Service      string
	Key          string
	// Ran reports whether the call ran, according to the service's own records.
	Ran bool
	// By is the operator's name, which is stored with the decision.
	By string
}

// ResolveReply is empty. A refused decision is returned as an error.
type ResolveReply struct{}

// errNoClaims means that the node does not store claims.
var errNoClaims = errors.New("this node keeps no claims")

// Resolve records the outcome of a call whose outcome is unknown.
func (r *Receiver) Resolve(args ResolveArgs, _ *ResolveReply) error {
	if r.config.Resolve == nil {
		return errNoClaims
	}
	if args.By == "" {
		return errors.New("say who decides")
	}
	ctx, cancel := callContext()
	defer cancel()
	return r.config.Resolve(ctx, args)
}

// Resolve records the outcome of a call whose outcome is unknown.
func (c *Client) Resolve(ctx context.Context, decision ResolveArgs) error {
	return c.call(ctx, "Resolve", decision, &ResolveReply{})
}
