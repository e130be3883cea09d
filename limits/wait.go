package limits

import (
	"time"

	"zinniamast"
)

// maxWaits holds the longest wait before computation starts, by priority class.
// Organisations above their share are admitted up to half of it, so in overload
// the queue settles at that half, and organisations well below their share always
// find room in the other half.
var maxWaits = [...]time.Duration{
	200 * time.Millisecond,
	400 * time.Millisecond,
	20 * time.Second,
}

// deadlineWaitDivisor bounds a wait to 1/deadlineWaitDivisor of the time to the
// deadline.
const deadlineWaitDivisor = 4

func maxWaitFor(ask *zinniamast.Admission, now time.Time) time.Duration {
	wait := maxWaits[classIndex(ask.Priority)]
	if ask.Deadline.IsZero() {
		return wait
	}
	return min(wait, ask.Deadline.Sub(now)/deadlineWaitDivisor)
}

// classCount is the number of priority classes.
const classCount = len(maxWaits)

// classIndex returns the index of the class of a priority.
func classIndex(priority int) int { return min(max(priority, 0), classCount-1) }

// checkShare refuses requests that would wait too long. Capacity counts as short
// when the wait exceeds half of its maximum; organisations above their share are
// then refused first.
func (l *Limiter) checkShare(ask *zinniamast.Admission, forecast *Forecast, now time.Time) *zinniamast.Refusal {
	maxWait := maxWaitFor(ask, now)
	weights := l.accounts.weights(ask.Service)
	class := classIndex(ask.Priority)
	l.accounts.mu.Lock()
	defer l.accounts.mu.Unlock()
	u := &l.accounts.usage
	u.decay(now)
	account := u.account(accountKey{
		service:      ask.Service,
		organisation: ask.Organisation,
	})
	work := forecast.Work.Seconds()
	account.offered[class] += work
	isCapacityShort := forecast.Wait > maxWait/2
	if isCapacityShort {
		u.noteLongWait(ask.Service, class, now)
	}
	if u.starvesLowerClass(ask.Service, class, now) {
		return zinniamast.Refuse(zinniamast.ReasonNoCapacity,
			"requests of another class have waited too long").WithRetryAfter(time.Second)
	}
	if isCapacityShort {
		share := u.shareOf(account.hash, weights)
		if refusal := checkWait(ask, forecast, maxWait, share); refusal != nil {
			return refusal
		}
	}
	account.admitted[class] += work
	u.addAdmitted(account.hash, work)
	return nil
}

// checkWait refuses a request whose wait is longer than its organisation's share
// allows: half of maxWait at or above the share, all of it well below the share.
func checkWait(ask *zinniamast.Admission, forecast *Forecast, maxWait time.Duration, share fairShare) *zinniamast.Refusal {
	allowed := maxWait/2 + time.Duration(float64(maxWait/2)*share.headroom())
	over := forecast.Wait - allowed
	if over <= 0 {
		return nil
	}
	if share.used > share.entitled {
		return zinniamast.Refuse(zinniamast.ReasonOverShare,
			"%s uses more than its share of %s while capacity is short", ask.Organisation, ask.Service).WithRetryAfter(
			roundUpRetryAfter(max(over, share.recoveryTime())))
	}
	return zinniamast.Refuse(zinniamast.ReasonNoCapacity,
		"the request would wait %s", forecast.Wait.Round(time.Millisecond)).WithRetryAfter(roundUpRetryAfter(over))
}
