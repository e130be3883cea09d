package throttle_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/throttle"
)

// Guards against asking nodes for places that these do not hold, while all nodes know each other.
func TestHoldersAreTheNodesWithShares(t *testing.T) {
	is := is.New(t)
	var instances []zinniamast.Instance
	for i := range 9 {
		instances = append(instances, zinniamast.Instance{
			ID: fmt.Sprint("node-", i),
		})
	}
	owners := map[string]*throttle.Owners{}
	for _, instance := range instances {
		owners[instance.ID] = &throttle.Owners{
			Node:      instance.ID,
			Members:   blackboard.NewMembers(),
			Instances: func() []zinniamast.Instance { return instances },
		}
	}
	for i := range 20 {
		replica := fmt.Sprint("i-", i)
		for _, places := range []int{1, 4, 16} {
			holders := owners["node-0"].Holders(replica, places)
			for id, o := range owners {
				holds := id != "node-0" && o.Share(replica).Of(places) > 0
				is.Equal(slices.Contains(holders, id), holds)
			}
		}
	}
}

// Guards against a node that lets other nodes use more places than it holds, or disturbs a rest.
func TestPeersGetUnusedPlacesOnly(t *testing.T) {
	is := is.New(t)
	upstreams := blackboard.NewUpstreams()
	upstream := &blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      "i-1",
			Service: "svc",
		},
		Slots: 8,
	}
	upstreams.Add(upstream)
	node := throttle.New(throttle.Config{
		Upstreams: upstreams,
		Share: func(string) throttle.Share {
			return throttle.Share{
				Nodes: 2,
			}
		},
	})
	is.Equal(len(node.Shared("svc")), 0)
	for range 2 { // this node's half of the places that are used without a trial
		is.Equal(node.UnusedForPeers("svc"), "i-1")
		is.True(node.BeginForPeer(upstream))
	}
	is.True(!node.BeginForPeer(upstream))
	is.Equal(node.UnusedForPeers("svc"), "")
	upstream.EndAttempt()
	is.True(node.BeginForPeer(upstream))
	upstream.EndAttempt()
	upstream.EndAttempt()
	node.Answered(upstream, time.Now(), zinniamast.Feedback{
		Rejected: true,
		RestFor:  time.Minute,
	})
	is.True(!node.BeginForPeer(upstream))
}
