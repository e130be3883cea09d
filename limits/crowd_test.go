package limits_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/limits"
)

// requestKind is a kind of request in a crowd.
type requestKind struct {
	name   string
	amount float64
	rank   int
	// perSecond is how many come in a second.
	perSecond int

	sent, granted int
}

// An organisation sends six times its usual. Its long summaries, the most
// urgent, met an allowance that short labels had just used up: nine in ten were
// refused, while labels, the least urgent, all went through. Summaries now get
// what labels leave, questions and bookings go on nearly untouched, and in a
// quiet second nothing at all is refused.
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
	play := func(seconds int, usual int) {
		random := rand.New(rand.NewPCG(1, 2))
		var order []*requestKind
		for _, k := range kinds {
			k.sent, k.granted = 0, 0
			for range k.perSecond / usual {
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
	share := func(k *requestKind) float64 { return float64(k.granted) / float64(k.sent) }

	for range 4 {
		f.allowances["node-0"].Renew(context.Background())
		f.now = f.now.Add(time.Second) // the pool fills
	}
	play(2, 6)
	for _, k := range kinds {
		check.Equal(k.granted, k.sent)
	}
	play(10, 1)
	for _, k := range kinds {
		t.Logf("%s: %.2f of %d", k.name, share(k), k.sent)
	}
	check.True(share(summary) > 0.2) // 0.06 without
	check.True(share(question) > 0.7)
	check.True(share(booking) > 0.7)
	check.True(share(label) < share(summary))
}
