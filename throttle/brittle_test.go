package throttle_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/throttle"
)

// brittle is the feedback of a replica that bears a number of rejections in a second.
func brittle(rejections int) zinniamast.Feedback {
	return zinniamast.Feedback{
		Condition: zinniamast.Condition{
			IsBrittle:     true,
			MaxRejections: rejections,
		},
	}
}

// newService returns a node that holds the given share of each replica's places, and the
// service's replicas, which have eight slots each.
func newService(share throttle.Share, replicas int) (*throttle.Throttle, *blackboard.Upstreams, []*blackboard.Upstream) {
	upstreams := blackboard.NewUpstreams()
	var all []*blackboard.Upstream
	for i := range replicas {
		all = append(all, addReplica(upstreams, fmt.Sprint("i-", i)))
	}
	return throttle.New(throttle.Config{
		Upstreams: upstreams,
		Share:     func(string) throttle.Share { return share },
	}), upstreams, all
}

func addReplica(upstreams *blackboard.Upstreams, id string) *blackboard.Upstream {
	u := &blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      id,
			Service: service,
			Started: time.Now(),
		},
		Slots: 8,
	}
	upstreams.Add(u)
	return u
}

// begun returns how many requests may begin at a replica at once.
func begun(node *throttle.Throttle, u *blackboard.Upstream) int {
	count := 0
	for count < 100 && node.Begin(u) {
		count++
	}
	for range count {
		u.EndAttempt()
	}
	return count
}

// Guards against nodes that together hold more places than a brittle replica has, or fewer.
func TestSharesOfAllNodesAreTheReplicasPlaces(t *testing.T) {
	is := is.New(t)
	const nodes, replicas, places = 7, 50, 10
	var instances []zinniamast.Instance
	for i := range nodes {
		instances = append(instances, zinniamast.Instance{
			ID: fmt.Sprint("node-", i),
		})
	}
	for r := range replicas {
		sum, holders := 0, map[int]int{}
		for _, instance := range instances {
			o := throttle.Owners{
				Node:      instance.ID,
				Members:   blackboard.NewMembers(),
				Instances: func() []zinniamast.Instance { return instances },
			}
			share := o.Share(fmt.Sprint("i-", r))
			sum += share.Of(places)
			for place := range places {
				if share.Holds(place) {
					holders[place]++
				}
			}
		}
		is.Equal(sum, places)
		for place := range places {
			is.Equal(holders[place], 1)
		}
	}
}

// Guards against a node that keeps places for itself of which a dead node holds some.
func TestSharesOfDeadNodesPassOn(t *testing.T) {
	synctest.Test(t, testSharesOfDeadNodesPassOn)
}

func testSharesOfDeadNodesPassOn(t *testing.T) {
	is := is.New(t)
	members := blackboard.NewMembers()
	o := throttle.Owners{
		Node:    "node-1",
		Members: members,
		Instances: func() []zinniamast.Instance {
			return []zinniamast.Instance{
				{
					ID: "node-1",
				},
				{
					ID: "node-2",
				},
			}
		},
	}
	is.Equal(o.Share("i-1").Nodes, 2)
	members.Update("node-2", func(m *blackboard.Member) bool {
		m.Dead = true
		return true
	})
	time.Sleep(time.Second)
	is.Equal(o.Share("i-1").Nodes, 1)
}

// Guards against requests to a brittle replica beyond this node's places, and against restraint that outlasts its need.
func TestBrittleReplicaGetsItsPlacesUntilItIsSound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 2,
		}, 1)
		u := replicas[0]
		is.Equal(begun(node, u), 100)
		node.Answered(u, time.Now(), brittle(3))
		is.True(!node.Limited(service).FreesPlace) // there is a place already
		is.Equal(begun(node, u), 2)                // half of the slots, and half of these
		before := time.Now()
		time.Sleep(time.Second)
		node.Answered(u, time.Now(), brittle(3))
		node.Answered(u, before, zinniamast.Feedback{}) // overtaken by the answer above
		is.Equal(begun(node, u), 2)
		time.Sleep(time.Millisecond)
		node.Answered(u, time.Now(), zinniamast.Feedback{})
		is.Equal(begun(node, u), 100)
	})
}

