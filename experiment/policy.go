package experiment

import (
	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/limits"
	"zinniamast/routing"
)

// Policy names a way to choose replicas.
type Policy string

// The policies that an experiment compares.
const (
	// Zinniamast uses package routing, and package limits in scenarios that enable limits.
	Zinniamast Policy = "zinniamast"
	// RoundRobin selects replicas in turn.
	RoundRobin Policy = "round_robin"
	// LeastOutstanding selects the replica with the fewest in-flight requests of the node.
	LeastOutstanding Policy = "least_outstanding"
	// PrefixHash sends each prefix to one replica by consistent hashing.
	PrefixHash Policy = "prefix_hash"
	// PrefixBounded uses consistent hashing with bounded loads.
	PrefixBounded Policy = "prefix_bounded"
	// FixedQueue queues requests at the node above a fixed number of in-flight
	// requests per replica.
	FixedQueue Policy = "fixed_queue"
)

// Policies lists all policies, Zinniamast first.
func Policies() []Policy {
	return []Policy{Zinniamast, RoundRobin, LeastOutstanding, PrefixHash, PrefixBounded, FixedQueue}
}

const (
	// fixedQueueLimit is the number of in-flight requests that a node sends to one
	// replica under FixedQueue.
	fixedQueueLimit = 4
	// affinityLoadFactor is the load factor commonly used for consistent hashing
	// with bounded loads.
	affinityLoadFactor = 1.25
)

// node is one entry instance, which routes requests to the replicas.
type node struct {
	world         *world
	name          string
	domain        string
	board         *blackboard.Board
	router        zinniamast.Router
	routingRouter *routing.Router
	limiter       *limits.Limiter
	// pending holds the requests that found no replica.
	pending []*request
	// retryScheduled means that a retry of the pending requests is scheduled.
	retryScheduled bool
}

func (n *node) setRouter(policy Policy, seed uint64) {
	base := newBaseline(n.board)
	switch policy {
	case RoundRobin:
		n.router = &roundRobin{
			baseline: base,
		}
	case LeastOutstanding:
		n.router = &leastOutstanding{
			baseline: base,
		}
	case FixedQueue:
		n.router = &leastOutstanding{
			baseline: base,
			limit:    fixedQueueLimit,
		}
	case PrefixHash:
		n.router = &prefixAffinity{
			leastOutstanding: leastOutstanding{
				baseline: base,
			},
		}
	case PrefixBounded:
		n.router = &prefixAffinity{
			leastOutstanding: leastOutstanding{
				baseline: base,
			},
			loadFactor: affinityLoadFactor,
		}
	default:
		n.setRoutingRouter(seed)
	}
}

func (n *node) setRoutingRouter(seed uint64) {
	n.routingRouter = routing.New(routing.Config{
		Board:         n.board,
		Node:          n.name,
		FailureDomain: n.domain,
		Gossip: &gossipPort{
			node: n,
		},
		Seed: seed,
		Now:  n.world.Now,
	})
	n.router = n.routingRouter
	if !n.world.scenario.Limits {
		return
	}
	n.limiter = limits.New(limits.Config{
		Board:         n.board,
		Node:          n.name,
		FailureDomain: n.domain,
		Gossip: &gossipPort{
			node: n,
		},
		Predictor: n.routingRouter,
		Now:       n.world.Now,
	})
}

// gossipPort connects a node to the gossip of the others.
type gossipPort struct {
	node *node
}

// Publish implements zinniamast.Gossip: the other nodes receive the
// item after the delay of the scenario.
func (p *gossipPort) Publish(item zinniamast.GossipItem) {
	w := p.node.world
	w.sequence++
	item.Origin = p.node.name
	item.Sequence = w.sequence
	for _, s := range w.subscribers {
		if s.topic == item.Topic && s.node != p.node && (item.AllDomains || s.node.domain == p.node.domain) {
			w.gossipBytes += len(item.Value)
			w.after(w.scenario.GossipDelay, func() { s.receive(item) })
		}
	}
}

// Subscribe implements zinniamast.Gossip.
func (p *gossipPort) Subscribe(topic zinniamast.Topic, receive func(zinniamast.GossipItem)) {
	w := p.node.world
	w.subscribers = append(w.subscribers, subscriber{
		topic:   topic,
		node:    p.node,
		receive: receive,
	})
}

// subscriber receives the gossip items of a topic at a node.
type subscriber struct {
	topic   zinniamast.Topic
	node    *node
	receive func(zinniamast.GossipItem)
}
