package scaling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/scaling"
)

// A peak of two seconds needs 150 replicas; five seconds later, when a failure
// domain is reclaimed, the need is 96. Replacing the lost replicas by the need of
// the peak would pay 4.5 times the price for on-demand ones. The required number
// follows the need of the last four seconds, the desired one that of the last
// eight.
func TestPassedPeakIsNotBoughtOnDemand(t *testing.T) {
	check := is.New(t)
	needs := scaling.NeedHistory{
		BootTime: 4 * time.Second,
	}
	start := time.Unix(1000, 0)
	needs.Add(60, 60, start)
	needs.Add(150, 150, start.Add(time.Second))
	needs.Add(150, 150, start.Add(2*time.Second))
	needs.Add(96, 96, start.Add(3*time.Second))
	check.Equal(needs.Required(start.Add(5*time.Second)), 150)
	now := start.Add(7 * time.Second)
	needs.Add(96, 96, now)
	check.Equal(needs.Required(now), 96)
	check.Equal(needs.Desired(now), 150)
	now = start.Add(13 * time.Second)
	needs.Add(90, 90, now)
	check.Equal(needs.Desired(now), 96)
}
