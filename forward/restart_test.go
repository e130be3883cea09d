package forward_test

import (
	"slices"
	"time"
)

const (
	// drainTime is the time from the stop of a node to the start of its next process; the longest
	// request is done by then.
	drainTime = 3 * time.Second
	// lateArrival bounds the time from a retry of a killed process to its arrival at a replica.
	lateArrival = time.Second
)

// restart stops a node gracefully and starts it again after drainTime. The new process takes over
// the retry budget, and knows nothing else but the replicas.
func (f *fleet) restart(i int) {
	old := f.currentNodes()[i]
	old.leaves.Store(true)
	time.AfterFunc(drainTime, func() {
		n := f.newProcess(i)
		n.retries.TakeOver(old.retries.HandOver(), 0)
		f.replaceNode(i, n)
	})
}

// kill kills the process of a node, with the requests that it has, and starts the next one.
func (f *fleet) kill(i int) {
	old := f.currentNodes()[i]
	f.replaceNode(i, f.newProcess(i))
	old.leaves.Store(true)
	old.kill()
}

// newProcess returns the next process of a node. As in package entry, it does not use its whole
// retry budget until those of the process before it are out of every window.
func (f *fleet) newProcess(i int) *fleetNode {
	return f.newNode(i, time.Now().Add(retryPeriod+lateArrival))
}

// replaceNode lets a process of a node run instead of the one before it, and lists the replicas.
func (f *fleet) replaceNode(i int, n *fleetNode) {
	f.mu.Lock()
	replicas := slices.Clone(f.replicas)
	f.nodes = slices.Clone(f.nodes)
	f.nodes[i] = n
	f.mu.Unlock()
	for _, r := range replicas {
		if !r.hasCrashed() {
			n.list(r)
		}
	}
}
