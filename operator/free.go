package operator

import (
	"context"
	"errors"
	"time"
)

// HeldRequest is a request that is quarantined because replicas crashed while they ran it, or
// a set of prompt parts whose requests are.
type HeldRequest struct {
	// Fingerprint is a hash of the request's content, as 16 hexadecimal digits; empty for
	// prompt parts.
	Fingerprint string `json:"fingerprint"`
	// PromptParts are the parts in hexadecimal, separated by plus signs. Requests whose
	// prompts have all of them are held back.
	PromptParts string `json:"prompt_parts,omitempty"`
	// Since is when the request was quarantined. Crashes is the number of crashes
	// attributed to it at that time.
	Since   time.Time `json:"since"`
	Crashes int       `json:"crashes"`
}

// FreeArgs is the argument of Receiver.Free. It releases a quarantined request or prompt part
// at every node.
type FreeArgs struct {
	Fingerprint string
	// PromptPart is the part in hexadecimal; empty for a request.
	PromptPart string
	// By is the operator's name and Why the reason. Every node logs both.
	By  string
	Why string
}

// FreeReply is empty. A refusal is returned as an error.
type FreeReply struct{}

// Free releases a quarantined request, so that it may run again.
func (r *Receiver) Free(args FreeArgs, _ *FreeReply) error {
	if r.config.Free == nil {
		return errors.New("this node holds nothing back")
	}
	if args.By == "" || args.Why == "" {
		return errors.New("say who frees the request, and why")
	}
	return r.config.Free(args)
}

// Free releases a quarantined request, so that it may run again.
func (c *Client) Free(ctx context.Context, free FreeArgs) error {
	return c.call(ctx, "Free", free, &FreeReply{})
}
