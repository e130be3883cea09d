package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/quarantine"
)

// Guards against clearing a suspect because of an attempt that its replica never ran: a failed dial, a refusal or a cancellation.
func TestOnlyAnsweredAttemptClearsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		defer time.Sleep(time.Second) // for gossip that is still in transit
		attempt := func(replica string, isAnswered bool) {
			c.nodes[1].AttemptStarted(replica, poisonFingerprint)
			c.nodes[1].AttemptEnded(replica, poisonFingerprint, isAnswered)
			time.Sleep(time.Second)
		}
		c.crash(0, "r1")
		attempt("r2", false)
		c.crash(0, "r3")
		is.Equal(c.refusals(), everywhere)

		attempt("r4", true)
		is.Equal(c.refusals(), nowhere)
	})
}

// Guards against taking the crashes of several poison requests for a failure of the domain in which they ran.
func TestThirdCrashHoldsRequestBackWhateverElseCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := quarantine.New(quarantine.Config{
			FailureDomain: func(string) string { return "domain" },
		})
		crash := func(replica string, running ...uint64) {
			for _, fingerprint := range running {
				q.AttemptStarted(replica, fingerprint)
			}
			time.Sleep(time.Second)
			q.ReplicaCrashed(replica)
			for _, fingerprint := range running {
				q.AttemptEnded(replica, fingerprint, false)
			}
		}
		const otherPoison = poisonFingerprint + 1
		for i := range 3 {
			crash(fmt.Sprint("r", i), poisonFingerprint, firstInnocent+uint64(i))
			crash(fmt.Sprint("s", i), otherPoison, firstInnocent+uint64(i))
		}
		_, err := q.Check(poisonFingerprint)
		is.True(err != nil)
		_, err = q.Check(otherPoison)
		is.True(err != nil)
		_, err = q.Check(firstInnocent)
		is.NoErr(err) // it was in two crashes
	})
}

// crashSeenBy runs the poison request at one node and an innocent one at another on the same replica, which crashes.
func (c *cluster) crashSeenBy(node, other int, replica string, innocent uint64) {
	c.nodes[node].AttemptStarted(replica, poisonFingerprint)
	c.nodes[other].AttemptStarted(replica, innocent)
	time.Sleep(50 * time.Millisecond)
	c.nodes[node].ReplicaCrashed(replica)
	c.nodes[other].ReplicaCrashed(replica)
	c.nodes[node].AttemptEnded(replica, poisonFingerprint, false)
	c.nodes[other].AttemptEnded(replica, innocent, false)
}

// Guards against merging successive crashes because a node heard of the first one later than of the second.
func TestLateReportDoesNotMergeSuccessiveCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newDomainCluster()
		defer time.Sleep(time.Second) // for gossip that is still in transit
		c.crashSeenBy(0, 1, "r1", firstInnocent)
		time.Sleep(500 * time.Millisecond)
		c.crashSeenBy(0, 2, "r2", firstInnocent+1)
		time.Sleep(time.Second)
		c.crashSeenBy(0, 2, "r3", firstInnocent+2)
		time.Sleep(time.Second)
		_, err := c.nodes[2].Check(poisonFingerprint)
		is.True(err != nil)
	})
}

// Guards against counting the crashes of copies of a request as successive because a report was late.
func TestLateReportDoesNotSeparateCrashesOfCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newDomainCluster()
		defer time.Sleep(time.Second) // for gossip that is still in transit
		c.crashSeenBy(2, 0, "r1", firstInnocent)
		time.Sleep(250 * time.Millisecond)
		c.crashSeenBy(0, 1, "r2", firstInnocent+1)
		time.Sleep(time.Second)
		c.crashSeenBy(2, 1, "r3", firstInnocent+2)
		time.Sleep(time.Second)
		_, err := c.nodes[2].Check(poisonFingerprint)
		is.NoErr(err) // the first two count once
	})
}
