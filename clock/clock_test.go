package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/clock"
)

// Two of seven machines start while their time of day is 40 minutes wrong, one
// to either side. Every node tells true time all the same.
func TestWrongTimesOfDayAreOutvoted(t *testing.T) {
	check := is.New(t)
	c := &clock.Clock{}
	_, ok := c.Now()
	check.True(!ok)
	c.Heard(50 * time.Second)
	own, ok := c.Own()
	check.True(ok)
	c.Agree([]time.Duration{own - 40*time.Minute, own, own + time.Millisecond, own, own - time.Millisecond, own, own + 40*time.Minute})
	now, ok := c.Now()
	check.True(ok)
	check.True(time.Until(now).Abs() < 50*time.Millisecond)
}

// Answers of the store come late. The least delayed one counts, so that true
// time does not fall behind by the delay of the last.
func TestLateAnswersCountLess(t *testing.T) {
	check := is.New(t)
	c := &clock.Clock{}
	c.Heard(50 * time.Second)
	own, _ := c.Own()
	c.Agree([]time.Duration{own})
	c.Heard(49 * time.Second) // a second late
	now, _ := c.Now()
	check.True(time.Until(now).Abs() < 50*time.Millisecond)
}
