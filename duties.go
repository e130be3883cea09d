package zinniamast

import "context"

// Duties are the calls to the platform that only one node at a time, the lease
// holder, makes. Each carries a fencing number that rises with each holder.
type Duties interface {
	// Report sends the usage of one window. It is idempotent.
	Report(ctx context.Context, fence uint64, report UsageReport) error
	// Scale sets the desired number of replicas in one market. It returns
	// ErrRefused if none are available now.
	Scale(ctx context.Context, fence uint64, order ScaleOrder) error
}

// UsageReport counts the requests that started running in one window.
type UsageReport struct {
	// Window is the window's sequence number, counted from the Unix epoch.
	Window int64 `json:"window"`
	// Counts holds the number of requests by organisation.
	Counts map[string]int `json:"counts"`
}

// ScaleOrder is the desired number of replicas of a service in a failure domain.
type ScaleOrder struct {
	Service       string
	FailureDomain string
	Market        Market
	Count         int
}
