package demand_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/demand"
)

// A node that receives no loads uses its own for its failure domain. A received
// load replaces it until it expires.
func TestIsolatedNodeUsesItsOwnLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		d := demand.New("burnaby-a")
		for range 12 {
			d.RequestStarted("svc", 300)
		}
		time.Sleep(10 * time.Second)
		check.True(d.Total("svc").Running > 11)
		d.ReceiveDomain("burnaby-a", demand.DomainLoad{
			Loads: demand.Loads{
				"svc": demand.Load{Running: 40},
			},
		})
		d.ReceiveDomain("surrey-b", demand.DomainLoad{
			Loads: demand.Loads{
				"svc": demand.Load{Running: 20},
			},
			Age: time.Second,
		})
		check.Equal(d.Total("svc").Running, 60.0)
		time.Sleep(1200 * time.Millisecond)
		check.Equal(d.Total("svc").Running, 40.0)
		time.Sleep(time.Second)
		check.True(d.Total("svc").Running < 13)
	})
}

// A load that arrives late by another path is older than the known one and must
// not replace it.
func TestOlderReportIsDropped(t *testing.T) {
	check := is.New(t)
	d := demand.New("burnaby-a")
	receive := func(running float64, age time.Duration) {
		d.ReceiveDomain("surrey-b", demand.DomainLoad{
			Loads: demand.Loads{
				"svc": demand.Load{Running: running},
			},
			Age: age,
		})
	}
	receive(20, 0)
	receive(90, time.Second)
	check.Equal(d.Total("svc").Running, 20.0)
}

// The reader's sum counts each node of its failure domain once and drops nodes
// that stopped reporting.
func TestSumOfAFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		d := demand.New("burnaby-a")
		loads := demand.Loads{
			"svc": demand.Load{Running: 5},
		}
		d.ReceiveNode("one", loads)
		d.ReceiveNode("one", loads)
		d.ReceiveNode("two", loads)
		d.SumDomain()
		check.Equal(d.Total("svc").Running, 10.0)
		check.Equal(d.Domains("burnaby-a")["burnaby-a"].Loads["svc"].Running, 10.0)
		time.Sleep(1500 * time.Millisecond)
		d.ReceiveNode("two", loads)
		time.Sleep(time.Second)
		d.SumDomain()
		check.Equal(d.Total("svc").Running, 5.0)
	})
}

// Ten requests run, then sixty more arrive at once. Orders follow the average of
// running requests; if it lags by three seconds, answers are late for that much
// longer than replicas take to start.
func TestLoadJumpIsMeasuredWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		d := demand.New("burnaby-a")
		for range 10 {
			d.RequestStarted("svc", 300)
		}
		time.Sleep(20 * time.Second)
		for range 60 {
			d.RequestStarted("svc", 300)
		}
		time.Sleep(time.Second)
		check.True(d.Total("svc").Running > 45) // 27 with a window of three seconds
		time.Sleep(time.Second)
		check.True(d.Total("svc").Running > 60) // 39 with a window of three seconds
	})
}

// TestLostReportsMakeTheLoadIncomplete guards against the load of some failure domains taken for that of all.
func TestLostReportsMakeTheLoadIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		d := demand.New("burnaby-a")
		check.True(d.IsComplete())
		for _, domain := range []string{"burnaby-a", "surrey-b"} {
			d.ReceiveDomain(domain, demand.DomainLoad{
				Loads: demand.Loads{
					"svc": demand.Load{
						Running: 20,
					},
				},
			})
		}
		check.True(d.IsComplete())
		time.Sleep(1500 * time.Millisecond)
		d.ReceiveDomain("burnaby-a", demand.DomainLoad{})
		check.True(d.IsComplete())
		time.Sleep(time.Second)
		d.ReceiveDomain("burnaby-a", demand.DomainLoad{})
		check.True(!d.IsComplete())
		time.Sleep(40 * time.Second)
		d.ReceiveDomain("burnaby-a", demand.DomainLoad{})
		check.True(d.IsComplete()) // its nodes are gone
	})
}

// TestUnknownDomainIsMissing guards against an unknown load that is read as no load.
func TestUnknownDomainIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		d := demand.New("burnaby-a")
		d.RequestStarted("svc", 300)
		check.Equal(len(d.ByDomain("svc")), 0) // the load of one node is not that of its domain
		for _, domain := range []string{"burnaby-a", "surrey-b"} {
			d.ReceiveDomain(domain, demand.DomainLoad{
				Loads: demand.Loads{
					"svc": demand.Load{
						Running: 20,
					},
				},
			})
		}
		check.Equal(d.ByDomain("svc")["surrey-b"].Running, 20.0)
		idle, isKnown := d.ByDomain("other")["surrey-b"]
		check.True(isKnown)
		check.Equal(idle, demand.Load{})
		time.Sleep(1500 * time.Millisecond)
		d.ReceiveDomain("burnaby-a", demand.DomainLoad{})
		time.Sleep(time.Second)
		_, isKnown = d.ByDomain("svc")["surrey-b"]
		check.True(!isKnown)
		check.Equal(len(d.ByDomain("svc")), 1)
	})
}
