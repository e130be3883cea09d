package membership

import "time"

// exchangeRetryDelay is how long an unanswered exchange blocks the next one with the same receiver.
// An exchange that is lost in a partition fails only after exchangeTimeout: a node whose exchanges
// with all members had started just before the end of the partition had no contact for 3 s after it.
// The earlier exchange continues, because answers may take longer than the delay on slow links.
const exchangeRetryDelay = time.Second

// maxRetriesPerHeartbeat bounds the exchanges that a node starts per heartbeat interval beside
// unanswered ones, since a node that is cut off suspects all members of its failure domain.
const maxRetriesPerHeartbeat = 3

// attempts tracks the exchanges with one receiver. Only the end of the last one counts as a failure.
type attempts struct {
	// number is the number of the last exchange, which started at sentAt.
	number int
	sentAt time.Time
	// waitingSince is when the first unanswered exchange started; zero if no answer is awaited.
	waitingSince time.Time
	// unanswered is the data of the exchanges that have not ended, by number.
	unanswered map[int]batch
}

func (a *attempts) waiting() bool { return !a.waitingSince.IsZero() }

// start records a new exchange and returns its number.
func (a *attempts) start(now time.Time, taken batch) int {
	a.number++
	a.sentAt = now
	if a.unanswered == nil {
		a.unanswered = map[int]batch{}
	}
	a.unanswered[a.number] = taken
	if !a.waiting() {
		a.waitingSince = now
	}
	return a.number
}

// answered records the answer to an exchange and returns the data of the earlier ones, which are
// probably lost.
func (a *attempts) answered(number int) (lost []batch) {
	for earlier := range a.unanswered {
		if earlier < number {
			lost = append(lost, a.unanswered[earlier])
			delete(a.unanswered, earlier)
		}
	}
	delete(a.unanswered, number)
	switch {
	case number == a.number:
		a.waitingSince = time.Time{}
	case a.waiting():
		a.waitingSince = a.sentAt
	}
	return lost
}

// failed records the failure of an exchange. It returns its data unless a later exchange was
// answered, and whether it was the last one.
func (a *attempts) failed(number int) (lost batch, isLast bool) {
	lost = a.unanswered[number]
	delete(a.unanswered, number)
	isLast = number == a.number
	if isLast {
		a.waitingSince = time.Time{}
	}
	return lost, isLast
}

// isLate reports whether the answer to the last exchange is overdue.
func (a *attempts) isLate(now time.Time) bool {
	return a.waiting() && now.Sub(a.sentAt) >= exchangeRetryDelay
}

// mayStart reports whether an exchange may start now, and counts a retry; the caller holds the lock.
func (m *Membership) mayStart(a *attempts, now time.Time) bool {
	if !a.waiting() {
		return true
	}
	if !a.isLate(now) || m.retriesLeft == 0 {
		return false
	}
	m.retriesLeft--
	return true
}
