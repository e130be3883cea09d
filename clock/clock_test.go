package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/clock"
)

// Two of seven instances start with a time of day that is wrong by 40 minutes, one
// ahead and one behind. The median still gives true time.
func TestWrongTimesOfDayDoNotChangeMedian(t *testing.T) {
	check := is.New(t)
	c := &clock.Clock{}
	_, ok := c.Now()
	check.True(!ok)
	c.ObserveStoreTime(50 * time.Second)
	own, ok := c.LocalOffset()
	check.True(ok)
	c.SetOffset([]time.Duration{own - 40*time.Minute, own, own + time.Millisecond, own, own - time.Millisecond, own, own + 40*time.Minute})
	now, ok := c.Now()
	check.True(ok)
	check.True(time.Until(now).Abs() < 50*time.Millisecond)
}

// An answer of the store is delayed. The least delayed answer is used, so that true
// time does not fall behind by the delay of the latest one.
func TestDelayedAnswersAreIgnored(t *testing.T) {
	check := is.New(t)
	c := &clock.Clock{}
	c.ObserveStoreTime(50 * time.Second)
	own, _ := c.LocalOffset()
	c.SetOffset([]time.Duration{own})
	c.ObserveStoreTime(49 * time.Second) // a second late
	now, _ := c.Now()
	check.True(time.Until(now).Abs() < 50*time.Millisecond)
}
