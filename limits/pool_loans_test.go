package limits_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniamast/limits"
	"zinniamast/routes"
)

// poolLease is how long a loan lasts, as in package limits.
const poolLease = 2 * time.Second

// loanModel sums what each loan accrues, one by one.
type loanModel struct {
	tokens   float64
	filledAt time.Time
	loans    map[string]loanOfPart
}

type loanOfPart struct {
	part        float64
	from, until time.Time
}

// take renews the loan of a node and takes an amount if the loans have accrued as much. Where they
// have accrued as much but for rounding, it does what the pool did.
func (m *loanModel) take(ask limits.PoolRequest, o *routes.Organisation, now time.Time, isGranted bool) bool {
	for node, l := range m.loans {
		from, until := l.from, l.until
		if from.Before(m.filledAt) {
			from = m.filledAt
		}
		if until.After(now) {
			until = now
		}
		m.tokens += o.Rate * l.part * max(0, until.Sub(from).Seconds())
		if now.After(l.until) {
			delete(m.loans, node)
		}
	}
	m.filledAt = now
	m.tokens = min(m.tokens, o.Burst*m.counted(now))
	l := loanOfPart{
		part:  ask.Part,
		from:  now.Add(ask.Starts),
		until: now.Add(poolLease),
	}
	if old, ok := m.loans[ask.Node]; ok && ask.Starts == 0 {
		l.from = old.from
	}
	m.loans[ask.Node] = l
	part := m.counted(now)
	need := min(ask.Amount, o.Burst*part) // a larger amount leaves a debt
	granted := ask.Amount == 0 || part > 0 && m.tokens >= need
	if part > 0 && math.Abs(m.tokens-need) < 1e-6 {
		granted = isGranted
	}
	if granted {
		m.tokens -= ask.Amount
	}
	return granted
}

// counted returns the sum of the parts that count.
func (m *loanModel) counted(now time.Time) float64 {
	total := 0.0
	for _, l := range m.loans {
		if !now.Before(l.from) {
			total += l.part
		}
	}
	return total
}

// Guards against sums of loans that still hold when one of the loans has begun, has expired or was given another part.
func TestPoolGrantsWhatItsLoansAccrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		o := &routes.Organisation{
			Name:  "acme",
			Rate:  100,
			Burst: 60,
		}
		pool := limits.NewPool(limits.PoolConfig{
			Organisation: func(string) *routes.Organisation { return o },
			IsDomainPool: true, // without a tolerance it grants what has accrued and no more
			Now:          func() time.Time { return now },
		})
		model := loanModel{
			filledAt: now,
			loans:    map[string]loanOfPart{},
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, 10, 70, 500, 1000, 2000, 2500}).Draw(t, "pause") * time.Millisecond)
			ask := limits.PoolRequest{
				Node:         fmt.Sprint("node-", rapid.IntRange(0, 4).Draw(t, "node")),
				Part:         rapid.SampledFrom([]float64{0.1, 0.2}).Draw(t, "part"),
				Starts:       rapid.SampledFrom([]time.Duration{0, 0, 0, 300, 2200}).Draw(t, "starts") * time.Millisecond,
				Organisation: "acme",
				Amount:       rapid.SampledFrom([]float64{0, 0.5, 3, 20}).Draw(t, "amount"),
			}
			answer := pool.Take(ask)
			granted := model.take(ask, o, now, answer.Granted)
			if answer.Granted != granted {
				t.Fatalf("request %d (%+v): granted %v, want %v with %.3f tokens", i, ask, answer.Granted, granted, model.tokens)
			}
		}
	})
}

// BenchmarkPoolTake takes from a pool to which as many nodes lend their parts and renew them.
func BenchmarkPoolTake(b *testing.B) {
	for _, nodes := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(nodes, "_nodes"), func(b *testing.B) {
			now := time.Unix(1000, 0)
			o := &routes.Organisation{
				Name:  "acme",
				Rate:  1000,
				Burst: 1000,
			}
			pool := limits.NewPool(limits.PoolConfig{
				Organisation: func(string) *routes.Organisation { return o },
				Now:          func() time.Time { return now },
			})
			names := make([]string, nodes)
			for i := range names {
				names[i] = fmt.Sprint("node-", i)
			}
			// A request a millisecond, each of the next node.
			for i := range 4000 {
				pool.Take(limits.PoolRequest{
					Node:         names[i%nodes],
					Part:         1 / float64(nodes),
					Organisation: "acme",
				})
				now = now.Add(time.Millisecond)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				pool.Take(limits.PoolRequest{
					Node:         names[i%nodes],
					Part:         1 / float64(nodes),
					Organisation: "acme",
					Amount:       1,
				})
				now = now.Add(time.Millisecond)
			}
		})
	}
}
