package quarantine_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/quarantine"
)

// newDomainCluster returns a cluster whose replicas are all in one failure domain.
func newDomainCluster() *cluster {
	return newClusterWith(quarantine.Config{
		FailureDomain: func(string) string { return "domain" },
	})
}

// Guards against discarding the crashes of a service in one failure domain as repeated evidence from that domain.
func TestThirdCrashInOnlyDomainHoldsRequestBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newDomainCluster()
		defer time.Sleep(time.Second) // for gossip that is still in transit
		c.crash(0, "r1", firstInnocent, firstInnocent+1)
		c.crash(1, "r2", firstInnocent, firstInnocent+2)
		is.Equal(c.refusals(), nowhere)
		c.crash(2, "r3", firstInnocent+1, firstInnocent+2)
		is.Equal(c.refusals(), everywhere)
		for innocent := range uint64(3) {
			_, err := c.nodes[0].Check(firstInnocent + innocent)
			is.NoErr(err) // it was in two crashes
		}
	})
}

// Guards against holding back an innocent request that ran beside the cause of each crash in the only failure domain.
func TestRequestBesideCauseInOnlyDomainIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newDomainCluster()
		defer time.Sleep(time.Second) // for gossip that is still in transit
		for i := range 3 {
			c.crash(i, fmt.Sprint("r", i), firstInnocent)
		}
		is.Equal(c.refusals(), nowhere) // the two cannot be told apart
		c.nodes[0].AttemptStarted("r4", firstInnocent)
		time.Sleep(time.Second)
		c.nodes[0].AttemptEnded("r4", firstInnocent, true)
		time.Sleep(time.Second)
		is.Equal(c.refusals(), everywhere)
		_, err := c.nodes[1].Check(firstInnocent)
		is.NoErr(err)
	})
}

// Guards against leaving the other nodes without the later crashes of a domain with several causes.
func TestCrashesBeyondThirdInDomainAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newDomainCluster()
		defer time.Sleep(time.Second) // for gossip that is still in transit
		const otherPoison = poisonFingerprint + 1
		crash := func(replica string, fingerprint uint64) {
			c.nodes[0].AttemptStarted(replica, fingerprint)
			time.Sleep(time.Second)
			c.nodes[0].ReplicaCrashed(replica)
			c.nodes[0].AttemptEnded(replica, fingerprint, false)
		}
		for i := range 3 {
			crash(fmt.Sprint("r", i), poisonFingerprint)
			crash(fmt.Sprint("s", i), otherPoison)
		}
		time.Sleep(time.Second)
		for _, node := range c.nodes {
			for _, fingerprint := range []uint64{poisonFingerprint, otherPoison} {
				_, err := node.Check(fingerprint)
				is.True(err != nil)
			}
		}
	})
}

// Guards against merging the crashes of a replica that starts again under its ID.
func TestThirdCrashOfRestartedReplicaHoldsRequestBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var starts atomic.Int64
		c := newClusterWith(quarantine.Config{
			FailureDomain: func(string) string { return "domain" },
			Started:       func(string) time.Time { return time.UnixMilli(1 + starts.Load()) },
		})
		defer time.Sleep(time.Second) // for gossip that is still in transit
		for i := range 3 {
			is.Equal(c.refusals(), nowhere)
			c.crash(i, "only", firstInnocent+uint64(i))
			starts.Add(1)
		}
		is.Equal(c.refusals(), everywhere)
		_, err := c.nodes[0].Check(firstInnocent)
		is.NoErr(err)
	})
}

// Guards against counting the reports of several nodes about one crash as several crashes.
func TestReportsOfOneCrashAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newClusterWith(quarantine.Config{
			FailureDomain: func(string) string { return "domain" },
			Started:       func(string) time.Time { return time.UnixMilli(1) },
		})
		defer time.Sleep(time.Second) // for gossip that is still in transit
		for _, node := range c.nodes {
			node.AttemptStarted("only", poisonFingerprint)
		}
		for _, node := range c.nodes {
			node.ReplicaCrashed("only")
			node.AttemptEnded("only", poisonFingerprint, false)
			time.Sleep(time.Second)
		}
		is.Equal(c.refusals(), nowhere)
	})
}
