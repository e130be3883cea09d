package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/quarantine"
)

const streamFingerprint = 9

// startWriting starts a request and lets its replica write the answer for a while.
func startWriting(q *quarantine.Quarantine, replica string, fingerprint uint64) {
	q.AttemptStarted(replica, fingerprint)
	q.AttemptWrites(replica, fingerprint)
}

// Guards against holding back a stream because replicas that had been writing it crashed under others.
func TestStreamIsNotHeldBackForCrashesBesideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &hub{}
		var nodes []*quarantine.Quarantine
		for range 2 {
			nodes = append(nodes, quarantine.New(quarantine.Config{
				FailureDomain: domainOfReplica,
				Gossip: &link{
					hub: h,
				},
			}))
		}
		for _, replica := range []string{"a/1", "b/1", "c/1"} {
			startWriting(nodes[0], replica, streamFingerprint)
			nodes[1].AttemptStarted(replica, poisonFingerprint)
			for _, n := range nodes {
				n.ReplicaCrashed(replica)
			}
			nodes[0].AttemptEnded(replica, streamFingerprint, false)
			nodes[1].AttemptEnded(replica, poisonFingerprint, false)
			time.Sleep(2 * time.Second)
		}
		for _, n := range nodes {
			_, err := n.Check(poisonFingerprint)
			is.True(err != nil)
			_, err = n.Check(streamFingerprint)
			is.NoErr(err)
		}
		heard()
	})
}

// Guards against a request that crashes its replicas late and is never held back, as others have always just begun beside it.
func TestRequestThatCrashesReplicasLateIsHeldBack(t *testing.T) {
	for _, isAlone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			q := quarantine.New(quarantine.Config{
				FailureDomain: domainOfReplica,
			})
			crashes := 0
			for crashes < 20 {
				if _, err := q.Check(streamFingerprint); err != nil {
					break
				}
				replica := fmt.Sprintf("%d/1", crashes)
				crashes++
				startWriting(q, replica, streamFingerprint)
				if !isAlone {
					q.AttemptStarted(replica, uint64(1000+crashes))
				}
				q.ReplicaCrashed(replica)
				q.AttemptEnded(replica, streamFingerprint, false)
				if !isAlone {
					q.AttemptEnded(replica, uint64(1000+crashes), false)
				}
				time.Sleep(2 * time.Second)
			}
			if isAlone {
				is.New(t).True(crashes <= maxReplicasLost)
			} else {
				is.New(t).True(crashes <= 5)
			}
		})
	}
}