// Guards against requests that wait for a place that no request of this node frees, or that do not wait for one that does.
func TestOnlyOwnRequestsFreePlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		holder, _, replicas := newService(throttle.Share{
			Nodes: 2,
		}, 1)
		holder.Answered(replicas[0], time.Now(), brittle(3))
		is.True(holder.Begin(replicas[0]))
		is.True(holder.Begin(replicas[0]))
		is.Equal(holder.Limited(service).Blocked, []string{"i-0"})
		is.True(holder.Limited(service).FreesPlace)

		other, _, replicas := newService(throttle.Share{
			Rank:  9,
			Nodes: 10,
		}, 1)
		other.Answered(replicas[0], time.Now(), brittle(3))
		is.Equal(other.Limited(service).Blocked, []string{"i-0"})
		is.True(!other.Limited(service).FreesPlace)
	})
}

// Guards against a flood of a replica that came back after it failed and has not answered yet.
func TestReplicaThatComesBackCountsAsBrittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, upstreams, replicas := newService(throttle.Share{
			Nodes: 2,
		}, 3)
		for _, u := range replicas {
			node.Answered(u, time.Now(), brittle(3))
		}
		upstreams.Remove(replicas[0].Instance.ID)
		time.Sleep(time.Second)
		back := addReplica(upstreams, "i-0")
		is.Equal(begun(node, back), 2)
		node.Answered(back, time.Now(), zinniamast.Feedback{})
		is.Equal(begun(node, back), 100)
	})
}

// Guards against one brittle replica that costs a service the use of its sound ones.
func TestOneBrittleReplicaLeavesOthersUnlimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Rank:  9,
			Nodes: 10,
		}, 4)
		node.Answered(replicas[0], time.Now(), brittle(3))
		time.Sleep(time.Millisecond)
		node.Answered(replicas[1], time.Now(), zinniamast.Feedback{})
		is.Equal(begun(node, replicas[0]), 0)
		for _, u := range replicas[1:] {
			is.Equal(begun(node, u), 100)
		}
	})
}

// Guards against a node that never uses a place again in which a replica rejected a request.
func TestEachPlaceHasItsTurn(t *testing.T) {
	const rejections, allTurns = 3, 22 * time.Second
	for _, slots := range []int{1, 2, 3, 8, 16} {
		for rank := range 6 {
			t.Run(fmt.Sprint(slots, " slots, rank ", rank), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					share := throttle.Share{
						Rank:  rank,
						Nodes: 6,
					}
					node, _, replicas := newService(share, 2)
					u := replicas[0]
					u.Slots = slots
					named := brittle(rejections)
					node.Answered(u, time.Now(), named)
					time.Sleep(5 * time.Second)
					named.Rejected = true
					for node.Begin(u) {
						node.Answered(u, time.Now(), named)
						u.EndAttempt()
					}
					named.Rejected = false
					taken := 0
					for start := time.Now(); time.Since(start) < allTurns; time.Sleep(50 * time.Millisecond) {
						node.Answered(replicas[1], time.Now(), named)
						if node.Begin(u) {
							node.Answered(u, time.Now().Add(time.Millisecond), named)
							taken++
						}
					}
					is.New(t).Equal(taken, share.Of(slots))
				})
			})
		}
	}
}

// Guards against more places in use than replicas bear to reject when their room shrinks, or none of these.
func TestPlacesAreTriedEarlyWithinWhatReplicasBear(t *testing.T) {
	for rejections, expected := range map[int]int{1: 4, 3: 5, 4: 6, 10: 8} {
		t.Run(fmt.Sprint("bears ", rejections), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const nodes = 6
				running := 0
				begins := make([]func() bool, nodes)
				for rank := range nodes {
					node, _, replicas := newService(throttle.Share{
						Rank:  rank,
						Nodes: nodes,
					}, 1)
					node.Answered(replicas[0], time.Now(), brittle(rejections))
					begins[rank] = func() bool {
						begun := node.Begin(replicas[0])
						node.Answered(replicas[0], time.Now(), brittle(rejections))
						return begun
					}
				}
				for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
					for _, begin := range begins {
						if begin() {
							running++
						}
					}
				}
				is.New(t).Equal(running, expected)
			})
		})
	}
}
