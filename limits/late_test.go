package limits_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/limits"
)

// play lets all nodes request amounts at the given times the rate, in turn, for as long.
func (f *fleet) play(length time.Duration, times float64) (granted, requested float64) {
	const step, amount = 10 * time.Millisecond, 20.0
	due := 0.0
	for i := range int(length / step) {
		f.now = f.now.Add(step)
		if i%70 == 0 {
			f.renew()
		}
		for due += times * f.organisation.Rate * step.Seconds(); due >= amount; due -= amount {
			node := f.names[int(requested/amount)%len(f.names)]
			requested += amount
			if f.take(node, amount) {
				granted += amount
			}
		}
	}
	return granted, requested
}

// Guards against granting more than is tolerated while the node of a pool answers some nodes too late, which then lend their parts elsewhere while it still counts them.
func TestAllowanceHoldsWhileItsPoolAnswersLate(t *testing.T) {
	for _, times := range []float64{1.5, 3, 8} {
		for _, every := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%v times the rate, one node of %d", times, every), func(t *testing.T) {
				f := newFleet(12)
				began := f.now
				f.isLate = func(from, to string) bool {
					spell := int(f.now.Sub(began) / (500 * time.Millisecond))
					return spell%6 >= 4 && f.index(from)%every == 0 && f.index(to) < 6+spell%6
				}
				f.play(30*time.Second, times)
				if got := f.maxWindowGrants(); got > f.tolerated() {
					t.Errorf("%.0f granted in one window, %.0f tolerated", got, f.tolerated())
				}
			})
		}
	}
}

// Guards against a used-up allowance whose parts count nowhere, as they move back to a late pool before they count in the new one.
func TestUsedUpAllowanceIsGrantedAfterItsPoolWasLate(t *testing.T) {
	const silence = 2500 * time.Millisecond // until the loans to the late pool have expired
	is := is.New(t)
	for _, late := range newFleet(12).names {
		f := newFleet(12)
		f.play(10*time.Second, 3)
		f.isLate = func(_, to string) bool { return to == late }
		f.play(400*time.Millisecond, 3)
		f.isLate = nil
		const length = 8 * time.Second
		granted, _ := f.play(length, 3)
		is.True(granted >= 0.9*f.organisation.Rate*(length-silence).Seconds())
	}
}

// index returns the number of a node.
func (f *fleet) index(name string) int {
	for i, n := range f.names {
		if n == name {
			return i
		}
	}
	return -1
}

// Guards against refusing an organisation within its allowance when the node of its pool stops answering, also where most nodes seldom ask for it.
func TestAllowanceIsServedAfterItsPoolFallsSilent(t *testing.T) {
	for _, nodes := range []int{12, 60, 250} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(nodes)
			f.play(10*time.Second, 0.55)
			holder := slices.IndexFunc(f.names, func(name string) bool {
				return f.pool(name, false).Take(limits.PoolRequest{
					Organisation: "acme",
				}).Level > 0
			})
			f.partitioned[f.names[holder]] = true
			f.names = slices.Delete(f.names, holder, holder+1)
			granted, requested := f.play(4*time.Second, 0.55)
			is.True(granted >= 0.95*requested)
		})
	}
}

// Guards against granting more than is tolerated when an organisation within its allowance asks for far more just as its pool answers some nodes too late.
func TestAllowanceHoldsWhenDemandRisesAsItsPoolTurnsLate(t *testing.T) {
	const risesAfter, lateFor = 600 * time.Millisecond, time.Second
	for _, lateAfter := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		for _, every := range []int{2, 3} {
			for late := range newFleet(12).names {
				f := newFleet(12)
				f.play(10*time.Second, 0.55)
				began := f.now
				f.isLate = func(from, to string) bool {
					at := f.now.Sub(began) - lateAfter
					return at >= 0 && at < lateFor && f.index(from)%every == 0 && f.index(to) == late
				}
				f.play(risesAfter, 0.55)
				f.play(12*time.Second, 8)
				if got := f.maxWindowGrants(); got > f.tolerated() {
					t.Errorf("late after %v for one node of %d: %.0f granted in one window, %.0f tolerated", lateAfter, every, got, f.tolerated())
				}
			}
		}
	}
}

// BenchmarkAllowanceTake asks another node's pool, with as many nodes on the roster; one of a used-up
// allowance stays with the pool that has its part.
func BenchmarkAllowanceTake(b *testing.B) {
	for _, nodes := range []int{30, 370} {
		for _, times := range []float64{0.5, 3} {
			b.Run(fmt.Sprintf("%d_nodes,_%v_times_the_rate", nodes, times), func(b *testing.B) {
				f := newFleet(nodes)
				f.play(5*time.Second, times)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					f.take(f.names[i%nodes], 0)
				}
			})
		}
	}
}
