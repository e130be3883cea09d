package operator

import (
	"context"
	"errors"
	"fmt"

	"zinniamast/peer"
	"zinniamast/rollout"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Addresses are peer listeners of nodes. They are tried in order until one
	// can be called.
	Addresses []string
	// Key is an operator's shared key.
	Key string
}

// Client calls the Receiver of a node.
type Client struct {
	addresses []string
	pool      *peer.Pool
}

// NewClient returns a client. It connects at its first call.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, errors.New("no node's address is given")
	}
	pool, err := peer.NewPool(peer.PoolConfig{
		Role: peer.RoleOperator,
		Keys: []string{config.Key},
	})
	if err != nil {
		return nil, err
	}
	return &Client{
		addresses: config.Addresses,
		pool:      pool,
	}, nil
}

// Close closes the client's connections.
func (c *Client) Close() { c.pool.Close() }

// call tries the next node only if the call is known not to have run, so that
// no change is made twice.
func (c *Client) call(ctx context.Context, method string, args, reply any) error {
	var err error
	for _, address := range c.addresses {
		err = c.pool.Call(ctx, address, ServiceName+"."+method, args, reply)
		if err == nil || !peer.DidNotRun(err) {
			break
		}
		err = fmt.Errorf("%s: %w", address, err)
	}
	return err
}

// PutConfig submits a configuration change.
func (c *Client) PutConfig(ctx context.Context, put rollout.Put) (rollout.PutReply, error) {
	var reply rollout.PutReply
	err := c.call(ctx, "PutConfig", put, &reply)
	return reply, err
}

// GetConfig returns the configuration version with the given number. Zero means
// the newest version.
func (c *Client) GetConfig(ctx context.Context, number uint64) (rollout.Entry, error) {
	var entry rollout.Entry
	err := c.call(ctx, "GetConfig", GetConfigArgs{
		Number: number,
	}, &entry)
	return entry, err
}

// History returns at most limit entries of the configuration history up to the
// version upTo, newest last. Zero means the newest version.
func (c *Client) History(ctx context.Context, upTo uint64, limit int) ([]rollout.Entry, error) {
	var reply HistoryReply
	err := c.call(ctx, "History", HistoryArgs{
		UpTo:  upTo,
		Limit: limit,
	}, &reply)
	return reply.Entries, err
}

// Versions returns the configuration version in force at every node.
func (c *Client) Versions(ctx context.Context) ([]rollout.NodeVersion, error) {
	var reply VersionsReply
	err := c.call(ctx, "Versions", VersionsArgs{}, &reply)
	return reply.Nodes, err
}

// Status returns a node's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, "Status", StatusArgs{
		Versions: true,
	}, &status)
	return status, err
}

// Explain returns the history of a request as text.
func (c *Client) Explain(ctx context.Context, request string) (string, error) {
	var reply ExplainReply
	err := c.call(ctx, "Explain", ExplainArgs{
		Request: request,
	}, &reply)
	return reply.Text, err
}
