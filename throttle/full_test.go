package throttle_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/throttle"
)

// Guards against a replica that is asked again at once after it rejected a request, and one that is shunned once it takes requests.
func TestReplicaThatRejectedIsAskedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node, _, replicas := newService(throttle.Share{
			Nodes: 1,
		}, 2)
		u := replicas[0]
		rejected := zinniamast.Feedback{
			Rejected: true,
		}
		// spareFor returns how long the replica is asked only if no other can.
		spareFor := func() time.Duration {
			began := time.Now()
			for len(node.Limited(service).Spare) > 0 {
				time.Sleep(10 * time.Millisecond)
			}
			return time.Since(began)
		}
		is.Equal(spareFor(), time.Duration(0))
		node.Answered(u, time.Now(), rejected)
		node.Answered(u, time.Now(), rejected) // sent before the first answer came
		is.True(node.Begin(u))
		first := spareFor()
		is.True(first > 0)
		node.Answered(u, time.Now(), rejected)
		is.Equal(spareFor(), 2*first)
		for range 10 {
			node.Answered(u, time.Now(), rejected)
			is.True(spareFor() <= 2*time.Second)
		}
		time.Sleep(time.Millisecond)
		node.Answered(u, time.Now(), zinniamast.Feedback{})
		node.Answered(u, time.Now(), rejected)
		is.Equal(spareFor(), first)
	})
}
