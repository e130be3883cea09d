package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/lease"
	"zinniamast/standin/platform"
)

// The store's calls are paid for and its rate is bounded: at 91 nodes one pace
// for all candidates but the first made eight looks a second at the lease of a
// holder that is well. With paces by rank they make under five.
func TestManyCandidatesLookRarely(t *testing.T) {
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
		looks := float64(p.Counts().TableReads-before) / 60
		t.Logf("%.1f looks a second", looks)
		check.True(looks < 5)
	})
}
