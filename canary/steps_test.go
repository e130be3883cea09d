package canary_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
)

// The events whose orders are played.
const (
	eventStepA = iota
	eventStepB
	eventLeaseMoves
	eventKillLeader
	eventNextAnswerLost
	eventNextWriteLate
	eventLateWriteArrives
	eventVerdict
	eventCount
)

var eventNames = [...]string{"step A", "step B", "lease moves", "kill leader", "answer lost", "write late", "late write arrives", "verdict"}

// stepWorld is two nodes of which one leads, and a store that may lose or delay writes.
type stepWorld struct {
	now    time.Time
	nodes  [2]*stepNode
	holder int
	fence  uint64
	record zinniamast.RolloutRecord
	writes uint64
	loses  bool
	delays bool
	late   *zinniamast.RolloutRecord
	// violation describes the first broken invariant.
	violation string
}

type stepNode struct {
	world    *stepWorld
	index    int
	canary   *canary.Canary
	leader   *canary.Leader
	board    *blackboard.Upstreams
	receives map[zinniamast.Topic]func(zinniamast.GossipItem)
}

var errUnknown = errors.New("no answer")

func newStepWorld() *stepWorld {
	w := &stepWorld{
		now:    time.Unix(1_800_000_000, 0),
		fence:  1,
		writes: 1,
		record: zinniamast.RolloutRecord{
			Service:  worldService,
			Version:  newVersion,
			Order:    1,
			State:    zinniamast.RolloutInProgress,
			Started:  time.Unix(1_800_000_000, 0),
			Revision: 1,
		},
	}
	for i := range w.nodes {
		w.nodes[i] = &stepNode{
			world: w,
			index: i,
		}
		w.nodes[i].start()
	}
	// The rollout has reached the whole share, so that a few steps complete it.
	grant := canary.Grant{
		Service: worldService,
		Version: newVersion,
		Order:   1,
		Fence:   1,
		Step:    1,
		Share:   1,
		State:   zinniamast.RolloutInProgress,

		IsTrusted: true,
	}
	for _, n := range w.nodes {
		n.canary.Apply(grant)
	}
	return w
}

func (n *stepNode) start() {
	w := n.world
	n.receives = map[zinniamast.Topic]func(zinniamast.GossipItem){}
	n.board = blackboard.NewUpstreams()
	for _, version := range []string{oldVersion, newVersion} {
		n.board.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:      version,
				Service: worldService,
				Version: version,
			},
		})
	}
	n.canary = canary.New(canary.Config{
		Node:          fmt.Sprint("node-", n.index),
		FailureDomain: "here",
		Upstreams:     n.board,
		LiveNodes:     func() []string { return []string{"node-0", "node-1"} },
		Gossip:        n,
		Now:           func() time.Time { return w.now },
	})
	n.canary.SetOrder(zinniamast.RolloutOrder{
		Service:  worldService,
		Version:  newVersion,
		Within:   time.Minute,
		Revision: 1,
	})
	n.leader = canary.NewLeader(canary.LeaderConfig{
		Canary:         n.canary,
		Upstreams:      n.board,
		Rollouts:       w,
		Lease:          n,
		Node:           fmt.Sprint("node-", n.index),
		FailureDomains: func() []string { return []string{"here"} },
		ExposureShare:  exposureShare,
		ExposureSlack:  exposureSlack,
		Now:            func() time.Time { return w.now },
	})
}

// Publish implements zinniamast.Gossip.
func (n *stepNode) Publish(item zinniamast.GossipItem) {
	if receive := n.world.nodes[1-n.index].receives[item.Topic]; receive != nil {
		receive(item)
	}
}

// Subscribe implements zinniamast.Gossip.
func (n *stepNode) Subscribe(topic zinniamast.Topic, f func(zinniamast.GossipItem)) {
	n.receives[topic] = f
}

// Check implements canary.Lease.
func (n *stepNode) Check(time.Duration) (uint64, error) {
	if n.world.holder != n.index {
		return 0, errUnknown
	}
	return n.world.fence, nil
}

// ReadRollouts implements zinniamast.Rollouts.
func (w *stepWorld) ReadRollouts(context.Context) ([]zinniamast.RolloutRecord, error) {
	if w.record.Revision == 0 {
		return nil, nil
	}
	return []zinniamast.RolloutRecord{w.record}, nil
}

