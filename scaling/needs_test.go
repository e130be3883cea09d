package scaling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/scaling"
)

// What is seen: a crowd of two seconds is paid for at 4.5 times the price. It
// needed 150 replicas at its peak and needs 96 five seconds later, when a failure
// domain goes. What is bought dearly follows the need of the last four seconds;
// what is cheap is kept for eight.
func TestPassedCrowdIsNotBoughtDearly(t *testing.T) {
	check := is.New(t)
	needs := scaling.Needs{
		Start: 4 * time.Second,
	}
	start := time.Unix(1000, 0)
	needs.Add(60, 60, start)
	needs.Add(150, 150, start.Add(time.Second))
	needs.Add(150, 150, start.Add(2*time.Second))
	needs.Add(96, 96, start.Add(3*time.Second))
	check.Equal(needs.Least(start.Add(5*time.Second)), 150)
	now := start.Add(7 * time.Second)
	needs.Add(96, 96, now)
	check.Equal(needs.Least(now), 96)
	check.Equal(needs.Wanted(now), 150)
	now = start.Add(13 * time.Second)
	needs.Add(90, 90, now)
	check.Equal(needs.Wanted(now), 96)
}
