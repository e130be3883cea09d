package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"zinniamast"
)

const (
	// pollInterval is how often the lease holder checks whether a window is due.
	pollInterval = 500 * time.Millisecond
	// settleTime is how long after the end of a window the nodes' counts are in the
	// table; nodes write every second.
	settleTime = 2500 * time.Millisecond
	// missingCountsWaitFraction is the fraction of the time until a report is due
	// for which the reporter waits for nodes that have not written. Such nodes may
	// have failed or lost their connection.
	missingCountsWaitFraction = 0.65
	// catchUpWindows is how many windows before the current one a new lease holder
	// starts reporting.
	catchUpWindows = 6
	// queryLimit is the maximum number of items that one query reads.
	queryLimit = 2000
	// sendTimeout bounds the sending of one report; the lease must remain valid for
	// at least that long.
	sendTimeout = time.Second
	// retainedReportWindows is the number of windows for which reports and the items
	// of failed nodes are kept.
	retainedReportWindows = 24
	// replacedAfterWindows is how many windows an item must be older than the newest
	// item of its incarnation to be removed. Until then, a write whose response was
	// lost may still take effect.
	replacedAfterWindows = 2
	// maxPrunedItems bounds the items removed during the processing of one window.
	maxPrunedItems = 50
)

// Lease permits its holder to report usage.
type Lease interface {
	// Check returns the fencing number if this node holds the lease for at least
	// need.
	Check(need time.Duration) (uint64, error)
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Table  zinniamast.Table
	Clock  Clock
	Lease  Lease
	Duties zinniamast.Duties
	// Window is the length of a window, and Due how long after its end its report is due.
	Window time.Duration
	Due    time.Duration
	// Logger receives reports and failures; nil means slog's default.
	Logger *slog.Logger
}

// Reporter reports windows while this node holds the lease.
type Reporter struct {
	config ReporterConfig
	// fence is the fencing number under which nextWindow was set.
	fence uint64
	// nextWindow is the first window that this holder has not reported.
	// acquiredWindow is the window in which it acquired the lease; a report of that
	// window or a later one can only come from this holder or from its successors.
	nextWindow     int64
	acquiredWindow int64
}

// NewReporter returns a reporter; Run starts it.
func NewReporter(config ReporterConfig) *Reporter {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Reporter{
		config: config,
	}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if err := r.reportDueWindows(ctx); err != nil && ctx.Err() == nil {
			r.config.Logger.Warn("reporting usage failed", "window", r.nextWindow, "cause", err)
		}
	}
}

// reportDueWindows sends the reports of all windows that are due, if this node
// holds the lease.
func (r *Reporter) reportDueWindows(ctx context.Context) error {
	fence, err := r.config.Lease.Check(sendTimeout)
	if err != nil {
		// Another node holds the lease.
		return nil
	}
	now, ok := r.config.Clock.Now()
	if !ok {
		return nil
	}
	current := windowOf(now, r.config.Window)
	if fence != r.fence {
		r.fence = fence
		r.nextWindow = current - catchUpWindows
		r.acquiredWindow = current
	}
	for r.nextWindow < current {
		sent, err := r.reportWindow(ctx, r.nextWindow, now)
		if err != nil || !sent {
			return err
		}
		r.nextWindow++
	}
	return nil
}