// WriteRollout implements zinniamast.Rollouts.
func (w *stepWorld) WriteRollout(_ context.Context, r zinniamast.RolloutRecord) (uint64, error) {
	if w.delays {
		w.delays = false
		w.late = &r
		return 0, errUnknown
	}
	revision, err := w.apply(r)
	if err == nil && w.loses {
		w.loses = false
		return 0, errUnknown
	}
	return revision, err
}

// apply puts a record into the store, and checks what must hold then.
func (w *stepWorld) apply(r zinniamast.RolloutRecord) (uint64, error) {
	if r.Revision != w.record.Revision {
		return 0, zinniamast.ErrConflict
	}
	if w.record.State.IsFinal() && r.State != w.record.State {
		w.violation = fmt.Sprintf("%s became %s", w.record.State, r.State)
	}
	if r.State == zinniamast.RolloutCompleted {
		for _, n := range w.nodes {
			selection := n.canary.Select(canary.Query{
				Service: worldService,
				Request: "r-1",
			})
			if !slices.Contains(selection.AvoidVersions, oldVersion) {
				w.violation = fmt.Sprintf("completed while node-%d sends requests to old replicas", n.index)
			}
		}
	}
	w.writes++
	r.Revision = w.writes
	w.record = r
	return r.Revision, nil
}

// play plays one event.
func (w *stepWorld) play(event int) {
	w.now = w.now.Add(1300 * time.Millisecond)
	switch event {
	case eventStepA, eventStepB:
		w.exchange()
		w.nodes[event-eventStepA].leader.Step(context.Background())
	case eventLeaseMoves:
		w.holder = 1 - w.holder
		w.fence++
	case eventKillLeader:
		killed := w.nodes[w.holder]
		killed.start()
		for _, grant := range w.nodes[1-w.holder].canary.Grants() {
			killed.canary.Apply(grant)
		}
	case eventNextAnswerLost:
		w.loses = true
	case eventNextWriteLate:
		w.delays = true
	case eventLateWriteArrives:
		if w.late != nil {
			_, _ = w.apply(*w.late) // Its writer waits no more.
			w.late = nil
		}
	case eventVerdict:
		for _, n := range w.nodes {
			n.receives[zinniamast.TopicVersionVerdict](zinniamast.GossipItem{
				Value: fmt.Appendf(nil, `{"service":%q,"version":%q,"order":1}`, worldService, newVersion),
			})
		}
	}
}

// exchange sends the nodes' reports to the first one, which sums up, and the sum to the other.
func (w *stepWorld) exchange() {
	w.nodes[0].canary.ReceiveNode("node-1", w.nodes[1].canary.Report())
	w.nodes[0].canary.SumDomain()
	w.nodes[1].canary.ReceiveDomains(w.nodes[0].canary.Domains(""))
}

// Guards against a state that goes back, or an end that comes while a node still uses old replicas, in any order of steps, deaths, takeovers and lost or late writes.
func TestStepsInAnyOrder(t *testing.T) {
	check := is.New(t)
	const prefix, length = 1, 6
	completed, rolledBack := 0, 0
	sequence := make([]int, length)
	for number := range power(eventCount, length) {
		rest := number
		for i := range sequence {
			sequence[i] = rest % eventCount
			rest /= eventCount
		}
		w := newStepWorld()
		for range prefix {
			w.play(eventStepA)
		}
		for _, event := range sequence {
			w.play(event)
		}
		switch w.record.State {
		case zinniamast.RolloutCompleted:
			completed++
		case zinniamast.RolloutRolledBack:
			rolledBack++
		}
		if w.violation != "" {
			var names []string
			for _, event := range sequence {
				names = append(names, eventNames[event])
			}
			t.Fatalf("%s after %v", w.violation, names)
		}
		if testing.Short() && number > 20_000 {
			break
		}
	}
	t.Logf("%d sequences completed, %d rolled back", completed, rolledBack)
	check.True(completed > 0)
	check.True(rolledBack > 0)
}

func power(base, exponent int) int {
	result := 1
	for range exponent {
		result *= base
	}
	return result
}
