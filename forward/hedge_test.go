package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// The first-token target of streams that are hedged, and the time after which they are.
const (
	hedgeTarget = 800 * time.Millisecond
	hedgeAfter  = hedgeTarget / 2
)

// AllowHedge implements forward.HedgeBudget.
func (s *stage) AllowHedge(service string) bool {
	return s.countCharge("asked for a hedge", s.budget.AllowHedge(service))
}

// newHedgeStage returns a stage whose streams are hedged.
func newHedgeStage(t *testing.T, slack float64) *stage {
	s := newStage(t, 2, 0, slack)
	config := configuration()
	config.Version = 2
	for i := range config.Routes {
		config.Routes[i].Timeout = time.Minute
		config.Routes[i].Target = hedgeTarget
		config.Routes[i].PauseTarget = 250 * time.Millisecond
		config.Routes[i].MaxAttempts = 2
		config.Routes[i].Prompted = true
	}
	s.routes.Apply(config)
	s.hedges = s
	s.useRouter(s)
	s.last = staysSilent
	return s
}

// Guards against streams that are late at a busy replica while another one would begin them in time.
func TestLateStreamBeginsAtAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHedgeStage(t, 100)
		defer s.showOnFailure(t)
		s.next = answersWell
		got := s.call(pathResumable, "r-1")
		s.is.Equal(got.status, http.StatusOK)
		s.is.Equal(got.body, events(takeoverEvents))
		s.is.True(got.at < hedgeTarget)
		s.is.Equal(s.arrivals["r-1"], 2)
		s.is.Equal(s.charges, 1)
	})
}

// Guards against a hedge that takes an answer away from the replica that was only late.
func TestLateReplicaAnswersWhateverItsHedgeDoes(t *testing.T) {
	for _, next := range reactions {
		if next == answersWell || next == breaksLater {
			continue // these begin first
		}
		t.Run(fmt.Sprint(next), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHedgeStage(t, 100)
				defer s.showOnFailure(t)
				s.next = next
				s.speaks = hedgeAfter + 200*time.Millisecond
				got := s.call(pathResumable, "r-1")
				synctest.Wait()
				s.is.Equal(got.status, http.StatusOK)
				s.is.Equal(got.body, events(takeoverEvents))
				s.is.True(got.at < hedgeTarget)
				s.is.Equal(s.arrivals["r-1"], 2)
			})
		})
	}
}

// Guards against a stream that ends where its hedge breaks off.
func TestStreamGoesOnAfterItsHedgeBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHedgeStage(t, 100)
		defer s.showOnFailure(t)
		s.next = breaksLater
		got := s.call(pathResumable, "r-1")
		s.is.True(s.arrivals["r-1"] <= 2) // MaxAttempts
		s.is.Equal(got.body, events(eventsUntilBreak))
		s.is.True(got.broken)
	})
}

// Guards against streams that run twice although they must not, and hedges that leave no retries for failures.
func TestStreamsAreHedgedOnlyWhereThatIsAllowed(t *testing.T) {
	for name, play := range map[string]struct {
		path     string
		slack    float64
		arrivals int
	}{
		"resumable": {
			path:     pathResumable,
			slack:    4, // the limit is 3.4
			arrivals: 2,
		},
		"half of the budget used up": {
			path:     pathResumable,
			slack:    2,
			arrivals: 1,
		},
		"not resumable": {
			path:     pathStream,
			slack:    100,
			arrivals: 1,
		},
		"a call": {
			path:     pathSafe,
			slack:    100,
			arrivals: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHedgeStage(t, play.slack)
				defer s.showOnFailure(t)
				s.next = staysSilent
				s.speaks = hedgeAfter + 300*time.Millisecond
				s.call(play.path, "r-1")
				s.is.Equal(s.arrivals["r-1"], play.arrivals)
			})
		})
	}
}
