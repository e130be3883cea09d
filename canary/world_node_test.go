package canary_test

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
)

// startUp starts a node's process, which knows nothing of before.
func (n *worldNode) startUp() {
	w := n.world
	n.life++
	n.bornAt = w.now
	n.subs = map[zinniamast.Topic][]func(zinniamast.GossipItem){}
	n.board = blackboard.NewUpstreams()
	n.canary = canary.New(canary.Config{
		Node:          n.name,
		FailureDomain: n.domain,
		Upstreams:     n.board,
		LiveNodes:     n.liveNodes,
		Gossip:        n,
		Logger:        w.logger(n.name),
		Now:           func() time.Time { return w.now },
	})
	n.leader = canary.NewLeader(canary.LeaderConfig{
		Canary:         n.canary,
		Upstreams:      n.board,
		Rollouts:       w.store,
		Lease:          n,
		Node:           n.name,
		FailureDomains: w.domains,
		ExposureShare:  exposureShare,
		ExposureSlack:  exposureSlack,
		Logger:         w.logger(n.name),
		Now:            func() time.Time { return w.now },
	})
	n.readReplicas()
	n.hearOrder()
	// A node that starts gets the newest grants of its neighbours.
	for _, other := range w.nodes {
		if other != n && other.canary != nil && other.life > 0 && w.now.Sub(other.bornAt) > 0 {
			for _, grant := range other.canary.Grants() {
				n.canary.Apply(grant)
			}
		}
	}
}

// logger returns where a node logs: nowhere, unless the test is verbose with one play.
func (w *world) logger(node string) *slog.Logger {
	if logPlays {
		return slog.New(slog.NewTextHandler(w.t.Output(), &slog.HandlerOptions{
			ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
				if a.Key == slog.TimeKey {
					return slog.Duration("at", w.now.Sub(w.start))
				}
				return a
			},
		})).With("node", node)
	}
	return slog.New(slog.DiscardHandler)
}

func (w *world) domains() []string {
	var all []string
	for i := range min(worldDomains, len(w.nodes)) {
		all = append(all, fmt.Sprint("domain-", i))
	}
	return all
}

func (n *worldNode) liveNodes() []string {
	var live []string
	for _, other := range n.world.nodes {
		if other.domain == n.domain {
			live = append(live, other.name)
		}
	}
	return live
}

// Check implements canary.Lease.
func (n *worldNode) Check(time.Duration) (uint64, error) {
	if n.world.leader != n {
		return 0, errAway
	}
	return n.world.fence, nil
}

func (w *world) takeLease() {
	w.fence++
	candidates := []*worldNode{}
	for _, n := range w.nodes {
		if !n.isCut {
			candidates = append(candidates, n)
		}
	}
	w.leader = candidates[w.random.IntN(len(candidates))]
}

func (w *world) loseLease() {
	w.leader = nil
	w.after(leaseGap, w.takeLease)
}

func (w *world) lead() {
	if w.leader != nil {
		w.leader.leader.Step(context.Background())
	}
	w.after(200*time.Millisecond, w.lead)
}

func (n *worldNode) readReplicas() {
	for _, r := range n.world.replicas {
		known := n.board.Get(r.id)
		switch {
		case known == nil && !r.isGone:
			n.board.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:            r.id,
					Service:       worldService,
					FailureDomain: r.domain,
					Version:       r.version,
					Started:       r.born,
				},
			})
		case known != nil && r.isGone:
			n.board.MarkLeaving(r.id, time.Time{})
		}
	}
}

// canReach reports whether nodes reach each other.
func (n *worldNode) canReach(other *worldNode) bool {
	return n.domain == other.domain || !n.isCut && !other.isCut
}

// Publish implements zinniamast.Gossip.
func (n *worldNode) Publish(item zinniamast.GossipItem) {
	for _, other := range n.world.nodes {
		if other == n {
			continue
		}
		n.world.after(time.Duration(float64(gossipDelay)*(0.3+n.world.random.Float64())), func() {
			if n.canReach(other) {
				for _, receive := range other.subs[item.Topic] {
					receive(item)
				}
			}
		})
	}
}

// Subscribe implements zinniamast.Gossip.
func (n *worldNode) Subscribe(topic zinniamast.Topic, f func(zinniamast.GossipItem)) {
	n.subs[topic] = append(n.subs[topic], f)
}

// reader returns the node that sums for a failure domain.
func (w *world) reader(domain string) *worldNode {
	for _, n := range w.nodes {
		if n.domain == domain {
			return n
		}
	}
	return nil
}

// exchange sends a node's counts to its reader, and the reader's sums to the others.
func (n *worldNode) exchange() {
	w := n.world
	defer w.after(exchangeEvery, n.exchange)
	reader := w.reader(n.domain)
	if n != reader {
		reader.canary.ReceiveNode(n.name, n.canary.Report())
		if w.leader == n {
			n.canary.ReceiveDomains(reader.canary.Domains(""))
		}
		return
	}
	n.canary.SumDomain()
	for _, domain := range w.domains() {
		if other := w.reader(domain); other != n && n.canReach(other) {
			n.canary.ReceiveDomains(other.canary.Domains(domain))
		}
	}
}

// recordWritten sees what operators are told. The old replicas stop with the end of the
// rollout.
func (w *world) recordWritten(r zinniamast.RolloutRecord) {
	switch r.State {
	case zinniamast.RolloutCompleted:
		w.completedAt = cmp.Or(w.completedAt, w.now)
		for run := range w.running {
			if run.replica.version == oldVersion && run.life == run.node.life {
				run.isCut = true
				w.cut++
			}
		}
		w.stopAll(oldVersion)
	case zinniamast.RolloutRolledBack:
		w.rolledBackAt = cmp.Or(w.rolledBackAt, w.now)
	}
}

func (w *world) stopAll(version string) {
	for _, r := range w.replicas {
		r.isGone = r.isGone || r.version == version
	}
	for _, n := range w.nodes {
		w.after(500*time.Millisecond, n.readReplicas)
	}
}

// killAll kills all processes and starts them again.
func (w *world) killAll() {
	for run := range w.running {
		run.replica.running--
		run.replica.running++
	}
	for _, n := range w.nodes {
		n.canary = nil
	}
	for _, n := range w.nodes {
		n.startUp()
	}
	w.loseLease()
}

// deadline returns when the rollout is to be completed.
func (w *world) deadline() time.Time { return w.start.Add(2*time.Second + w.within) }
