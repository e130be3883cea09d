package experiment

import "time"

// Scenario describes a fleet, its load and the faults that occur during a run.
type Scenario struct {
	Name  string
	Kinds []Kind
	// Load multiplies the rates of all kinds.
	Load float64
	// Replicas is the total number of replicas; SlowReplicas of them are of the slow class.
	Replicas     int
	SlowReplicas int
	// Nodes is the number of routing nodes, and Domains the number of failure
	// domains over which nodes and replicas are spread.
	Nodes   int
	Domains int
	// Length is how long requests arrive; those during the first Warmup are not measured.
	Length time.Duration
	Warmup time.Duration
	// GossipDelay is how long a gossip item takes between nodes.
	GossipDelay time.Duration
	// ReportLag is the age of load reports when nodes read them.
	ReportLag time.Duration
	// EventLag is the delay of cache events; every EventGap-th event is lost.
	EventLag time.Duration
	EventGap int
	// ReclaimAt is when a whole failure domain receives its reclaim notice; zero
	// means never. Replacements with empty caches start ReplaceAfter later than
	// the replicas are removed.
	ReclaimAt    time.Duration
	ReplaceAfter time.Duration
	// RestartEvery is the interval at which one replica after another restarts
	// with an empty cache; zero means never.
	RestartEvery time.Duration
	// BurstAt is when the largest organisation begins to send BurstFactor times as many requests.
	BurstAt     time.Duration
	BurstFactor float64
	// FloodAt is when bulk requests begin to arrive FloodFactor times as often.
	FloodAt     time.Duration
	FloodFactor float64
	// Limits enables admission by package limits under the Zinniamast policy.
	Limits bool
}

// baseScenario returns the settings that all scenarios start from.
func baseScenario(name string, kinds []Kind, replicas int) Scenario {
	return Scenario{
		Name:        name,
		Kinds:       kinds,
		Load:        1,
		Replicas:    replicas,
		Nodes:       4,
		Domains:     4,
		Length:      150 * time.Second,
		Warmup:      50 * time.Second,
		GossipDelay: 300 * time.Millisecond,
		ReportLag:   time.Second,
		EventLag:    2 * time.Second,
		EventGap:    10,
	}
}

// FullSize is one failure domain of a fleet of 5,700 replicas and 370 nodes in
// 14 failure domains. It takes some minutes and runs only when selected by name.
func FullSize() Scenario {
	full := baseScenario("full_size_domain", Cedarline(), 400)
	full.Nodes = 26
	full.Domains = 1
	full.Load = 400.0 / 12
	for i := range full.Kinds {
		full.Kinds[i].Documents *= 400 / 12
	}
	full.Length = 60 * time.Second
	full.Warmup = 30 * time.Second
	return full
}

// Scenarios lists the scenarios that run by default.
func Scenarios() []Scenario {
	cedarline := baseScenario("cedarline_day", Cedarline(), 12)
	atlas := baseScenario("atlas_day", Atlas(), 9)
	atlas.Load = 2.2

	mixed := baseScenario("mixed_speeds", Cedarline(), 14)
	mixed.SlowReplicas = 7

	reclaim := baseScenario("domain_reclaimed", Cedarline(), 16)
	reclaim.ReclaimAt = 80 * time.Second
	reclaim.ReplaceAfter = 30 * time.Second

	stale := baseScenario("stale_reports", Cedarline(), 12)
	stale.ReportLag = 5 * time.Second
	stale.EventLag = 10 * time.Second
	stale.EventGap = 2

	restarts := baseScenario("restart_storm", Cedarline(), 14)
	restarts.RestartEvery = 4 * time.Second

	flood := baseScenario("bulk_flood", Cedarline(), 14)
	flood.FloodAt = 60 * time.Second
	flood.FloodFactor = 3

	burst := baseScenario("one_bursts", Cedarline(), 12)
	burst.BurstAt = 60 * time.Second
	burst.BurstFactor = 5
	burst.Limits = true

	return []Scenario{cedarline, atlas, mixed, reclaim, stale, restarts, flood, burst}
}
