package throttle_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/throttle"
)

// reject lets replicas reject a request of the node and ask for rest.
func reject(node *throttle.Throttle, duration time.Duration, replicas ...*blackboard.Upstream) {
	for _, u := range replicas {
		u.BeginAttempt()
		node.Answered(u, time.Now(), rests(duration))
		u.EndAttempt()
	}
}

// take lets replicas take a request of the node, which still runs afterwards.
func take(node *throttle.Throttle, replicas ...*blackboard.Upstream) {
	for _, u := range replicas {
		u.BeginAttempt()
		node.Answered(u, time.Now(), zinniamast.Feedback{})
	}
}

// Guards against nodes that find room by being rejected where each rejection costs them a rest, and against shares that outlast their need.
func TestPlacesAreAllocatedWhileFullReplicasAskForRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 2,
		}, 4)
		sound := replicas[3]
		is.Equal(begun(node, sound), 100)
		reject(node, time.Second, replicas[0])
		is.Equal(begun(node, sound), 100) // the replica may shed its load
		reject(node, time.Second, replicas[1])
		is.Equal(begun(node, sound), 4) // half of the listed slots
		time.Sleep(9 * time.Second)
		is.Equal(begun(node, sound), 4)
		time.Sleep(2 * time.Second)
		is.Equal(begun(node, sound), 100)
	})
}

// Guards against a full replica that is taken for one that sheds its load although it runs requests of this node.
func TestOneFullReplicaThatRunsRequestsIsEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 2,
		}, 4)
		take(node, replicas[0])
		reject(node, time.Second, replicas[0])
		is.Equal(begun(node, replicas[1]), 4)
	})
}

// Guards against replicas that shed their load and cost a service the use of the others.
func TestSheddingReplicasDoNotKeepPlacesAllocated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 2,
		}, 4)
		reject(node, time.Second, replicas[:2]...)
		is.Equal(begun(node, replicas[3]), 4)
		time.Sleep(time.Second)
		reject(node, time.Second, replicas[:2]...)
		is.Equal(begun(node, replicas[3]), 100)
		for range 20 {
			time.Sleep(time.Second)
			reject(node, time.Second, replicas[:2]...)
			is.Equal(begun(node, replicas[3]), 100)
		}
	})
}

// Guards against shares of replicas that ask for no rest when they are full.
func TestReplicasThatAskForNoRestAreNotAllocated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 2,
		}, 6)
		reject(node, time.Second, replicas[:2]...)
		is.Equal(begun(node, replicas[5]), 4)
		reject(node, 0, replicas[2:4]...)
		is.Equal(begun(node, replicas[5]), 100)
	})
}

// Guards against nodes that refuse their requests because a service has fewer places than nodes.
func TestFewPlacesAreNotAllocated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 113,
			Rank:  50,
		}, 4)
		reject(node, time.Second, replicas[:2]...)
		is.Equal(begun(node, replicas[3]), 100)
	})
}

// Guards against more trials of rejected places than one per second and replica of all nodes together, and against places that are never tried.
func TestLostPlacesAreTriedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const nodes = 6
		var all []*throttle.Throttle
		var tried []*blackboard.Upstream
		for rank := range nodes {
			node, _, replicas := newService(throttle.Share{
				Rank:  rank,
				Nodes: nodes,
			}, 4)
			reject(node, 100*time.Millisecond, replicas[:2]...)
			all, tried = append(all, node), append(tried, replicas[2])
		}
		time.Sleep(2 * time.Second)
		for i, node := range all {
			reject(node, 100*time.Millisecond, tried[i])
		}
		time.Sleep(time.Second)
		places, trials := 0, map[int64]int{}
		for start := time.Now(); time.Since(start) < 7*time.Second; time.Sleep(20 * time.Millisecond) {
			for i, node := range all {
				if node.Begin(tried[i]) {
					trials[time.Now().Unix()]++
					if time.Since(start) < 4*time.Second {
						node.Answered(tried[i], time.Now(), rests(100*time.Millisecond))
						tried[i].EndAttempt()
						continue
					}
					node.Answered(tried[i], time.Now(), zinniamast.Feedback{})
					places++
				}
			}
		}
		for _, count := range trials {
			is.Equal(count, 1)
		}
		is.Equal(len(trials), 7)
		is.Equal(places, 3)
	})
}

// Guards against a node that loses places to requests sent before the allocation began, does not lose those rejected later, or does not get back one in which a trial succeeded.
func TestPlacesAreLostAndRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 8,
		}, 6)
		u := replicas[2]
		reject(node, time.Second, replicas[:2]...)
		reject(node, time.Second, u)
		time.Sleep(time.Second + 600*time.Millisecond)
		is.Equal(begun(node, u), 1) // its share was rejected too early to be lost
		time.Sleep(time.Second)
		reject(node, time.Second, u)
		time.Sleep(5 * time.Second) // 7.6 s after midnight: place 7 has its turn
		is.Equal(begun(node, u), 0)
		time.Sleep(500 * time.Millisecond) // place 0, which is this node's
		is.True(node.Begin(u))
		node.Answered(u, time.Now(), zinniamast.Feedback{})
		u.EndAttempt()
		time.Sleep(1500 * time.Millisecond)
		is.Equal(begun(node, u), 1)
	})
}

// Guards against a full replica that counts as shedding its load as it rejected several requests at once.
func TestRejectionsAtOnceAreThoseOfOneFullReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 2,
		}, 4)
		reject(node, time.Second, replicas[:2]...)
		reject(node, time.Second, replicas[:2]...)
		is.Equal(begun(node, replicas[3]), 4)
	})
}
