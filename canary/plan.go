package canary

import (
	"math"
	"time"

	"zinniamast"
)

// stage is a step of a rollout. A rollout goes through the stages in their order, and back
// to stageTrial while the answers of the new version look suspicious.
type stage int

const (
	// stageWaiting waits for replicas of the new version.
	stageWaiting stage = iota
	// stageTrial sends a small share to a few replicas, each of which then has the load of an
	// old one.
	stageTrial
	// stageQuarter, stageHalf and stageWhole send the given share.
	stageQuarter
	stageHalf
	stageWhole
	// stageSealed allows no request to old versions and waits until all nodes have settled.
	stageSealed
	// stageDone ends the rollout.
	stageDone
)

var stageNames = [...]string{"waiting", "trial", "quarter", "half", "whole", "sealed", "done"}

func (s stage) String() string { return stageNames[s] }

const (
	// trialFraction is the part of the permitted exposure that the trial may use, and
	// openingFraction the part of that which it may use in the first openingTime, until the
	// new version is trusted. The rest is spread over the time until the requests must move.
	trialFraction   = 0.32
	openingFraction = 0.6
	openingTime     = 4 * time.Second
	// doubtedFraction is the part of the permitted exposure that the trial may use after that
	// while the answers speak against the new version, and undecidedFraction while they speak
	// for it but are too few to trust it.
	doubtedFraction   = 0.36
	undecidedFraction = 0.46
	// disturbedFraction is the part that it may use while the answers speak against the new
	// version and old replicas fail too: the rest shows more once they have recovered.
	disturbedFraction = 0.24
	// maxTrialShare bounds the share where there are few requests, and minTrialShare keeps
	// some answers coming once the exposure is used.
	maxTrialShare = 0.2
	minTrialShare = 0.005
	// replicaLoad is the load of a replica of the new version in terms of that of an old one
	// by which the number of replicas that take requests is chosen.
	replicaLoad = 1.25
	// minTrialReplicas lets the failure domain of one be left out.
	minTrialReplicas = 3
	// trialTurn is how long the same replicas take the requests of the trial.
	trialTurn = 3 * time.Second
	// minTrial and hurriedTrial are the shortest trials, the second one if time is short.
	minTrial     = 2500 * time.Millisecond
	hurriedTrial = 1500 * time.Millisecond
	// enoughAnswers show a version that fails one in 20 with a probability of 0.95, and
	// fewAnswers suffice if time is short.
	enoughAnswers = 60
	fewAnswers    = 20
	// stageHold and hurriedHold are the shortest times at a share: answers take some time to
	// be counted.
	stageHold   = 1200 * time.Millisecond
	hurriedHold = 800 * time.Millisecond
	// minSpan is the shortest time over which exposure is divided.
	minSpan = 2 * time.Second
	// finishMargin is the time for sealing and for the last write.
	finishMargin = 3 * time.Second
	// idleAfter is how long a service must have had no answers to be moved without any.
	idleAfter = 3 * time.Second
)

// situation is what the plan of a rollout depends on.
type situation struct {
	now      time.Time
	deadline time.Time
	stage    stage
	// since is when the stage began, and answersBefore the new version's answers until then.
	since         time.Time
	answersBefore float64
	// answers is the number of the new version's answers, and isTrusted reports whether they
	// speak for it.
	answers   float64
	isTrusted bool
	// newReady and oldReady are the replicas of the versions that take requests.
	newReady int
	oldReady int
	// rate is the number of answers a second, and idleFor the time without any.
	rate    float64
	idleFor time.Duration
	status  Status
	// within is the time of the whole rollout.
	within time.Duration
	// exposureShare and exposureSlack bound the requests that a bad version may get.
	exposureShare float64
	exposureSlack float64
}

// shiftAt is when the requests must begin to move so that the rollout ends in time.
func (s *situation) shiftAt() time.Time {
	holds := time.Duration(stageWhole-stageTrial) * stageHold
	return s.deadline.Add(-finishMargin - s.status.Standing.Longest - holds)
}

// mustFall reports whether the answers speak against the share that the version has.
func (s *situation) mustFall() bool {
	return s.status.LogRatio >= suspectLog || s.status.Doubts.isDoubted()
}

// mayRise reports whether the answers allow a larger share. Without requests, nothing speaks
// against it.
func (s *situation) mayRise() bool {
	return s.status.LogRatio < suspectLog && (s.isTrusted || s.idleFor >= idleAfter)
}

// mayGoOn reports whether the answers allow the stage after one beyond the trial. Trust is asked
// for again if old replicas have failed.
func (s *situation) mayGoOn() bool {
	hasFailing := s.status.IsDisturbed || s.status.Renewals > 0
	return !hasFailing || s.mayRise()
}

