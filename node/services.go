package node

import (
	"time"

	"zinniamast/claims"
	"zinniamast/config"
	"zinniamast/issuedkeys"
	"zinniamast/quarantine"
	"zinniamast/retry"
	"zinniamast/services"
)

// buildQuarantine builds the quarantine, which model and plain services share.
func (n *Node) buildQuarantine() {
	n.quarantine = quarantine.New(quarantine.Config{
		CrashThreshold: func() int {
			return n.board.Configuration.Config().Resolve(config.Match{
				FailureDomain: n.config.Settings.FailureDomain,
			}).QuarantineAfter
		},
		FailureDomain: n.failureDomainOf,
		Started:       n.startedOf,
		Gossip:        n.members,
		Logger:        n.config.Logger,
		Registerer:    n.registry,
	})
	n.parts = quarantine.NewParts(quarantine.PartsConfig{
		FailureDomain: n.failureDomainOf,
		Gossip:        n.members,
		Logger:        n.config.Logger,
		Registerer:    n.registry,
	})
}

func (n *Node) failureDomainOf(upstream string) string {
	if known := n.board.Upstreams.Get(upstream); known != nil {
		return known.Instance.FailureDomain
	}
	return ""
}

func (n *Node) startedOf(upstream string) time.Time {
	if known := n.board.Upstreams.Get(upstream); known != nil {
		return known.Instance.Started
	}
	return time.Time{}
}

// registerServices builds the handler for plain services and registers its receiver.
func (n *Node) registerServices(budget *retry.Policy) error {
	s := n.config.Settings
	n.claims = claims.New(claims.Config{
		Table:      n.table.WithRole(roleClaims),
		Objects:    n.config.Platform.Objects,
		Node:       s.Instance,
		Logger:     n.config.Logger,
		Registerer: n.registry,
	})
	n.services = services.New(services.Config{
		Board:      n.board,
		Router:     n.router,
		Limiter:    n.limiter,
		Retry:      budget,
		AllowHedge: budget.Hedge,
		Quarantine: n.quarantine,
		Claims:     n.claims,
		Issuer: issuedkeys.New(issuedkeys.Config{
			Node:    s.Instance,
			Secrets: s.PeerKeys,
		}),
		Forwarder: &services.PeerForwarder{
			Pool:    n.pool,
			Members: n.board.Members,
		},
		FailureDomain: s.FailureDomain,
		IsStopping:    n.stopping.Load,
		Context:       n.runContext,
		Logger:        n.config.Logger,
		Registerer:    n.registry,
	})
	return n.peers.RegisterPeer(services.PeerName, &services.Receiver{
		Handler: n.services,
		Context: n.runContext,
	})
}
