package canary_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
)

// selector is a canary with a clock that the test sets, in front of replicas of two versions.
type selector struct {
	*canary.Canary
	upstreams  *blackboard.Upstreams
	now        time.Time
	knownUntil uint64
}

func newSelector() *selector {
	s := &selector{
		upstreams: blackboard.NewUpstreams(),
		now:       time.Unix(1_800_000_000, 0),
	}
	s.Canary = canary.New(canary.Config{
		Node:          "node-0",
		FailureDomain: "here",
		Upstreams:     s.upstreams,
		KnownUntil:    func() uint64 { return s.knownUntil },
		Now:           func() time.Time { return s.now },
	})
	return s
}

func (s *selector) add(version string, started time.Time, revision uint64, count int) {
	for i := range count {
		s.upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:            fmt.Sprint(version, "-", i),
				Service:       worldService,
				FailureDomain: fmt.Sprint("domain-", i%2),
				Version:       version,
				Started:       started,
			},
			Revision: revision,
		})
	}
}

// share returns the fraction of requests that may go to the new version.
func (s *selector) share() float64 {
	const requests = 2000
	count := 0
	for i := range requests {
		selection := s.Select(canary.Query{
			Service: worldService,
			Request: fmt.Sprint("r-", i),
		})
		if !slices.Contains(selection.AvoidVersions, newVersion) {
			count++
		}
	}
	return float64(count) / requests
}

func (s *selector) grant(share float64, step uint64) canary.Grant {
	return canary.Grant{
		Service:  worldService,
		Version:  newVersion,
		Order:    10,
		Fence:    1,
		Step:     step,
		Share:    share,
		Replicas: 2,
		State:    zinniamast.RolloutInProgress,
	}
}

// newOrderedSelector returns a selector that knows of an order and both versions.
func newOrderedSelector() *selector {
	s := newSelector()
	s.knownUntil = 20
	s.add(oldVersion, s.now.Add(-time.Hour), 1, 4)
	s.add(newVersion, s.now, 12, 4)
	s.SetOrder(zinniamast.RolloutOrder{
		Service:  worldService,
		Version:  newVersion,
		Within:   time.Minute,
		Revision: 10,
	})
	return s
}

// Guards against a node that gives a new version its share before it can know of the order for it.
func TestVersionThatMayBelongToAnOrderGetsNothing(t *testing.T) {
	check := is.New(t)
	s := newSelector()
	s.add(oldVersion, s.now.Add(-time.Hour), 1, 2)
	check.Equal(s.share(), 1.0)
	s.add(newVersion, s.now, 12, 2)
	s.knownUntil = 11
	check.Equal(s.share(), 0.0)
	s.knownUntil = 12
	check.Equal(s.share(), 1.0) // there is no order: both versions serve
}

// Guards against a share without a grant, and one that outlasts the leader's grants.
func TestShareIsGranted(t *testing.T) {
	check := is.New(t)
	s := newOrderedSelector()
	check.Equal(s.share(), 0.0)
	s.Apply(s.grant(0.1, 1))
	check.True(s.share() > 0.07 && s.share() < 0.13)
	s.now = s.now.Add(4 * time.Second)
	check.Equal(s.share(), 0.0)
	s.Apply(s.grant(1, 2))
	check.Equal(s.share(), 1.0)
	s.now = s.now.Add(time.Minute)
	check.Equal(s.share(), 1.0) // old replicas may be about to stop
	s.Apply(s.grant(0.1, 1))
	check.Equal(s.share(), 1.0) // an earlier grant that arrives late
}

// Guards against a trial that is spread thinly over all replicas, and retries that add to it.
func TestTrialUsesFewReplicasAndNoRetries(t *testing.T) {
	check := is.New(t)
	s := newOrderedSelector()
	s.Apply(s.grant(0.5, 1))
	chosen := map[string]bool{}
	for i := range 200 {
		q := canary.Query{
			Service: worldService,
			Request: fmt.Sprint("r-", i),
		}
		selection := s.Select(q)
		for _, id := range selection.Only {
			chosen[id] = true
		}
		if selection.Trial != "" {
			check.True(slices.Contains(selection.WithoutTrial().AvoidVersions, newVersion))
		}
		q.IsRetry = true
		check.True(slices.Contains(s.Select(q).AvoidVersions, newVersion))
	}
	check.Equal(len(chosen), 2)
}