// mustBeRecorded reports whether a leader that starts after the loss of all nodes would go on
// with trust that the version has lost, or could not know how often old replicas usually fail.
func (s *situation) mustBeRecorded(record *zinniamast.RolloutRecord) bool {
	isWithdrawn := record.IsTrusted && !s.isTrusted && s.status.Renewals > 0
	return isWithdrawn || s.status.IsDisturbed && len(record.Usual) == 0 && len(s.status.Usual) > 0
}

// next returns the stage that follows.
func (s *situation) next() stage {
	elapsed := s.now.Sub(s.since)
	isLate := s.now.After(s.shiftAt())
	hold := stageHold
	if isLate {
		hold = hurriedHold
	}
	switch s.stage {
	case stageWaiting:
		if s.newReady >= min(minTrialReplicas, max(s.oldReady, 1)) {
			return stageTrial
		}
	case stageTrial:
		if s.newReady > 0 && isLate && s.mayRise() && s.isTried(elapsed) {
			return stageQuarter
		}
	case stageQuarter, stageHalf:
		if s.mustFall() {
			return stageTrial
		}
		if elapsed >= hold && s.mayGoOn() && s.hasAnswered() && s.newReady >= s.replicas(s.stage+1) {
			return s.stage + 1
		}
	case stageWhole:
		if s.mustFall() {
			return stageTrial
		}
		if elapsed >= hold && s.hasAnswered() && s.status.IsComplete && s.status.Standing.Running == 0 {
			return stageSealed
		}
	case stageSealed:
		standing := s.status.Standing
		if s.status.IsComplete && standing.Running == 0 && standing.Settled == standing.Nodes {
			return stageDone
		}
	}
	return s.stage
}

// isTried reports whether the trial was long enough.
func (s *situation) isTried(elapsed time.Duration) bool {
	switch {
	case elapsed >= minTrial && s.answers >= enoughAnswers:
		return true
	case s.idleFor >= idleAfter:
		return elapsed >= minTrial
	default:
		return elapsed >= hurriedTrial && s.answers >= fewAnswers
	}
}

// hasAnswered reports whether the new version has answered requests at this stage, if there
// were any.
func (s *situation) hasAnswered() bool {
	return s.answers-s.answersBefore >= fewAnswers/2 || s.idleFor >= idleAfter || s.rate < 1
}

// share returns the fraction of the requests for a stage.
func (s *situation) share(at stage) float64 {
	switch at {
	case stageWaiting:
		return 0
	case stageTrial:
		return s.trialShare()
	case stageQuarter:
		return 0.25
	case stageHalf:
		return 0.5
	default:
		return 1
	}
}

// exposure returns the number of requests that a bad version may get.
func (s *situation) exposure() float64 {
	return s.exposureShare*s.rate*s.within.Seconds() + s.exposureSlack
}

// trialShare divides the exposure that the trial may use over the time that it may take.
func (s *situation) trialShare() float64 {
	exposure := s.exposure()
	left := trialFraction*exposure - s.answers
	span := s.shiftAt().Sub(s.now)
	switch elapsed := s.now.Sub(s.since); {
	case s.isTrusted:
	case s.status.IsDisturbed && s.status.Doubts.isDoubted():
		left = disturbedFraction*exposure - s.answers
	case elapsed < openingTime:
		left = openingFraction*trialFraction*exposure - s.answers
		span = openingTime - elapsed
	case s.status.Doubts.isDoubted():
		left = doubtedFraction*exposure - s.answers
	default:
		left = undecidedFraction*exposure - s.answers
	}
	expected := s.rate * max(span, minSpan).Seconds()
	if expected <= 0 {
		return maxTrialShare
	}
	return min(max(left/expected, minTrialShare), maxTrialShare)
}

// hasFailedTrial reports whether the time is up and the answers do not speak for the new
// version, although they may not be enough to condemn it.
func (s *situation) hasFailedTrial() bool {
	return s.stage == stageTrial && s.now.After(s.deadline.Add(-finishMargin)) && !s.mayRise() && s.answers >= fewAnswers
}

// replicas returns the number of replicas of the new version for a stage.
func (s *situation) replicas(at stage) int {
	if at >= stageWhole {
		// The new replicas must bear the whole load before the old ones go.
		return max(1, int(math.Ceil(float64(s.oldReady)/replicaLoad)))
	}
	return max(minTrialReplicas, int(math.Round(s.share(at)*float64(s.oldReady)/replicaLoad)))
}
