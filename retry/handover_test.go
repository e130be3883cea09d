package retry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/retry"
)

// Guards against a process that repeats sends although the one before it has used up the limit.
func TestTakenOverSendsStayInTheWindow(t *testing.T) {
	check := is.New(t)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	first := one(0, 12, 10*time.Second, clock) // 0.85 x 12 is 10.2.
	for range 10 {
		check.True(first.AllowRetry("svc"))
	}
	handover := first.HandOver()
	now = now.Add(4 * time.Second)
	check.True(!first.AllowRetry("svc"))
	next := one(0, 12, 10*time.Second, clock)
	next.TakeOver(handover, 4*time.Second)
	check.True(!next.AllowRetry("svc"))
	wait, ok := next.RetryWait("svc")
	check.True(ok)
	check.Equal(wait, 7*time.Second) // The slot of a send stays as long as a part of it is within the window.
	now = now.Add(wait)
	check.True(next.AllowRetry("svc"))
}

// Guards against a process that gets its limit back earlier than the one that handed it over.
func TestTakenOverNodeWaitsAsItsPredecessorDid(t *testing.T) {
	check := is.New(t)
	now := time.Unix(1000, 0)
	config := retry.WindowConfig{
		Slack:      20,
		Window:     10 * time.Second,
		Nodes:      func() int { return 1 },
		SharedFrom: func() time.Time { return time.Unix(1008, 0) },
		Now:        func() time.Time { return now },
	}
	first := retry.NewWindow(config)
	now = now.Add(2 * time.Second)
	handover := first.HandOver()
	now = now.Add(3 * time.Second)
	config.SharedFrom = func() time.Time { return time.Unix(1100, 0) }
	next := retry.NewWindow(config)
	next.TakeOver(handover, 3*time.Second)
	check.True(!next.AllowRetry("svc"))
	now = time.Unix(1008, 0)
	check.True(next.AllowRetry("svc"))
}

// Guards against a handover that a second process takes, or one that did not follow.
func TestHandoverIsTakenOnceByTheNextProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		keeper := retry.NewKeeper(10 * time.Second)
		handover := one(0, 1, 10*time.Second, nil).HandOver()
		take := func(node string, process uint64) bool {
			_, _, ok := keeper.Take(node, process)
			return ok
		}
		keeper.Put("edge-1", 7, handover)
		check.True(!take("edge-2", 7))
		time.Sleep(4 * time.Second)
		_, age, ok := keeper.Take("edge-1", 7)
		check.True(ok)
		check.Equal(age, 4*time.Second)
		check.True(!take("edge-1", 7))
		keeper.Put("edge-1", 8, handover)
		check.True(!take("edge-1", 9))
		check.True(!take("edge-1", 8))
		keeper.Put("edge-1", 10, handover)
		time.Sleep(10*time.Second + 1)
		check.True(!take("edge-1", 10))
	})
}
