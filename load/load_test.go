package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/load"
)

const refusalWithRetry = `{"error":{"message":"come back","type":"unavailable","reason":"no_capacity","ran":"not_run","retry_after_ms":10}}`

const refusalWithoutRetry = `{"error":{"message":"no","type":"unavailable","reason":"no_capacity","ran":"not_run"}}`

// run sends traffic to a fake node for 300 ms.
func run(t *testing.T, node *fakeNode, mix string) *load.Report {
	t.Helper()
	is := is.New(t)
	server := httptest.NewServer(node)
	t.Cleanup(server.Close)
	weights, err := load.ParseMix(mix)
	is.NoErr(err)
	report, err := load.Run(context.Background(), load.Config{
		Targets:     []string{server.URL},
		Standins:    []string{server.URL},
		Keys:        []string{"one", "two"},
		Rate:        60,
		Duration:    300 * time.Millisecond,
		Seed:        7,
		Mix:         weights,
		Deadline:    3 * time.Second,
		Margin:      time.Second,
		IdleTimeout: 300 * time.Millisecond,
		Answer:      fakeAnswer,
	})
	is.NoErr(err)
	return report
}

const everyKind = "summary=1,question=2,triage=2,lookup=2,booking=2"

// TestWhole checks that every answer of a node without faults is whole and counted.
func TestWhole(t *testing.T) {
	is := is.New(t)
	report := run(t, newFakeNode(), everyKind)
	is.Equal(report.Violations, []string{})
	is.True(report.OK)
	is.Equal(report.Sent, 18)
	is.Equal(report.Whole, 18)
	is.True(report.RunsChecked)
	is.True(report.RecomputedTokens > 0)
	is.True(report.FirstTokenMS.P50 > 0)

	var table, document bytes.Buffer
	is.NoErr(report.WriteTable(&table))
	is.NoErr(report.WriteJSON(&document))
	fields := map[string]any{}
	is.NoErr(json.Unmarshal(document.Bytes(), &fields))
	for _, name := range []string{
		"accepted", "whole", "late", "not_run", "unknown", "lost", "doubled", "refused_by_reason",
		"recomputed_tokens", "first_token_ms", "between_tokens_ms",
	} {
		_, ok := fields[name]
		is.True(ok)
		is.True(bytes.Contains(table.Bytes(), []byte(name)) || name == "refused_by_reason")
	}
}

// TestRetries breaks or refuses each caller's first try. The caller must retry
// under the same key and receive a whole answer without any part of the broken
// stream.
func TestRetries(t *testing.T) {
	cases := map[string]func(*fakeNode){
		"stream breaks":                         func(f *fakeNode) { f.cutFirst = true },
		"stream ends without its finish reason": func(f *fakeNode) { f.cutFirst, f.cutCleanly = true, true },
		"no answer":                             func(f *fakeNode) { f.hangFirst = true },
		"refused with a retry delay":            func(f *fakeNode) { f.refuseFirst = refusalWithRetry },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			node := newFakeNode()
			change(node)
			report := run(t, node, everyKind)
			is.Equal(report.Violations, []string{})
			is.True(report.OK)
			is.Equal(report.Whole, report.Sent)
		})
	}
}

// TestFirstSendingHeader books while the table is unavailable, through a node
// that returns "not run" only for requests marked as first sending: every refusal
// must be not_run. If connections close instead, callers and net/http itself send
// keys again. No retry may carry the mark, or a booking that ran could be
// reported as not run.
func TestFirstSendingHeader(t *testing.T) {
	is := is.New(t)
	node := newFakeNode()
	node.isStoreDown = true
	report := run(t, node, "booking=1")
	t.Logf("table unavailable: %d not_run, %d unknown of %d", report.NotRun, report.Unknown, report.Sent)
	is.Equal(report.NotRun, report.Sent)
	is.True(report.OK)

	node = newFakeNode()
	node.closeFirst = true
	report = run(t, node, "booking=2,lookup=1,triage=1")
	is.Equal(report.Whole, report.Sent)
	is.True(node.markedSendings > 0)
	is.True(node.unmarkedSendings > 0)
	is.Equal(node.wrongHeaders, 0)
}

// TestReportsFaultyNode sends traffic to nodes that violate a guarantee; the
// report must not be OK and must count the violation under its kind.
func TestReportsFaultyNode(t *testing.T) {
	cases := map[string]struct {
		mix    string
		change func(*fakeNode)
		count  func(*load.Report) int
	}{
		"not run that ran": {
			mix:    "booking=1",
			change: func(f *fakeNode) { f.refuseFirst, f.runRefused = refusalWithoutRetry, true },
			count:  func(r *load.Report) int { return r.FalseNotRun },
		},
		"doubled": {
			mix:    "booking=1",
			change: func(f *fakeNode) { f.runTwice = true },
			count:  func(r *load.Report) int { return r.Doubled },
		},
		"answers cut in half": {
			mix: "question=1,triage=1",
			change: func(f *fakeNode) {
				f.mangle = func(text string) string { return text[:len(text)/2] }
			},
			count: func(r *load.Report) int { return r.NotWhole },
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			node := newFakeNode()
			test.change(node)
			report := run(t, node, test.mix)
			is.True(!report.OK)
			is.Equal(test.count(report), report.Sent)
		})
	}
}

// TestUnreachableNode checks that requests to an unreachable node, which receive
// no reply, count as lost and not as valid failures.
func TestUnreachableNode(t *testing.T) {
	is := is.New(t)
	report, err := load.Run(context.Background(), load.Config{
		Targets:  []string{"http://127.0.0.1:1"},
		Keys:     []string{"one"},
		Rate:     20,
		Duration: 200 * time.Millisecond,
		Deadline: 200 * time.Millisecond,
		Margin:   100 * time.Millisecond,
		Answer:   fakeAnswer,
	})
	is.NoErr(err)
	is.Equal(report.Lost, report.Sent)
	is.True(!report.OK)
}

// TestRefusesBadConfig checks that invalid settings are errors.
func TestRefusesBadConfig(t *testing.T) {
	is := is.New(t)
	_, err := load.Run(context.Background(), load.Config{})
	is.True(err != nil)
	_, err = load.ParseMix("summary=1,nonsense=2")
	is.True(err != nil)
	_, err = load.ParseMix("summary=0")
	is.True(err != nil)
}
