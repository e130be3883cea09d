package membership

import (
	"context"

	"zinniamast/peer"
)

// ServiceName is the RPC name under which a node's Receiver is registered.
const ServiceName = "Membership"

// RPC is the Transport over the peer package.
type RPC struct {
	// Pool holds the connections.
	Pool *peer.Pool
}

// Exchange implements Transport.
func (t RPC) Exchange(ctx context.Context, address string, message *Exchange) (*Exchange, error) {
	reply := &Exchange{}
	return reply, t.Pool.Call(ctx, address, ServiceName+".Exchange", message, reply)
}

// Probe implements Transport.
func (t RPC) Probe(ctx context.Context, address string, probe Probe) (ProbeResult, error) {
	var result ProbeResult
	err := t.Pool.Call(ctx, address, ServiceName+".Probe", probe, &result)
	return result, err
}

// Receiver answers the RPCs of peers; it is registered with peer.Server.RegisterPeer.
type Receiver struct {
	m *Membership
}

// Exchange answers a heartbeat.
func (r *Receiver) Exchange(message *Exchange, reply *Exchange) error {
	*reply = *r.m.Receive(message)
	return nil
}

// Probe probes another node for a peer that cannot reach it.
func (r *Receiver) Probe(probe Probe, result *ProbeResult) error {
	*result = r.m.ProbeFor(probe)
	return nil
}
