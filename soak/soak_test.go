package soak_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/processtest"
	"zinniamast/soak"
)

var (
	seeds    = flag.Int("soak.seeds", 4, "how many seeds are soaked")
	cutSeeds = flag.Int("soak.cutseeds", 1, "how many seeds are soaked with instances that lose their paths")
	// rolloutSeeds is how many seeds are soaked with a rollout of a good and a bad version.
	rolloutSeeds = flag.Int("soak.rolloutseeds", 1, "how many seeds are soaked with rollouts")

	// conditionSeeds is how many seeds are soaked with replicas that are brittle, rest or leave.
	conditionSeeds = flag.Int("soak.conditionseeds", 1, "how many seeds are soaked with brittle, resting and leaving replicas")

	// scarceSeeds is how many seeds are soaked with more requests than slots.
	scarceSeeds = flag.Int("soak.scarceseeds", 1, "how many seeds are soaked with more requests than slots")

	first  = flag.Uint64("soak.first", 1, "the first seed")
	length = flag.Duration("soak.length", 6*time.Second, "how long faults are injected")
	size   = flag.Int("soak.instances", 4, "how many entry instances there are")
)

func TestMain(m *testing.M) {
	code := m.Run()
	processtest.Clean()
	os.Exit(code)
}

// TestSoak sends bookings, lookups and streams while instances are killed, paused,
// stopped and reloaded, the store fails, and replicas misbehave or are silent, with
// several faults at a time. It guards against unsafe requests that run twice,
// refused requests that ran in spite of "not run", answers to another request,
// requests that end without an answer and without an acceptable reason, and a
// deployment that serves fewer than 95 % of requests seconds after the last fault.
func TestSoak(t *testing.T) {
	if testing.Short() {
		*seeds, *length = 1, time.Second
	}
	for i := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed %d", *first+i), func(t *testing.T) {
			check := is.New(t)
			faulty, calmed := soak.Run(t, soak.Config{
				Seed:          *first + i,
				Instances:     *size,
				FaultDuration: *length,
			})
			t.Logf("%d requests, %d served, %d refused, without answer %v; then %d, %d served, without answer %v",
				faulty.Requests, faulty.Served, faulty.Refused, faulty.Unanswered, calmed.Requests, calmed.Served, calmed.Unanswered)
			t.Logf("streams that callers resumed: %d, of which %d went on", faulty.Resumed, faulty.WentOn)
			t.Logf("faults: %v", faulty.Faults)
			for _, line := range append(faulty.Violations, calmed.Violations...) {
				t.Error(line)
			}
			check.True(faulty.Served > 0)
			check.True(float64(calmed.Served) > 0.95*float64(calmed.Requests))
		})
	}
}

// Guards against instances that serve their callers worse than others while only their own paths to the replicas are cut, and the others are paused and reloaded.
func TestSoakOfInstancesWithoutReplicas(t *testing.T) {
	if testing.Short() {
		*length = 2 * time.Second
	}
	for i := range uint64(*cutSeeds) {
		t.Run(fmt.Sprintf("seed %d", *first+i), func(t *testing.T) {
			faulty, calmed := soak.Run(t, soak.Config{
				Seed:          *first + i,
				Instances:     *size,
				FaultDuration: *length,
				OwnPaths:      true,
			})
			t.Logf("%d requests, %d served, %d refused, without answer %v; cut off %d, %d served; then %d, %d served",
				faulty.Requests, faulty.Served, faulty.Refused, faulty.Unanswered, faulty.Cut.Sent, faulty.Cut.Served, calmed.Requests, calmed.Served)
			t.Logf("faults: %v", faulty.Faults)
			for _, line := range append(faulty.Violations, calmed.Violations...) {
				t.Error(line)
			}
			is.New(t).True(float64(calmed.Served) > 0.95*float64(calmed.Requests))
		})
	}
}

// Guards against instances that together send a replica more than the limit that it names, while they are restarted in turn.
func TestNamedLimitHoldsWhileInstancesRestart(t *testing.T) {
	s := soak.RunLimited(t, soak.Config{
		Seed:      *first,
		Instances: *size,
	})
	t.Logf("%d requests, %d served, %d refused, without answer %v; %v", s.Requests, s.Served, s.Refused, s.Unanswered, s.Faults)
	for _, line := range s.Violations {
		t.Error(line)
	}
	reachedInstance := s.Requests - s.Unanswered["not connected"]
	is.New(t).True(float64(s.Served) > 0.95*float64(reachedInstance))
}

// Guards against brittle replicas that fail, rests that are broken and requests to a replica that leaves, while instances are restarted in turn and links are reset.
func TestConditionsOfReplicasHoldWhileInstancesRestart(t *testing.T) {
	for i := range uint64(*conditionSeeds) {
		t.Run(fmt.Sprintf("seed %d", *first+i), func(t *testing.T) {
			s := soak.RunConditions(t, soak.Config{
				Seed:      *first + i,
				Instances: *size,
			})
			t.Logf("%d requests, %d served, %d refused, without answer %v; %v", s.Requests, s.Served, s.Refused, s.Unanswered, s.Faults)
			for _, line := range s.Violations {
				t.Error(line)
			}
			is.New(t).True(s.Served > 0)
		})
	}
}

// Guards against urgent requests that are served less often than bulk ones, starved classes and organisations, and refused requests that ran, while capacity is short, instances are restarted in turn and links are reset.
func TestScarceCapacityIsSharedWhileInstancesRestart(t *testing.T) {
	for i := range uint64(*scarceSeeds) {
		t.Run(fmt.Sprintf("seed %d", *first+i), func(t *testing.T) {
			s := soak.RunScarce(t, soak.Config{
				Seed:      *first + i,
				Instances: *size,
			})
			t.Logf("%d requests, %d served, %d refused, without answer %v; %v", s.Requests, s.Served, s.Refused, s.Unanswered, s.Faults)
			for _, line := range s.Violations {
				t.Error(line)
			}
			is.New(t).True(s.Served > 0)
		})
	}
}

// Guards against requests that share only a part of their prompts and go on crashing replicas, while instances are restarted in turn.
func TestCrashingPartIsHeldBackWhileInstancesRestart(t *testing.T) {
	s := soak.RunCrashingPart(t, soak.Config{
		Seed:      *first,
		Instances: *size,
	})
	t.Logf("%d requests, %d served, %d refused, without answer %v; %v", s.Requests, s.Served, s.Refused, s.Unanswered, s.Faults)
	for _, line := range s.Violations {
		t.Error(line)
	}
	reachedInstance := s.Requests - s.Unanswered["not connected"]
	is.New(t).True(float64(s.Served) > 0.95*float64(reachedInstance))
}

// Guards against a good version that is not completed or costs requests when the old replicas stop, and a bad one that goes on getting requests, while instances are killed, paused, stopped and reloaded and the store fails.
func TestRolloutEndsUnderFaults(t *testing.T) {
	if testing.Short() {
		*length = 2 * time.Second
	}
	for i := range uint64(*rolloutSeeds) {
		for _, isBad := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d bad %v", *first+i, isBad), func(t *testing.T) {
				s := soak.RunRollout(t, soak.Config{
					Seed:          *first + i,
					Instances:     *size,
					FaultDuration: *length,
				}, isBad)
				t.Logf("%d requests, %d served, %d refused, without answer %v", s.Requests, s.Served, s.Refused, s.Unanswered)
				t.Logf("faults: %v", s.Faults)
				for _, line := range s.Violations {
					t.Error(line)
				}
			})
		}
	}
}
