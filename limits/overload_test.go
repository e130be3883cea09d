package limits_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/limits"
)

// requestKind is a kind of request of an overloading organisation.
type requestKind struct {
	name   string
	amount float64
	rank   int
	// perSecond is the number of requests a second in overload.
	perSecond int

	sent, granted int
}

// Guards against small requests starving urgent large ones: an organisation sends
// six times its usual load, and short labels, the least urgent, use up the allowance
// before long summaries, the most urgent, find their amount in it. Without amounts
// kept for urgent requests, nine in ten summaries are refused and all labels are
// granted. At the usual load no request may be refused.
func TestOverloadedAllowanceFavoursUrgentRequests(t *testing.T) {
	check := is.New(t)
	f := newFleet(1)
	f.organisation.Rate = 360_000
	f.organisation.Burst = 360_000
	f.tolerance = limits.Tolerance{
		Window:  8 * time.Second,
		Overage: 0.1,
		Slack:   140_000,
	}
	f.start("node-0")
	summary := &requestKind{
		name:      "summary",
		amount:    18_000,
		rank:      0,
		perSecond: 60,
	}
	question := &requestKind{
		name:      "question",
		amount:    1_100,
		rank:      1,
		perSecond: 100,
	}
	label := &requestKind{
		name:      "label",
		amount:    2_400,
		rank:      2,
		perSecond: 110,
	}
	booking := &requestKind{
		name:      "booking",
		amount:    200,
		rank:      2,
		perSecond: 30,
	}
	kinds := []*requestKind{summary, question, label, booking}
	send := func(seconds int, divisor int) {
		random := rand.New(rand.NewPCG(1, 2))
		var order []*requestKind
		for _, k := range kinds {
			k.sent, k.granted = 0, 0
			for range k.perSecond / divisor {
				order = append(order, k)
			}
		}
		for range seconds {
			random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			for _, k := range order {
				f.now = f.now.Add(time.Second / time.Duration(len(order)))
				_, granted := f.allowances["node-0"].Take(context.Background(), &f.organisation, k.amount, k.rank)
				k.sent++
				if granted {
					k.granted++
				}
			}
		}
	}
	grantedFraction := func(k *requestKind) float64 { return float64(k.granted) / float64(k.sent) }

	for range 4 {
		f.allowances["node-0"].Renew(context.Background())
		f.now = f.now.Add(time.Second) // the pool fills
	}
	send(2, 6)
	for _, k := range kinds {
		check.Equal(k.granted, k.sent)
	}
	send(10, 1)
	for _, k := range kinds {
		t.Logf("%s: %.2f of %d granted", k.name, grantedFraction(k), k.sent)
	}
	check.True(grantedFraction(summary) > 0.2) // 0.06 without kept amounts
	check.True(grantedFraction(question) > 0.7)
	check.True(grantedFraction(booking) > 0.7)
	check.True(grantedFraction(label) < grantedFraction(summary))
}
