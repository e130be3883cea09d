package experiment

import (
	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/limits"
	"zinniamast/routing"
)

// Policy is a way to choose replicas, by name.
type Policy string

// The policies that are compared.
const (
	// Ours is package routing, with package limits where the scenario limits.
	Ours Policy = "zinniamast"
	// RoundRobin takes replicas in turn.
	RoundRobin Policy = "round_robin"
	// LeastOutstanding takes the replica with the fewest requests of the node.
	LeastOutstanding Policy = "least_outstanding"
	// PrefixHash sends a prefix to one replica by consistent hashing.
	PrefixHash Policy = "prefix_hash"
	// PrefixBounded does so with bounded loads.
	PrefixBounded Policy = "prefix_bounded"
	// FixedQueue queues at the node above a fixed number of requests per replica.
	FixedQueue Policy = "fixed_queue"
)

// Policies lists all of them, ours first.
func Policies() []Policy {
	return []Policy{Ours, RoundRobin, LeastOutstanding, PrefixHash, PrefixBounded, FixedQueue}
}

const (
	// fixedLimit is what a node allows itself per replica under FixedQueue.
	fixedLimit = 4
	// affinityBound is the usual bound of consistent hashing with bounded loads.
	affinityBound = 1.25
)

// node is one entry instance.
type node struct {
	world   *world
	name    string
	domain  string
	board   *blackboard.Board
	router  zinniamast.Router
	ours    *routing.Router
	limiter *limits.Limiter
	// pending are requests that found no replica.
	pending []*tracked
	// waking means that a next try is planned.
	waking bool
}

func (n *node) equip(policy Policy, seed uint64) {
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
			limit:    fixedLimit,
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
			bound: affinityBound,
		}
	default:
		n.equipOurs(seed)
	}
}

func (n *node) equipOurs(seed uint64) {
	n.ours = routing.New(routing.Config{
		Board:         n.board,
		Node:          n.name,
		FailureDomain: n.domain,
		Gossip: &port{
			node: n,
		},
		Seed: seed,
		Now:  n.world.Now,
	})
	n.router = n.ours
	if !n.world.scenario.Limits {
		return
	}
	n.limiter = limits.New(limits.Config{
		Board:         n.board,
		Node:          n.name,
		FailureDomain: n.domain,
		Gossip: &port{
			node: n,
		},
		Predictor: n.ours,
		Now:       n.world.Now,
	})
}

// port is a node's place in the exchange of news.
type port struct {
	node *node
}

// Publish implements zinniamast.Gossip: others hear after the scenario's delay.
func (p *port) Publish(news zinniamast.GossipItem) {
	w := p.node.world
	w.sequence++
	news.Origin = p.node.name
	news.Sequence = w.sequence
	for _, s := range w.subscribers {
		if s.topic == news.Topic && s.node != p.node && (news.AllDomains || s.node.domain == p.node.domain) {
			w.newsBytes += len(news.Value)
			w.after(w.scenario.NewsDelay, func() { s.hear(news) })
		}
	}
}

// Subscribe implements zinniamast.Gossip.
func (p *port) Subscribe(topic zinniamast.Topic, hear func(zinniamast.GossipItem)) {
	w := p.node.world
	w.subscribers = append(w.subscribers, subscriber{
		topic: topic,
		node:  p.node,
		hear:  hear,
	})
}

// subscriber hears news of a topic at a node.
type subscriber struct {
	topic zinniamast.Topic
	node  *node
	hear  func(zinniamast.GossipItem)
}
