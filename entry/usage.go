package entry

import "zinniamast/usage"

// usageName is the RPC service name under which nodes submit their usage counts.
const usageName = "Usage"

// UsageReceiver receives the usage counts of other nodes.
type UsageReceiver struct {
	counter *usage.Counter
}

// Collect adds a node's usage counts.
func (r *UsageReceiver) Collect(counts usage.Counts, _ *struct{}) error {
	return r.counter.Collect(counts)
}
