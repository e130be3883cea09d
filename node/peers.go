package node

import (
	"context"
	"fmt"

	"zinniamast/handoff"
	"zinniamast/membership"
	"zinniamast/peer"
	"zinniamast/rollout"
)

// openPeers opens the listener for peers and operators and the pool towards peers.
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
	// Requests on their way to a peer are megabytes; on a connection of their
	// own they do not hold heartbeats up, which would look like a death.
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

// exchangeRequests offers and uses the exchange of requests with peers.
func (n *Node) exchangeRequests() error {
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
		Context:       n.life,
		Logger:        n.config.Logger,
		Registerer:    n.registry,
	})
	if err := n.peers.RegisterPeer(handoff.ServiceName, n.exchange.Receiver()); err != nil {
		return fmt.Errorf("register %s: %w", handoff.ServiceName, err)
	}
	return nil
}

// joinPeers takes part in membership and gossip.
func (n *Node) joinPeers() error {
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

// PeerAddress returns host:port by which peers reach this node.
func (n *Node) PeerAddress() string { return n.advertised }

// PutConfiguration brings a configuration into force as an operator's change does.
func (n *Node) PutConfiguration(ctx context.Context, raw []byte, who, why string) rollout.PutReply {
	return n.rollout.Put(ctx, rollout.Put{
		Raw:   raw,
		Base:  n.rollout.Number(),
		Who:   who,
		Why:   why,
		Force: true,
	})
}
