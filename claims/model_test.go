package claims_test

import (
	"testing"

	"github.com/matryer/is"
)

// The phases of one request in the model.
const (
	phaseIdle = iota
	phaseClaiming
	phaseHeld
	phaseReleased
	phaseRan
	phaseRejected
)

const (
	requests = 3
	// maxDeliveries is how often the network may deliver the same write.
	maxDeliveries = 2
	// maxRevision bounds the search, since requests can repeat claims indefinitely.
	maxRevision = 6
)

// model is one state of three requests under one key and of the table's record.
// Every write may be lost, delayed indefinitely and delivered twice; a request
// learns the effect of its own write only by reading.
type model struct {
	revision, owner        uint8
	phase, claims, claimAt [requests]uint8
	releases, releaseAt    [requests]uint8
	runs                   uint8
}

// steps calls visit with every possible next state. A release either deletes the
// record, so that revisions start again at zero, or leaves a free record.
func (m model) steps(deletes bool, visit func(model)) {
	for i := range uint8(requests) {
		m.deliver(i, deletes, visit)
		n := m
		switch m.phase[i] {
		case phaseIdle:
			if m.owner == 0 && m.revision < maxRevision {
				n.phase[i] = phaseClaiming
				n.claims[i] = maxDeliveries
				n.claimAt[i] = m.revision
				visit(n)
			}
		case phaseClaiming:
			switch {
			case m.owner == i+1:
				n.phase[i] = phaseHeld
			case m.owner != 0:
				n.phase[i] = phaseRejected
			default:
				n.phase[i] = phaseIdle
			}
			visit(n)
		case phaseHeld:
			n.phase[i] = phaseRan
			n.runs++
			visit(n)
			n = m
			n.phase[i] = phaseReleased
			n.releases[i] = maxDeliveries
			n.releaseAt[i] = m.revision
			visit(n)
		}
	}
}

// deliver calls visit with the states after one write of a request is delivered
// or lost.
func (m model) deliver(i uint8, deletes bool, visit func(model)) {
	if m.claims[i] > 0 {
		n := m
		n.claims[i]--
		visit(n)
		if m.owner == 0 && m.revision == m.claimAt[i] {
			n.owner = i + 1
			n.revision++
			visit(n)
		}
	}
	if m.releases[i] == 0 {
		return
	}
	n := m
	n.releases[i]--
	visit(n)
	if m.revision != m.releaseAt[i] {
		return
	}
	n.owner = 0
	n.revision++
	if deletes {
		n.revision = 0
	}
	visit(n)
}

// explore visits every reachable state and returns the number of states and the
// highest number of runs in any of them.
func explore(deletes bool) (states int, runs uint8) {
	seen := map[model]bool{{}: true}
	queue := []model{{}}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		runs = max(runs, next.runs)
		next.steps(deletes, func(n model) {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		})
	}
	return len(seen), runs
}

// Three requests, possibly on three nodes, use the same key. In every order of
// claims, releases, losses, delays and duplicate deliveries the call must run at
// most once. If a release deleted the record, a late copy of the release would
// remove another request's claim. The model must find two runs in that variant,
// which shows that it detects the fault.
func TestClaimModel(t *testing.T) {
	is := is.New(t)
	states, runs := explore(false)
	t.Logf("free record: %d states, at most %d runs", states, runs)
	is.Equal(runs, uint8(1))
	states, runs = explore(true)
	t.Logf("deletion: %d states, at most %d runs", states, runs)
	is.True(runs > 1)
}
