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
	// lookInterval is how often the holder looks whether a window is due.
	lookInterval = 500 * time.Millisecond
	// settleTime is how long after a window's end the nodes' counts are there:
	// they write each second.
	settleTime = 2500 * time.Millisecond
	// duePart of the time until a report is due is waited for nodes that have
	// not written; they may be dead, or cut off.
	duePart = 0.65
	// catchUp is how many windows back a new holder begins.
	catchUp = 6
	// queryLimit is how many items one read takes.
	queryLimit = 2000
	// sendTime is what the lease must still last for one report to be sent.
	sendTime = time.Second
	// keepReports is for how many windows reports and items of dead nodes stay.
	keepReports = 24
	// replacedAfter is how many windows behind the newest of its life an item is
	// dropped; until then a write whose answer was lost may still come.
	replacedAfter = 2
	// prunedAtOnce bounds the items removed with one window.
	prunedAtOnce = 50
)

// Lease is the right to report.
type Lease interface {
	// Check returns the fencing number if this node may act for at least need.
	Check(need time.Duration) (uint64, error)
}

// ReporterConfig says what a reporter works with.
type ReporterConfig struct {
	Table  zinniamast.Table
	Clock  Clock
	Lease  Lease
	Duties zinniamast.Duties
	// Window is the length of a window, and Due how long after its end its report is due.
	Window time.Duration
	Due    time.Duration
	// Logger hears of reports; nil means slog's default.
	Logger *slog.Logger
}

// Reporter reports windows while this node holds the lease.
type Reporter struct {
	config ReporterConfig
	// fence is the one under which next was found.
	fence uint64
	// next is the first window that this holder has not sent, and since the one
	// that ran when it became the holder: nobody else can have written a report of
	// that one or a later one, but a holder that follows it.
	next  int64
	since int64
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
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if err := r.look(ctx); err != nil && ctx.Err() == nil {
			r.config.Logger.Warn("usage not reported", "window", r.next, "cause", err)
		}
	}
}

// look sends what is due.
func (r *Reporter) look(ctx context.Context) error {
	fence, err := r.config.Lease.Check(sendTime)
	if err != nil {
		// Somebody else holds the duty.
		return nil
	}
	now, ok := r.config.Clock.Now()
	if !ok {
		return nil
	}
	current := windowOf(now, r.config.Window)
	if fence != r.fence {
		r.fence = fence
		r.next = current - catchUp
		r.since = current
	}
	for r.next < current {
		sent, err := r.window(ctx, r.next, now)
		if err != nil || !sent {
			return err
		}
		r.next++
	}
	return nil
}

// window sends one window's report and says whether it was sent.
func (r *Reporter) window(ctx context.Context, number int64, now time.Time) (bool, error) {
	waited := now.Sub(windowEnd(number, r.config.Window))
	if waited < settleTime {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := r.known(ctx, number)
	if errors.Is(err, zinniamast.ErrNotFound) {
		var whole bool
		report, whole, err = r.add(ctx, number)
		if err != nil || !whole && waited < time.Duration(duePart*float64(r.config.Due)) {
			return false, err
		}
		report, err = r.write(ctx, report)
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

// known returns the report that an earlier holder has written. Where there can
// be none it is not asked for: a write meets what stands there all the same.
func (r *Reporter) known(ctx context.Context, number int64) (zinniamast.UsageReport, error) {
	if number >= r.since {
		return zinniamast.UsageReport{}, zinniamast.ErrNotFound
	}
	return r.written(ctx, number)
}

// written returns the report that stands in the table.
func (r *Reporter) written(ctx context.Context, number int64) (zinniamast.UsageReport, error) {
	var report zinniamast.UsageReport
	item, err := r.config.Table.Get(ctx, reportKey(number))
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(item.Value, &report)
}

// add sums the nodes' counts and says whether all of them are whole.
func (r *Reporter) add(ctx context.Context, number int64) (zinniamast.UsageReport, bool, error) {
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
	whole := true
	nodes := r.newest(items)
	for _, node := range nodes {
		for organisation, count := range node.Windows[name] {
			report.Counts[organisation] += count
		}
		// A node that was silent for windows is dead and will add nothing.
		silent := end-node.ThroughMS > 2*r.config.Window.Milliseconds()
		if node.ThroughMS < end && !node.Stopped && !silent {
			whole = false
		}
	}
	r.prune(ctx, items, nodes, number)
	return report, whole, nil
}

// newest returns the last counts of each life of a node: one life may stand in
// items of several writers.
func (r *Reporter) newest(items []zinniamast.Item) map[string]Counts {
	nodes := map[string]Counts{}
	for _, item := range items {
		var node Counts
		if err := json.Unmarshal(item.Value, &node); err != nil {
			r.config.Logger.Warn("unreadable usage", "item", item.Key.Sort, "cause", err)
			continue
		}
		if known, ok := nodes[node.Node]; !ok || node.Sequence > known.Sequence {
			nodes[node.Node] = node
		}
	}
	return nodes
}

// write puts the report into the table before it is sent.
//
// Failure: a holder sends a report and dies; the next one, which sees counts
// that came later, sends another one for the same window. With the report in
// the table first, every holder sends the one that stands there.
func (r *Reporter) write(ctx context.Context, report zinniamast.UsageReport) (zinniamast.UsageReport, error) {
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
		return r.written(ctx, report.Window)
	}
	return report, err
}

// send sends a report if the lease still lasts.
func (r *Reporter) send(ctx context.Context, report zinniamast.UsageReport) (bool, error) {
	fence, err := r.config.Lease.Check(sendTime)
	if err != nil || fence != r.fence {
		return false, nil
	}
	// Once sent it is waited for, also by a node that stops: the lease is released after it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTime)
	defer cancel()
	if err := r.config.Duties.Report(ctx, fence, report); err != nil {
		return false, err
	}
	r.config.Logger.Info("usage reported", "window", report.Window, "organisations", len(report.Counts), "fence", fence)
	return true, nil
}

// prune removes items of nodes that are long dead or that another item of the
// same life has replaced, and old reports.
func (r *Reporter) prune(ctx context.Context, items []zinniamast.Item, nodes map[string]Counts, number int64) {
	old := windowEnd(number-keepReports, r.config.Window).UnixMilli()
	replaced := replacedAfter * r.config.Window.Milliseconds()
	var removals []zinniamast.Write
	for _, item := range items {
		var node Counts
		if json.Unmarshal(item.Value, &node) != nil || len(removals) == prunedAtOnce {
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
	if report, err := r.config.Table.Get(ctx, reportKey(number-keepReports)); err == nil {
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
		r.config.Logger.Debug("old usage stays for now", "items", len(removals), "cause", err)
	}
}
