package capacitypage_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleNode measures the resources that a whole node uses without
// requests, for several numbers of nodes and of listed upstreams. The figures
// include the cost of the stand-ins and the platform's side of each call. Run it
// with -benchtime 1x; one case takes about twelve seconds.
func BenchmarkIdleNode(b *testing.B) {
	cases := []struct{ nodes, upstreams int }{
		{nodes: 3, upstreams: 10},
		{nodes: 9, upstreams: 10},
		{nodes: 18, upstreams: 10},
		{nodes: 36, upstreams: 10},
		{nodes: 3, upstreams: 100},
		{nodes: 3, upstreams: 1000},
		{nodes: 3, upstreams: 5700},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("nodes=%d/upstreams=%d", c.nodes, c.upstreams), func(b *testing.B) {
			baseHeap := heapBytes()
			cluster := newTestCluster(b, c.nodes, c.upstreams)
			for b.Loop() {
				cluster.measure(b, baseHeap)
			}
		})
	}
}

func (c *testCluster) measure(b *testing.B, baseHeap int64) {
	list, cloud, reports := c.listListener.bytes.Load(), c.cloudListener.bytes.Load(), c.engineListener.bytes.Load()
	requests, reads, used := c.engineRequests.Load(), c.listReads.Load(), cpuTime()
	time.Sleep(measureWindow)
	nodeSeconds := measureWindow.Seconds() * float64(len(c.nodes))
	b.ReportMetric(100*(cpuTime()-used).Seconds()/nodeSeconds, "core-%/node")
	b.ReportMetric(float64(c.listListener.bytes.Load()-list)/nodeSeconds, "list-B/s/node")
	b.ReportMetric(float64(c.listReads.Load()-reads)/measureWindow.Seconds(), "list-reads/s")
	b.ReportMetric(float64(c.cloudListener.bytes.Load()-cloud)/nodeSeconds, "cloud-B/s/node")
	b.ReportMetric(float64(c.engineListener.bytes.Load()-reports)/measureWindow.Seconds(), "report-B/s")
	b.ReportMetric(float64(c.engineRequests.Load()-requests)/measureWindow.Seconds(), "reports/s")
	b.ReportMetric(float64(heapBytes()-baseHeap)/float64(len(c.nodes))/(1<<20), "heap-MiB/node")
}
