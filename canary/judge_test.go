package canary_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/canary"
)

// observe plays answers of both versions for a time: one in ten is the new version's, and of
// each version's answers a fraction takes ten times as long. The sums are made as a reader
// makes them.
func (s *selector) observe(length time.Duration, oldSlow, newSlow float64) {
	const perStep = 20
	for i := 0; length > 0; i++ {
		for k := range perStep {
			at := i*perStep + k
			sample := canary.Sample{
				Service:       worldService,
				Route:         "question",
				Version:       oldVersion,
				FailureDomain: fmt.Sprint("domain-", at%3),
				First:         50 * time.Millisecond,
			}
			slow := oldSlow
			if at%10 == 0 {
				sample.Version, slow = newVersion, newSlow
			}
			if float64(at/10%10) < 10*slow {
				sample.First *= 10
			}
			s.Observe(sample)
		}
		s.now = s.now.Add(100 * time.Millisecond)
		length -= 100 * time.Millisecond
		s.SumDomain()
	}
}

// Guards against a slow version that is not told from the old ones because many of their answers are slow too.
func TestSlowVersionIsToldAmongSlowAnswers(t *testing.T) {
	for _, play := range []struct {
		name             string
		oldSlow, newSlow float64
		isCondemned      bool
	}{
		{
			name:        "as the old ones",
			oldSlow:     0.3,
			newSlow:     0.3,
			isCondemned: false,
		},
		{
			name:        "slow",
			oldSlow:     0.3,
			newSlow:     0.9,
			isCondemned: true,
		},
	} {
		t.Run(play.name, func(t *testing.T) {
			s := newOrderedSelector()
			s.observe(8*time.Second, play.oldSlow, play.newSlow)
			is.New(t).Equal(s.Status(worldService, nil).IsCondemned, play.isCondemned)
		})
	}
}

// Guards against a new leader that knows only the newest answers, and so must learn again whether a version is good.
func TestNewLeaderKnowsWhatOthersHaveFound(t *testing.T) {
	check := is.New(t)
	reader := newOrderedSelector()
	reader.observe(20*time.Second, 0.1, 0.1)
	found := reader.Status(worldService, nil)
	check.True(found.Answers >= 350)
	check.True(found.Doubts.Slow <= -2 && found.Doubts.Failures <= -2)

	leader := newOrderedSelector()
	leader.now = reader.now
	leader.ReceiveDomains(reader.Domains(""))
	known := leader.Status(worldService, nil)
	check.True(known.Answers >= 0.9*found.Answers)
	check.Equal(known.Doubts, found.Doubts)
	check.True(known.OwnAnswers < found.Answers/2)

	// What was found some time ago counts no more.
	leader.now = leader.now.Add(5 * time.Second)
	check.True(leader.Status(worldService, nil).Answers < found.Answers/2)
}

// fail plays answers of both versions for a time: one in five is the new version's, and of each
// version's answers every so many fails.
func (s *selector) fail(length time.Duration, oldEvery, newEvery int) {
	const perStep = 20
	for i := 0; length > 0; i++ {
		for k := range perStep {
			at := i*perStep + k
			sample := canary.Sample{
				Service:       worldService,
				Route:         "question",
				Version:       oldVersion,
				FailureDomain: fmt.Sprint("domain-", at%3),
				First:         50 * time.Millisecond,
				IsFailed:      at%oldEvery == 1,
			}
			if at%5 == 0 {
				sample.Version = newVersion
				sample.IsFailed = at/5%newEvery == 1
			}
			s.Observe(sample)
		}
		s.now = s.now.Add(100 * time.Millisecond)
		length -= 100 * time.Millisecond
		s.SumDomain()
	}
}

// Guards against trust in a version after the death of all nodes because its failures are compared with those of old replicas that fail meanwhile.
func TestUsualRatesOutliveAllNodes(t *testing.T) {
	for _, play := range []struct {
		name      string
		usual     []zinniamast.RouteFailures
		isTrusted bool
	}{
		{
			name:      "usual rates not known",
			isTrusted: true,
		},
		{
			name:      "usual rates recorded",
			usual:     healthyRates(t),
			isTrusted: false,
		},
	} {
		t.Run(play.name, func(t *testing.T) {
			check := is.New(t)
			s := newOrderedSelector()
			s.Restore(zinniamast.RolloutRecord{
				Service: worldService,
				Version: newVersion,
				Order:   10,
				State:   zinniamast.RolloutInProgress,
				Usual:   play.usual,
			})
			s.fail(8*time.Second, 6, 12)
			status := s.Status(worldService, nil)
			check.Equal(status.Doubts.Failures <= -2, play.isTrusted)
			check.Equal(status.IsDisturbed, len(play.usual) > 0)
		})
	}
}

// healthyRates returns the usual rates after some seconds in which old replicas hardly fail.
func healthyRates(t *testing.T) []zinniamast.RouteFailures {
	s := newOrderedSelector()
	s.fail(8*time.Second, 500, 500)
	usual := s.Status(worldService, nil).Usual
	is.New(t).Equal(len(usual), 1)
	return usual
}

// Guards against trust from before a disturbance, or from within it, that is never asked for again.
func TestTrustIsAskedForAgainOnceOldReplicasHaveRecovered(t *testing.T) {
	check := is.New(t)
	s := newOrderedSelector()
	s.fail(8*time.Second, 500, 500)
	check.True(s.Status(worldService, nil).Doubts.Failures <= -5)

	// What fails less than failing old replicas gains no trust beside them.
	s.fail(6*time.Second, 6, 12)
	beside := s.Status(worldService, nil)
	check.True(beside.IsDisturbed)
	check.True(beside.Doubts.Failures > 0)

	s.fail(6*time.Second, 500, 500)
	after := s.Status(worldService, nil)
	check.True(!after.IsDisturbed)
	check.Equal(after.Renewals, 1)
}
