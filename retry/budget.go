package retry

import (
	"math"
	"time"
)

// decayingCounts counts attempts with a weight that decays exponentially with
// their age.
type decayingCounts struct {
	window  time.Duration
	started float64
	retried float64
	updated time.Time
}

// decay applies the decay since the last update.
func (c *decayingCounts) decay(now time.Time) {
	factor := decayFactor(now.Sub(c.updated), c.window)
	c.started *= factor
	c.retried *= factor
	c.updated = now
}

// decayFactor returns the fraction of a count that remains after the elapsed time.
func decayFactor(elapsed, window time.Duration) float64 {
	return math.Exp(-max(0, float64(elapsed)) / float64(window))
}

// allows reports whether the counts permit one more retry.
func (c *decayingCounts) allows(ratio, reserve float64) bool {
	return c.retried+1 <= c.started*ratio+reserve
}

const (
	// longWindow is the decay time of earned retries while retries help. A failure
	// domain that fails ends the streams of many seconds at once, and each of them
	// must be retried.
	longWindow = 30 * time.Second
	// shortWindow is the decay time of earned retries while retries do not help.
	shortWindow = 10 * time.Second
	// ineffectiveEarningRatio is the fraction of the usual earning that a first
	// attempt adds while retries do not help. Retries that were earned before an
	// outage are also spent in it, and both together must stay below the ratio.
	ineffectiveEarningRatio = 0.3
)

// budget counts first attempts, which earn retries, and retries in both windows.
type budget struct {
	long  decayingCounts
	short decayingCounts
}

func newBudget(now time.Time) *budget {
	return &budget{
		long: decayingCounts{
			window:  longWindow,
			updated: now,
		},
		short: decayingCounts{
			window:  shortWindow,
			updated: now,
		},
	}
}

func (b *budget) decay(now time.Time) {
	b.long.decay(now)
	b.short.decay(now)
}

func (b *budget) countStarted() {
	b.long.started++
	b.short.started++
}

func (b *budget) countRetried() {
	b.long.retried++
	b.short.retried++
}

// allows reports whether the budget covers one more retry. While retries do not
// help, there is no reserve, and first attempts earn less and only in the short
// window.
func (b *budget) allows(ratio, reserve float64, retriesHelp bool) bool {
	if retriesHelp {
		return b.long.allows(ratio, reserve)
	}
	return b.short.allows(ratio*ineffectiveEarningRatio, 0)
}

// Limits of the RetryAfter of refusals.
const (
	minRetryAfter = time.Second
	// maxRetryAfter is short because a caller that sends its request again makes a
	// first attempt, which the budget does not limit. Waiting longer would only make
	// it miss its deadline.
	maxRetryAfter = 2 * time.Second
)

// timeToNextRetry returns the time in which the budget earns one retry at its
// current rate.
func (b *budget) timeToNextRetry(ratio float64) time.Duration {
	perSecond := b.short.started * ratio / shortWindow.Seconds()
	if perSecond <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(float64(time.Second) / perSecond)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// retryEffect measures whether retries help at a service, by counting how many of
// the allowed retries failed and needed another one. It distinguishes a service
// that is down from one that lost some replicas, no matter how many requests were
// running on them.
type retryEffect struct {
	allowed float64
	failed  float64
	updated time.Time
}

const (
	// effectMinRetries is the number of allowed retries from which the share of
	// failed ones is meaningful.
	effectMinRetries = 4
	// effectMaxFailedShare is the share of failed retries from which retries do not
	// help.
	effectMaxFailedShare = 0.5
)

func (e *retryEffect) decay(now time.Time) {
	factor := decayFactor(now.Sub(e.updated), shortWindow)
	e.allowed *= factor
	e.failed *= factor
	e.updated = now
}

// retriesHelp reports whether retries help. The share of failed retries is computed
// over at least effectMinRetries, so that a few failures at low traffic do not make
// the reserve unavailable.
func (e *retryEffect) retriesHelp() bool {
	return e.failed < effectMaxFailedShare*max(e.allowed, effectMinRetries)
}
