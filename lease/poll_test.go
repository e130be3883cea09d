package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/lease"
	"zinniamast/standin/platform"
)

// Calls to the table are paid for and their rate is bounded. With 91 nodes, one
// poll interval for all candidates but the first led to eight reads a second
// while the holder was healthy; with intervals by rank there are fewer than five.
func TestManyCandidatesPollRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		p := platform.New(platform.Config{})
		const nodes = 91
		for i := range nodes {
			l := lease.New(lease.Config{
				Table:  p.Table,
				Name:   "duties",
				Holder: string(rune('a' + i)),
				Term:   3500 * time.Millisecond,
				Rank:   func() int { return i },
			})
			go l.Run(t.Context())
		}
		time.Sleep(time.Minute)
		before := p.Counts().TableReads
		time.Sleep(time.Minute)
		reads := float64(p.Counts().TableReads-before) / 60
		t.Logf("%.1f reads a second", reads)
		check.True(reads < 5)
	})
}
