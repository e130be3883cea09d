package throttle_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/throttle"
)

// Guards against nodes whose places together are more, or fewer, than a replica has.
func TestNodesShareTheSlotsOfAReplica(t *testing.T) {
	for _, nodes := range []int{1, 3, 6, 8, 113} {
		total := 0
		for rank := range nodes {
			node, _, replicas := newService(throttle.Share{
				Rank:  rank,
				Nodes: nodes,
			}, 1)
			for {
				unused, _ := node.UnusedPlaces(service)
				if len(unused) == 0 {
					break
				}
				replicas[0].BeginAttempt()
				total++
			}
		}
		is.New(t).Equal(total, 8)
	}
}

// Guards against a node that keeps collecting the places of others because requests always wait there.
func TestPlaceBeyondTheShareIsLeftToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 4,
		}, 1)
		u := replicas[0]
		isFull := func() bool { return slices.Contains(node.Limited(service).Full, u.Instance.ID) }
		for range 3 { // two of the eight places are this node's
			is.True(node.Begin(u))
		}
		u.EndAttempt()
		is.True(!node.KeepsPlace(u))
		is.True(isFull())
		time.Sleep(200 * time.Millisecond)
		is.True(!isFull()) // nobody else may need it
		u.EndAttempt()
		is.True(node.KeepsPlace(u))
		is.True(!isFull())
	})
}

// Guards against a node that waits although one of its own requests has freed a place at a full replica.
func TestReplicaIsNotFullOnceARequestHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 1,
		}, 1)
		u := replicas[0]
		full := func() []string { return node.Limited(service).Full }
		is.True(node.Begin(u))
		is.True(node.Begin(u))
		node.Answered(u, time.Now(), zinniamast.Feedback{
			Rejected: true,
		})
		u.EndAttempt() // the rejected one
		is.Equal(full(), []string{u.Instance.ID})
		u.EndAttempt()
		is.Equal(len(full()), 0)
	})
}

// Guards against several requests that probe a replica which was full before it has answered the first.
func TestReplicaThatWasFullIsProbedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 1,
		}, 1)
		u := replicas[0]
		full := func() []string { return node.Limited(service).Full }
		sent := time.Now()
		is.True(node.Begin(u))
		node.Answered(u, sent, zinniamast.Feedback{
			Rejected: true,
		})
		u.EndAttempt()
		time.Sleep(300 * time.Millisecond)
		is.Equal(len(full()), 0)
		is.True(node.Begin(u))
		is.Equal(full(), []string{u.Instance.ID})
		node.Answered(u, time.Now(), zinniamast.Feedback{})
		is.Equal(len(full()), 0)
	})
}

// Guards against nodes that are bound to their places where most nodes hold none.
func TestFewPlacesDoNotBind(t *testing.T) {
	is := is.New(t)
	node, _, _ := newService(throttle.Share{
		Rank:  90,
		Nodes: 113,
	}, 24)
	_, isBound := node.UnusedPlaces(service)
	is.True(!isBound)
	node, _, _ = newService(throttle.Share{
		Nodes: 6,
	}, 9)
	_, isBound = node.UnusedPlaces(service)
	is.True(isBound)
}

// BenchmarkUnusedPlaces measures the look for own places before 400 replicas.
func BenchmarkUnusedPlaces(b *testing.B) {
	node, _, replicas := newService(throttle.Share{
		Nodes: 8,
	}, 400)
	for _, u := range replicas[:390] {
		u.BeginAttempt()
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = node.UnusedPlaces(service)
	}
}
