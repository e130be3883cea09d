package queue

import "time"

// lastTrialTime is how long before the end of its wait a request may try a replica even if it
// cannot be sent again: two looks, so that it has at least one of them.
const lastTrialTime = 2 * lookInterval

// MayTry reports whether the request may try a replica at which this node holds no place, and
// counts the trial. Rejections make trials rarer. hasRetry reports whether a retry is expected
// while the request may wait. Without one, a rejection ends the request, so that only a request that
// would have its turn last, or whose wait ends soon, may try.
func (e *Entry) MayTry(hasRetry bool) bool {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	now := time.Now()
	if now.Before(e.service.trialAt) {
		return false
	}
	if !hasRetry && !e.goesLast() && now.Add(lastTrialTime).Before(e.request.StartBy) {
		return false
	}
	e.isTrial = true
	e.service.trialAt = now.Add(e.service.trialInterval)
	return true
}

// goesLast reports whether at least minBacklog requests wait, and none of them is of a less urgent
// class or, in the same class, of an organisation that has used more.
func (e *Entry) goesLast() bool {
	s := e.service
	if s.waiting < minBacklog {
		return false
	}
	for i := e.class + 1; i < classCount; i++ {
		if s.classes[i].waiting > 0 {
			return false
		}
	}
	usage := e.queue.config.Usage
	used := usage.Used(s.name, e.request.Organisation)
	for organisation := range s.classes[e.class].lines {
		if usage.Used(s.name, organisation) > used {
			return false
		}
	}
	return true
}

// Rejected records that a replica had no place for the request.
func (e *Entry) Rejected() {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	if !e.isTrial {
		return
	}
	e.isTrial = false
	s := e.service
	s.trialInterval = min(max(2*s.trialInterval, minTrialInterval), maxTrialInterval)
	s.trialAt = time.Now().Add(s.trialInterval)
}
