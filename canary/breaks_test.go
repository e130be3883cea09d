package canary_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/canary"
)

// lossyStep is the time between two rounds of answers of playLosses, and lossyAnswers is the
// number of the new version's answers in each.
const (
	lossyStep    = 100 * time.Millisecond
	lossyAnswers = 2
)

// answer returns a sample of a replica's answer.
func answer(version string, replica int) canary.Sample {
	return canary.Sample{
		Service:       worldService,
		Route:         "question",
		Replica:       fmt.Sprint(version, "-", replica),
		Version:       version,
		FailureDomain: fmt.Sprint("domain-", replica%3),
		First:         50 * time.Millisecond,
	}
}

// failed returns a sample of a failure of a replica of the new version.
func failed(replica int, failure zinniamast.Failure) canary.Sample {
	sample := answer(newVersion, replica)
	sample.IsFailed, sample.Failure, sample.First = true, failure, 0
	return sample
}

// playLosses plays answers of both versions in steps, and in each step those that extra adds.
// It ends early if the version is condemned. trusted is how long it was trusted.
func (s *selector) playLosses(length time.Duration, extra func(step int) []canary.Sample) (status canary.Status, trusted time.Duration) {
	for step := range int(length / lossyStep) {
		for i := range 9 * lossyAnswers {
			s.Observe(answer(oldVersion, i%4))
		}
		for i := range lossyAnswers {
			s.Observe(answer(newVersion, (step+i)%4))
		}
		for _, sample := range extra(step) {
			s.Observe(sample)
		}
		s.now = s.now.Add(lossyStep)
		s.SumDomain()
		status = s.Status(worldService, nil)
		if status.IsCondemned {
			break
		}
		if status.Doubts.Failures <= -2 {
			trusted += lossyStep
		}
	}
	return status, trusted
}

// Guards against a good version that is not trusted, or condemned, because a replica that crashes or loses its path breaks off many answers at once.
func TestLostReplicasDoNotSpeakAgainstVersion(t *testing.T) {
	for _, play := range []struct {
		name      string
		failure   zinniamast.Failure
		isTrusted bool
	}{
		{
			name:      "connections reset",
			failure:   zinniamast.FailureReset,
			isTrusted: true,
		},
		{
			name:      "answers cut short",
			failure:   zinniamast.FailureCutShort,
			isTrusted: true,
		},
		{
			name:      "answers with errors",
			failure:   zinniamast.FailureError,
			isTrusted: false,
		},
	} {
		t.Run(play.name, func(t *testing.T) {
			check := is.New(t)
			s := newOrderedSelector()
			lost := 0
			status, _ := s.playLosses(8*time.Second, func(step int) (samples []canary.Sample) {
				if step%25 != 20 {
					return nil
				}
				for range 6 {
					samples = append(samples, failed(lost, play.failure))
				}
				lost++
				return samples
			})
			check.Equal(lost, 3)
			check.Equal(status.Doubts.Failures <= -2 && !status.IsCondemned, play.isTrusted)
			if play.isTrusted {
				check.Equal(status.Answers, 8*10.0*lossyAnswers+3*6) // what was lost is a part of the exposure
			}
		})
	}
}

// Guards against one event that counts once for each node, whose attempts it breaks off at the same time.
func TestEventAtSeveralNodesIsOne(t *testing.T) {
	check := is.New(t)
	reader, other := newOrderedSelector(), newOrderedSelector()
	status, _ := reader.playLosses(8*time.Second, func(step int) []canary.Sample {
		if step%25 != 20 {
			return nil
		}
		other.now = reader.now.Add(20 * time.Millisecond)
		other.Observe(failed(step/25, zinniamast.FailureReset))
		reader.ReceiveNode("node-1", other.Report())
		return []canary.Sample{failed(step/25, zinniamast.FailureReset)}
	})
	check.True(status.Doubts.Failures <= -5) // as without the events
}

// Guards against a version that stays trusted although its replicas break off answers or crash, as that is taken for faults of replicas and paths.
func TestVersionThatBreaksOffIsNotTrusted(t *testing.T) {
	for _, play := range []struct {
		name  string
		extra func(step int) []canary.Sample
		// condemned is the time within which the version must be condemned; zero if it need not
		// be.
		condemned time.Duration
	}{
		{
			name: "each second answer breaks off by itself",
			extra: func(step int) []canary.Sample {
				return []canary.Sample{failed(step%4, zinniamast.FailureReset), failed((step+1)%4, zinniamast.FailureCutShort)}
			},
			condemned: 3 * time.Second,
		},
		{
			name: "one of eleven breaks off by itself",
			extra: func(step int) []canary.Sample {
				if step%5 != 4 {
					return nil
				}
				return []canary.Sample{failed(step%4, zinniamast.FailureReset)}
			},
		},
		{
			name: "every twentieth request crashes a replica with three attempts",
			extra: func(step int) []canary.Sample {
				if step%10 != 9 {
					return nil
				}
				lost := failed(step/10%4, zinniamast.FailureReset)
				return []canary.Sample{lost, lost, lost}
			},
		},
	} {
		t.Run(play.name, func(t *testing.T) {
			check := is.New(t)
			s := newOrderedSelector()
			began := s.now
			status, trusted := s.playLosses(15*time.Second, play.extra)
			t.Logf("condemned %v after %v, trusted for %v, log ratio %.1f, doubt %.1f", status.IsCondemned, s.now.Sub(began), trusted, status.LogRatio, status.Doubts.Failures)
			check.True(status.IsCondemned || status.Doubts.Failures > -2)
			check.True(trusted <= 2*time.Second) // the first events do not count
			if play.condemned > 0 {
				check.True(status.IsCondemned)
				check.True(s.now.Sub(began) <= play.condemned)
			}
		})
	}
}

// Guards against a version of which no answer arrives whole and which is taken to have lost all its replicas for long.
func TestVersionWhoseEveryAnswerBreaksOffIsCondemned(t *testing.T) {
	took := map[zinniamast.Failure]time.Duration{}
	for _, failure := range []zinniamast.Failure{zinniamast.FailureError, zinniamast.FailureReset} {
		s := newOrderedSelector()
		began := s.now
		for s.now.Sub(began) < 10*time.Second && !s.Status(worldService, nil).IsCondemned {
			for i := range 9 * lossyAnswers {
				s.Observe(answer(oldVersion, i%4))
			}
			for i := range lossyAnswers {
				s.Observe(failed(i, failure))
			}
			s.now = s.now.Add(lossyStep)
			s.SumDomain()
		}
		took[failure] = s.now.Sub(began)
	}
	t.Log(took)
	is.New(t).True(took[zinniamast.FailureReset] <= took[zinniamast.FailureError]+1500*time.Millisecond)
}