// reportWindow sends the report of one window and returns whether it was sent.
func (r *Reporter) reportWindow(ctx context.Context, number int64, now time.Time) (bool, error) {
	waited := now.Sub(windowEnd(number, r.config.Window))
	if waited < settleTime {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := r.previousReport(ctx, number)
	if errors.Is(err, zinniamast.ErrNotFound) {
		var complete bool
		report, complete, err = r.sumCounts(ctx, number)
		if err != nil || !complete && waited < time.Duration(missingCountsWaitFraction*float64(r.config.Due)) {
			return false, err
		}
		report, err = r.storeReport(ctx, report)
	}
	if err != nil {
		return false, err
	}
	return r.send(ctx, report)
}

func reportKey(number int64) zinniamast.Key {
	return zinniamast.Key{
		Partition: ReportsPartition,
		Sort:      fmt.Sprintf("%016d", number),
	}
}

// previousReport returns the report stored by an earlier lease holder. It does not
// query the table for windows for which there can be none; storeReport would
// detect an existing report in any case.
func (r *Reporter) previousReport(ctx context.Context, number int64) (zinniamast.UsageReport, error) {
	if number >= r.acquiredWindow {
		return zinniamast.UsageReport{}, zinniamast.ErrNotFound
	}
	return r.storedReport(ctx, number)
}

// storedReport reads the report of a window from the table.
func (r *Reporter) storedReport(ctx context.Context, number int64) (zinniamast.UsageReport, error) {
	var report zinniamast.UsageReport
	item, err := r.config.Table.Get(ctx, reportKey(number))
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(item.Value, &report)
}

// sumCounts sums the counts of all nodes for a window and returns whether all of
// them are complete.
func (r *Reporter) sumCounts(ctx context.Context, number int64) (zinniamast.UsageReport, bool, error) {
	report := zinniamast.UsageReport{
		Window: number,
		Counts: map[string]int{},
	}
	items, err := r.config.Table.Query(ctx, CountsPartition, "", queryLimit)
	if err != nil {
		return report, false, err
	}
	end := windowEnd(number, r.config.Window).UnixMilli()
	name := strconv.FormatInt(number, 10)
	complete := true
	nodes := r.latestCounts(items)
	for _, node := range nodes {
		for organisation, count := range node.Windows[name] {
			report.Counts[organisation] += count
		}
		// A node that has not written for more than two windows is assumed to have
		// failed and to add no more counts.
		silent := end-node.ThroughMS > 2*r.config.Window.Milliseconds()
		if node.ThroughMS < end && !node.Stopped && !silent {
			complete = false
		}
	}
	r.prune(ctx, items, nodes, number)
	return report, complete, nil
}

// latestCounts returns the latest counts of each incarnation of a node; several
// writers may have stored items for the same incarnation.
func (r *Reporter) latestCounts(items []zinniamast.Item) map[string]Counts {
	nodes := map[string]Counts{}
	for _, item := range items {
		var node Counts
		if err := json.Unmarshal(item.Value, &node); err != nil {
			r.config.Logger.Warn("decoding usage counts failed; ignoring item", "item", item.Key.Sort, "cause", err)
			continue
		}
		if known, ok := nodes[node.Node]; !ok || node.Sequence > known.Sequence {
			nodes[node.Node] = node
		}
	}
	return nodes
}

// storeReport writes the report to the table before it is sent, and returns the
// stored one if another holder has written it already.
//
// If a holder sent a report and failed, the next holder would see counts that
// arrived later and send a different report for the same window. As the report
// is stored first, every holder sends the stored one.
func (r *Reporter) storeReport(ctx context.Context, report zinniamast.UsageReport) (zinniamast.UsageReport, error) {
	value, err := json.Marshal(report)
	if err != nil {
		return report, fmt.Errorf("usage: %w", err)
	}
	err = r.config.Table.Write(ctx, []zinniamast.Write{{
		Item: zinniamast.Item{
			Key:   reportKey(report.Window),
			Value: value,
		},
	}})
	if errors.Is(err, zinniamast.ErrConflict) {
		return r.storedReport(ctx, report.Window)
	}
	return report, err
}

// send sends a report if this node still holds the lease under the same fencing
// number.
func (r *Reporter) send(ctx context.Context, report zinniamast.UsageReport) (bool, error) {
	fence, err := r.config.Lease.Check(sendTimeout)
	if err != nil || fence != r.fence {
		return false, nil
	}
	// A stopping node also waits for the call to finish, because it releases the
	// lease afterwards.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
	defer cancel()
	if err := r.config.Duties.Report(ctx, fence, report); err != nil {
		return false, err
	}
	r.config.Logger.Info("usage reported", "window", report.Window, "organisations", len(report.Counts), "fence", fence)
	return true, nil
}

// prune removes the items of nodes that stopped writing long ago, items replaced
// by a newer item of the same incarnation, and old reports.
func (r *Reporter) prune(ctx context.Context, items []zinniamast.Item, nodes map[string]Counts, number int64) {
	old := windowEnd(number-retainedReportWindows, r.config.Window).UnixMilli()
	replaced := replacedAfterWindows * r.config.Window.Milliseconds()
	var removals []zinniamast.Write
	for _, item := range items {
		var node Counts
		if json.Unmarshal(item.Value, &node) != nil || len(removals) == maxPrunedItems {
			continue
		}
		if node.ThroughMS < old || node.ThroughMS < nodes[node.Node].ThroughMS-replaced {
			removals = append(removals, zinniamast.Write{
				Item:   item,
				Delete: true,
				Expect: item.Revision,
			})
		}
	}
	r.remove(ctx, removals)
	if report, err := r.config.Table.Get(ctx, reportKey(number-retainedReportWindows)); err == nil {
		r.remove(ctx, []zinniamast.Write{{
			Item:   report,
			Delete: true,
			Expect: report.Revision,
		}})
	}
}

func (r *Reporter) remove(ctx context.Context, removals []zinniamast.Write) {
	if len(removals) == 0 {
		return
	}
	if err := r.config.Table.Write(ctx, removals); err != nil {
		r.config.Logger.Debug("removing old usage items failed; they are kept until a later attempt", "items", len(removals), "cause", err)
	}
}