// Guards against a stream that a rollout sends to another version than it began at.
func TestResumedStreamStaysAtItsVersion(t *testing.T) {
	check := is.New(t)
	s := newOrderedSelector()
	s.Apply(s.grant(0, 1))
	selection := s.Select(canary.Query{
		Service: worldService,
		Request: "r-1",
		Resumes: true,
		Version: newVersion,
	})
	check.Equal(len(selection.AvoidVersions), 0)

	// At the whole share old streams still go on, until no node may use old replicas.
	old := canary.Query{
		Service: worldService,
		Request: "r-2",
		Resumes: true,
		Version: oldVersion,
	}
	s.Apply(s.grant(1, 2))
	check.True(!slices.Contains(s.Select(old).AvoidVersions, oldVersion))
	sealed := s.grant(1, 3)
	sealed.IsSealed = true
	s.Apply(sealed)
	check.True(slices.Contains(s.Select(old).AvoidVersions, oldVersion))
}

// Guards against replicas that are not counted, and ordered once more, since a rollout that has ended is taken for one in progress after a restart.
func TestServiceWithOneVersionIsNotMoving(t *testing.T) {
	check := is.New(t)
	s := newOrderedSelector()
	isMoving, carries := s.IsMoving(worldService)
	check.True(isMoving)
	check.True(carries(oldVersion))
	check.True(!carries(newVersion))
	for i := range 4 {
		s.upstreams.Remove(fmt.Sprint(oldVersion, "-", i))
	}
	isMoving, _ = s.IsMoving(worldService)
	check.True(!isMoving)
}

// Guards against a version that comes after a rollout without an order and gets no requests, as if the rollout still went on.
func TestLaterVersionServesAfterARollout(t *testing.T) {
	check := is.New(t)
	s := newOrderedSelector()
	completed := s.grant(1, 2)
	completed.State = zinniamast.RolloutCompleted
	s.Apply(completed)
	s.add("v3", s.now.Add(time.Second), 15, 2)
	for _, isWithdrawn := range []bool{false, true} {
		if isWithdrawn {
			s.SetOrder(zinniamast.RolloutOrder{
				Service:     worldService,
				Revision:    18,
				IsWithdrawn: true,
			})
		}
		selection := s.Select(canary.Query{
			Service: worldService,
			Request: "r-1",
		})
		check.Equal(selection.AvoidVersions, []string{oldVersion})
		check.True(!s.IsActive())
	}
}

// Guards against a version that is tried again, and one that an unknown verdict or order brings back.
func TestCondemnedVersionGetsNothing(t *testing.T) {
	check := is.New(t)
	s := newOrderedSelector()
	s.Apply(s.grant(1, 1))
	rolledBack := s.grant(0, 2)
	rolledBack.State = zinniamast.RolloutRolledBack
	rolledBack.Condemned = []string{newVersion}
	s.Apply(rolledBack)
	check.Equal(s.share(), 0.0)
	s.SetOrder(zinniamast.RolloutOrder{
		Service:  worldService,
		Version:  newVersion,
		Within:   time.Minute,
		Revision: 15,
	})
	check.Equal(s.share(), 0.0)
	selection := s.Select(canary.Query{
		Service: worldService,
		Request: "r-1",
		Resumes: true,
		Version: newVersion,
	})
	check.True(slices.Contains(selection.AvoidVersions, newVersion))
}

// Guards against a service that is down because its only version is one that gets no requests.
func TestOnlyVersionIsUsedAfterAWhile(t *testing.T) {
	check := is.New(t)
	s := newOrderedSelector()
	rolledBack := s.grant(0, 1)
	rolledBack.State = zinniamast.RolloutRolledBack
	rolledBack.Condemned = []string{newVersion}
	s.Apply(rolledBack)
	for i := range 4 {
		s.upstreams.Remove(fmt.Sprint(oldVersion, "-", i))
	}
	check.Equal(s.share(), 0.0) // the old replicas may be back in a moment
	s.now = s.now.Add(11 * time.Second)
	check.Equal(s.share(), 1.0)
}

// Guards against an order that is withdrawn while its version still gets requests.
func TestWithdrawnOrderEndsTheTrial(t *testing.T) {
	check := is.New(t)
	s := newOrderedSelector()
	s.Apply(s.grant(0.5, 1))
	s.SetOrder(zinniamast.RolloutOrder{
		Service:     worldService,
		Revision:    16,
		IsWithdrawn: true,
	})
	check.Equal(s.share(), 0.0)
}
