package node

import (
	"context"
	"fmt"

	"zinniamast/handoff"
	"zinniamast/membership"
	"zinniamast/peer"
	"zinniamast/rollout"
)

// openPeers opens the listener for peers and operators and the pools of connections
// to peers.
func (n *Node) openPeers() error {
	s := n.config.Settings
	server, err := peer.NewServer(peer.ServerConfig{
		Listen:       s.PeerListen,
		PeerKeys:     s.PeerKeys,
		OperatorKeys: s.OperatorKeys,
		Logger:       n.config.Logger,
		Registerer:   n.registry,
	})
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	n.peers = server
	n.advertised = s.PeerAdvertise
	if n.advertised == "" {
		n.advertised = server.Address()
	}
	// A request that is handed over to a peer may have megabytes. Such requests have
	// connections of their own, since heartbeats that queue behind them would be late
	// and this node would be suspected dead.
	for _, pool := range []**peer.Pool{&n.pool, &n.requestPool} {
		*pool, err = peer.NewPool(peer.PoolConfig{
			Keys: s.PeerKeys,
		})
		if err != nil {
			return fmt.Errorf("peer pool: %w", err)
		}
	}
	return nil
}

// registerHandoff builds the handoff of requests between peers and registers its receiver.
func (n *Node) registerHandoff() error {
	s := n.config.Settings
	n.exchange = handoff.New(handoff.Config{
		Board:         n.board,
		Transport:     n.requestPool,
		Runner:        n.runner,
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
		Address:       n.advertised,
		Stopping:      n.stopping.Load,
		MemoryCap:     int64(s.MemoryCap),
		Context:       n.runContext,
		Logger:        n.config.Logger,
		Registerer:    n.registry,
	})
	if err := n.peers.RegisterPeer(handoff.ServiceName, n.exchange.Receiver()); err != nil {
		return fmt.Errorf("register %s: %w", handoff.ServiceName, err)
	}
	return nil
}

// registerMembership builds the membership and gossip and registers its receiver.
func (n *Node) registerMembership() error {
	s := n.config.Settings
	n.members = membership.New(membership.Config{
		ID:            s.Instance,
		FailureDomain: s.FailureDomain,
		Address:       n.advertised,
		Weight:        s.Weight,
		Seeds:         s.Peers,
		List:          n.list,
		Members:       n.board.Members,
		Transport: membership.RPC{
			Pool: n.pool,
		},
		Logger:        n.config.Logger,
		ConfigVersion: func() uint64 { return n.rollout.Number() },
		OnNewerConfig: func(address string, number uint64) { n.rollout.ObserveVersion(address, number) },
	})
	if err := n.peers.RegisterPeer(membership.ServiceName, n.members.Receiver()); err != nil {
		return fmt.Errorf("register %s: %w", membership.ServiceName, err)
	}
	return nil
}

// PeerAddress returns the host:port at which peers reach this node.
func (n *Node) PeerAddress() string { return n.advertised }

// PutConfiguration puts a configuration into force in the same way as an operator's change.
func (n *Node) PutConfiguration(ctx context.Context, raw []byte, who, why string) rollout.PutReply {
	return n.rollout.Put(ctx, rollout.Put{
		Raw:   raw,
		Base:  n.rollout.Number(),
		Who:   who,
		Why:   why,
		Force: true,
	})
}
