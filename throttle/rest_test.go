package throttle_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/throttle"
)

// rests is the feedback of a replica that asks for rest.
func rests(duration time.Duration) zinniamast.Feedback {
	return zinniamast.Feedback{
		Rejected: true,
		RestFor:  duration,
	}
}

// Guards against a rest that an overtaken answer shortens, that outlasts its time, or that another start of the replica inherits.
func TestRestLastsAsLongAsItsReplicaAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, upstreams, replicas := newService(throttle.Share{
			Nodes: 1,
		}, 2)
		u := replicas[0]
		node.Answered(u, time.Now(), rests(3*time.Second))
		node.Answered(u, time.Now(), rests(time.Second))
		node.Answered(u, time.Now(), zinniamast.Feedback{})
		is.Equal(node.Limited(service).Blocked, []string{u.Instance.ID})
		is.True(!node.Begin(u))
		is.True(!node.MayRelay(u))
		is.True(node.Begin(replicas[1]))
		time.Sleep(2999 * time.Millisecond)
		is.True(!node.Begin(u))
		time.Sleep(time.Millisecond)
		is.True(node.Begin(u))
		is.True(node.MayRelay(u))
		node.Relayed(u, rests(time.Minute)) // in answer to another node's request
		is.True(!node.Begin(u))
		upstreams.Remove(u.Instance.ID)
		is.True(node.Begin(addReplica(upstreams, u.Instance.ID)))
	})
}

// Guards against callers that are told to come back while all replicas still rest.
func TestRetryAfterIsTheFirstEndOfRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 1,
		}, 2)
		node.Answered(replicas[0], time.Now(), rests(3*time.Second))
		is.Equal(node.Limited(service).RetryAfter, time.Duration(0)) // the other one takes requests
		node.Answered(replicas[1], time.Now(), rests(2*time.Second))
		is.Equal(node.Limited(service).RetryAfter, 2*time.Second)
	})
}
