package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/retry"
)

// fakeClock is a clock that only the test advances.
type fakeClock struct {
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1_800_000_000, 0)} }

func (c *fakeClock) Now() time.Time { return c.now }

const ratio = 0.1

// A service answers no request for a minute; every first attempt fails and asks
// for up to five retries. Retries beyond the budget are refused immediately with
// reason retry_budget. There must be at most 1.1 attempts per request, because
// the retries of all nodes would otherwise prevent the service from recovering.
func TestFullOutageIsNotAmplified(t *testing.T) {
	for _, organisations := range []int{1, 5, 50} {
		t.Run(fmt.Sprintf("%d organisations", organisations), func(t *testing.T) {
			is := is.New(t)
			c := newFakeClock()
			policy := retry.New(retry.Config{
				Seed: 7,
				Now:  c.Now,
			})
			for i := range 600 {
				policy.Started(fmt.Sprint(i%organisations), "booking")
				c.now = c.now.Add(100 * time.Millisecond)
			}
			requests, attempts := 0, 0
			for i := range 600 {
				organisation := fmt.Sprint(i % organisations)
				requests++
				attempts++
				policy.Started(organisation, "booking")
				for n := 1; n <= 5; n++ {
					if _, err := policy.Retry(organisation, "booking", n, ratio); err != nil {
						is.Equal(zinniamast.AsRefusal(err).Reason, zinniamast.ReasonRetryBudget)
						is.True(zinniamast.AsRefusal(err).RetryAfter >= time.Second)
						break
					}
					attempts++
				}
				c.now = c.now.Add(100 * time.Millisecond)
			}
			perRequest := float64(attempts) / float64(requests)
			t.Logf("%d organisations: %.3f attempts per request", organisations, perRequest)
			is.True(perRequest <= 1.1)
		})
	}
}

// One of three replicas crashes while it runs 40 streams. None of them is refused:
// each continues on another replica, because the other replicas answer. Then all
// replicas crash, and Failover is limited by the budget like any retry.
func TestStreamsOfCrashedReplicaAreNotRefused(t *testing.T) {
	is := is.New(t)
	c := newFakeClock()
	policy := retry.New(retry.Config{
		Seed: 7,
		Now:  c.Now,
	})
	for range 60 {
		policy.Started("north", "summary")
		policy.Succeeded("summary")
		c.now = c.now.Add(100 * time.Millisecond)
	}
	for range 40 {
		_, err := policy.Failover("north", "summary", 1, ratio)
		is.NoErr(err)
	}
	requests, attempts := 0, 0
	for range 600 {
		requests++
		attempts++
		policy.Started("north", "summary")
		for n := 1; n <= 5; n++ {
			if _, err := policy.Failover("north", "summary", n, ratio); err != nil {
				break
			}
			attempts++
		}
		c.now = c.now.Add(100 * time.Millisecond)
	}
	perRequest := float64(attempts) / float64(requests)
	t.Logf("%.3f attempts per request in an outage that follows", perRequest)
	is.True(perRequest <= 1.1)
}

// As in TestFullOutageIsNotAmplified, but every attempt takes five seconds to fail,
// so it is unknown for that long that retries do not help. Retries that were
// earned before the outage must not exceed the limit. Callers receive refusals late.
func TestSlowOutageIsNotAmplified(t *testing.T) {
	is := is.New(t)
	c := newFakeClock()
	policy := retry.New(retry.Config{
		Seed: 7,
		Now:  c.Now,
	})
	const step, stepsToFail, length = 100 * time.Millisecond, 50, 600
	for range 600 {
		policy.Started("cedarline", "booking")
		c.now = c.now.Add(step)
	}
	attempts := 0
	// failing maps each step to the numbers of the attempts that fail in it.
	failing := map[int][]int{}
	for i := range length {
		policy.Started("cedarline", "booking")
		attempts++
		failing[i+stepsToFail] = append(failing[i+stepsToFail], 1)
		for _, n := range failing[i] {
			if _, err := policy.Retry("cedarline", "booking", n, ratio); err == nil {
				attempts++
				failing[i+stepsToFail] = append(failing[i+stepsToFail], n+1)
			}
		}
		c.now = c.now.Add(step)
	}
	perRequest := float64(attempts) / length
	t.Logf("%.3f attempts per request", perRequest)
	is.True(perRequest <= 1.1)
}

// A failure domain that runs a third of the streams fails without notice, at high
// and at low traffic. All of these streams ask for a retry at once, and their
// retries succeed, so that callers receive their answers late. The budget must not
// refuse the retries, although they are many times a tenth of the recent requests.
func TestAllRequestsOfLostFailureDomainAreRetried(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     time.Duration
		running int
	}{
		{
			name:    "busy",
			gap:     100 * time.Millisecond,
			running: 120,
		},
		{
			name:    "quiet",
			gap:     5 * time.Second,
			running: 45,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := newFakeClock()
			policy := retry.New(retry.Config{Now: now.Now})
			for i := range 600 {
				policy.Started(fmt.Sprint(i%3), "summary")
				now.now = now.now.Add(c.gap)
			}
			for i := range c.running / 3 {
				_, err := policy.Retry(fmt.Sprint(i%3), "summary", 1, ratio)
				is.NoErr(err)
			}
		})
	}
}

// A replica is reclaimed without notice, and the only request of the last minute
// loses its attempt. No retry has been earned yet, so the reserve must cover it.
func TestReserveCoversRetryOfQuietOrganisation(t *testing.T) {
	is := is.New(t)
	c := newFakeClock()
	policy := retry.New(retry.Config{Now: c.Now})
	policy.Started("atlas", "drafting")
	_, err := policy.Retry("atlas", "drafting", 1, ratio)
	is.NoErr(err)
}

func TestBackoffIsJitteredAndRepeatable(t *testing.T) {
	is := is.New(t)
	draw := func(seed uint64) []time.Duration {
		policy := retry.New(retry.Config{
			Seed: seed,
		})
		policy.Started("cedarline", "booking")
		var waits []time.Duration
		for n := 1; n <= 12; n++ {
			wait, err := policy.Retry("cedarline", "booking", n, 1000)
			is.NoErr(err)
			is.True(wait <= min(50*time.Millisecond<<(n-1), 2*time.Second))
			waits = append(waits, wait)
		}
		return waits
	}
	is.Equal(draw(3), draw(3))
	is.True(fmt.Sprint(draw(3)) != fmt.Sprint(draw(4)))
}

func TestHedgeOnlyIdempotentCallsWithinBudget(t *testing.T) {
	is := is.New(t)
	c := newFakeClock()
	policy := retry.New(retry.Config{Now: c.Now})
	request := retry.HedgeRequest{
		Organisation: "atlas",
		Service:      "stock",
		Ratio:        ratio,
	}
	is.True(!policy.Hedge(request))
	request.Idempotent = true
	hedged := 0
	for range 100 {
		policy.Started("atlas", "stock")
		if policy.Hedge(request) {
			hedged++
		}
	}
	is.True(hedged >= 9)
	is.True(hedged <= 10)
}
