package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"zinniamast/checker"
)

// Report is the result of a run.
type Report struct {
	Sent             int            `json:"sent"`
	Accepted         int            `json:"accepted"`
	Whole            int            `json:"whole"`
	Late             int            `json:"late"`
	NotRun           int            `json:"not_run"`
	Ran              int            `json:"ran"`
	Unknown          int            `json:"unknown"`
	Lost             int            `json:"lost"`
	Doubled          int            `json:"doubled"`
	NotWhole         int            `json:"not_whole"`
	WrongCaller      int            `json:"wrong_caller"`
	FalseNotRun      int            `json:"false_not_run"`
	FalseRan         int            `json:"false_ran"`
	RefusedByReason  map[string]int `json:"refused_by_reason"`
	RetriedByReason  map[string]int `json:"retried_by_reason"`
	RecomputedTokens int            `json:"recomputed_tokens"`
	FirstTokenMS     Quantiles      `json:"first_token_ms"`
	BetweenTokensMS  Quantiles      `json:"between_tokens_ms"`
	// RunsChecked reports whether runs were checked against the counts of stand-ins.
	RunsChecked bool `json:"runs_checked"`
	// Violations describes the first violations.
	Violations []string `json:"violations"`
	// OK is false if there is any violation.
	OK bool `json:"ok"`
}

// report reads the run counts of the stand-ins and reconciles them with the outcomes.
func (r *runner) report(ctx context.Context) (*Report, error) {
	checked := len(r.config.Standins) > 0
	counted, err := readRuns(ctx, r.config.Standins)
	if err != nil {
		return nil, fmt.Errorf("load: the stand-ins do not say what ran: %w", err)
	}
	v := r.checker.Reconcile(r.ownRuns(counted), r.config.Margin)
	return &Report{
		Sent:             v.Sent,
		Accepted:         v.Accepted,
		Whole:            v.Whole,
		Late:             v.Late,
		NotRun:           v.NotRun,
		Ran:              v.Ran,
		Unknown:          v.Unknown,
		Lost:             v.Lost,
		Doubled:          v.Doubled,
		NotWhole:         v.NotWhole,
		WrongCaller:      v.WrongCaller,
		FalseNotRun:      v.FalseNotRun,
		FalseRan:         v.FalseRan,
		RefusedByReason:  v.RefusedByReason,
		RetriedByReason:  r.retried,
		RecomputedTokens: v.RecomputedTokens,
		FirstTokenMS:     r.first.quantiles(),
		BetweenTokensMS:  r.between.quantiles(),
		RunsChecked:      checked,
		Violations:       append([]string{}, v.Violations...),
		OK:               v.OK(),
	}, nil
}

// ownRuns returns the runs of this run's tasks, without those of other callers of
// the same stand-ins. For a task that no stand-in counts, the runs follow from
// its outcome.
func (r *runner) ownRuns(counted *totalCounts) checker.Runs {
	own := r.checker.ReportedRuns()
	for _, t := range r.tasks {
		if count, ok := counted.runs(t); ok {
			own[t.ID] = count
		}
	}
	return own
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a table for reading.
func (r *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(table, "%s\t%v\n", name, value) }
	row("sent", r.Sent)
	row("accepted", r.Accepted)
	row("whole", r.Whole)
	row("late", r.Late)
	row("not_run", r.NotRun)
	row("ran", r.Ran)
	row("unknown", r.Unknown)
	row("lost", r.Lost)
	row("doubled", r.Doubled)
	row("not_whole", r.NotWhole)
	row("wrong_caller", r.WrongCaller)
	row("false_not_run", r.FalseNotRun)
	row("false_ran", r.FalseRan)
	row("recomputed_tokens", r.RecomputedTokens)
	row("first_token_ms", r.FirstTokenMS.text())
	row("between_tokens_ms", r.BetweenTokensMS.text())
	row("runs_checked", r.RunsChecked)
	writeCounts(row, "refused", r.RefusedByReason)
	writeCounts(row, "retried", r.RetriedByReason)
	for _, violation := range r.Violations {
		row("violation", violation)
	}
	return table.Flush()
}

func writeCounts(row func(string, any), name string, counts map[string]int) {
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		row(name+" "+reason, counts[reason])
	}
}

func (q Quantiles) text() string {
	return fmt.Sprintf("p50=%.3f p95=%.3f p99=%.3f", q.P50, q.P95, q.P99)
}
