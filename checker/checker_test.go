package checker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/checker"
)

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

const margin = time.Second

func request(id string, kind checker.Kind, expected string) checker.Request {
	return checker.Request{
		ID:         id,
		Key:        "key-" + id,
		Kind:       kind,
		Expected:   expected,
		Repeatable: kind != checker.KindBooking,
		Deadline:   start.Add(time.Minute),
	}
}

func whole(answer string) checker.Outcome {
	return checker.Outcome{
		Whole:  true,
		Answer: answer,
		At:     start,
	}
}

func failed(ran zinniamast.Ran, at time.Time) checker.Outcome {
	return checker.Outcome{
		Ran:    ran,
		Reason: "no_capacity",
		At:     at,
	}
}

// counter returns the one count that a violation must increase.
type counter func(v *checker.Verdict) int

func lost(v *checker.Verdict) int        { return v.Lost }
func doubled(v *checker.Verdict) int     { return v.Doubled }
func notWhole(v *checker.Verdict) int    { return v.NotWhole }
func wrongCaller(v *checker.Verdict) int { return v.WrongCaller }
func falseNotRun(v *checker.Verdict) int { return v.FalseNotRun }
func falseRan(v *checker.Verdict) int    { return v.FalseRan }

// violationCase is one fault and the message and count that it must cause.
type violationCase struct {
	name     string
	kind     checker.Kind
	runs     int
	count    counter
	message  string
	outcomes []checker.Outcome
}

// TestViolations guards against faults that the checker misses: a caller
// receives the answer of another request, a damaged answer, no outcome, two
// outcomes or a wrong run state. Each case must increase exactly one count.
func TestViolations(t *testing.T) {
	uncertain := failed(zinniamast.NotRun, start)
	uncertain.Uncertain = true
	cases := []violationCase{}
	add := func(name string, kind checker.Kind, ran int, count counter, saying string, got ...checker.Outcome) {
		cases = append(cases, violationCase{
			name:     name,
			kind:     kind,
			runs:     ran,
			count:    count,
			message:  saying,
			outcomes: got,
		})
	}
	add("lost", checker.KindSummary, 1, lost, "no outcome")
	add("late failure", checker.KindSummary, 0, lost, "after its deadline", failed(zinniamast.Unknown, start.Add(time.Minute+2*margin)))
	add("failure without a run state", checker.KindSummary, 0, lost, "does not say", failed("", start))
	add("doubled run", checker.KindBooking, 2, doubled, "ran 2 times", whole("one two three four"))
	add("doubled run, unknown", checker.KindBooking, 2, doubled, "ran 2 times", failed(zinniamast.Unknown, start))
	add("not run that ran", checker.KindBooking, 1, falseNotRun, "\"not run\" and ran", failed(zinniamast.NotRun, start))
	add("not run that ran, uncertain booking", checker.KindBooking, 1, falseNotRun, "\"not run\" and ran", uncertain)
	add("not run that ran, question", checker.KindQuestion, 1, falseNotRun, "\"not run\" and ran", failed(zinniamast.NotRun, start))
	add("ran that did not", checker.KindBooking, 0, falseRan, "told that it ran", failed(zinniamast.DidRun, start))
	add("answer without a run", checker.KindBooking, 0, falseRan, "nothing ran", whole("one two three four"))
	add("cut short", checker.KindSummary, 1, notWhole, "cut short", whole("one two"))
	add("runs over", checker.KindSummary, 1, notWhole, "after its end", whole("one two three four five"))
	add("doubled token", checker.KindSummary, 1, notWhole, "doubled", whole("one two two three four"))
	add("started over", checker.KindSummary, 1, notWhole, "doubled", whole("one two one two three four"))
	add("missing token", checker.KindSummary, 1, notWhole, "missing", whole("one two four"))
	add("mixture", checker.KindSummary, 1, notWhole, "mixture", whole("one two gamma delta"))
	add("answer of another request", checker.KindSummary, 1, wrongCaller, "answer of other", whole("alpha beta gamma delta"))
	add("two outcomes", checker.KindSummary, 1, notWhole, "2 outcomes", whole("one two three four"), whole("one two three four"))
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := checker.New()
			is.NoErr(c.RecordSent(request("mine", test.kind, "one two three four")))
			is.NoErr(c.RecordSent(request("other", checker.KindSummary, "alpha beta gamma delta")))
			c.RecordOutcome("other", whole("alpha beta gamma delta"))
			for _, outcome := range test.outcomes {
				c.RecordOutcome("mine", outcome)
			}
			v := c.Reconcile(checker.Runs{"mine": test.runs, "other": 1}, margin)
			is.True(!v.OK())
			is.Equal(test.count(&v), 1)
			is.Equal(v.ViolationCount(), 1)
			is.True(strings.Contains(v.Violations[0], test.message))
		})
	}
}

// TestStrayRunsAndOutcomes checks that a run and an outcome of requests that no
// caller sent are violations, and that a request cannot be recorded twice.
func TestStrayRunsAndOutcomes(t *testing.T) {
	is := is.New(t)
	c := checker.New()
	c.RecordOutcome("ghost", whole("boo"))
	v := c.Reconcile(checker.Runs{"phantom": 1}, margin)
	is.Equal(v.StrayRuns, 1)
	is.Equal(v.NotWhole, 1)
	is.True(!v.OK())
	is.NoErr(c.RecordSent(request("a", checker.KindLookup, "x")))
	is.True(c.RecordSent(request("a", checker.KindLookup, "x")) != nil)
	is.Equal(len(c.Pending()), 1)
}

// TestCorrectOutcomes checks that valid outcomes cause no violations and are
// counted by kind.
func TestCorrectOutcomes(t *testing.T) {
	is := is.New(t)
	c := checker.New()
	runs := checker.Runs{}
	send := func(id string, kind checker.Kind, outcome checker.Outcome, ran int) {
		is.NoErr(c.RecordSent(request(id, kind, "answer "+id)))
		c.RecordOutcome(id, outcome)
		runs[id] = ran
	}
	late := whole("answer late")
	late.At = start.Add(time.Minute + time.Millisecond)
	uncertain := failed(zinniamast.NotRun, start)
	uncertain.Uncertain = true
	send("whole", checker.KindBooking, whole("answer whole"), 1)
	send("late", checker.KindSummary, late, 1)
	send("repeated", checker.KindSummary, whole("answer repeated"), 3)
	send("not_run", checker.KindBooking, failed(zinniamast.NotRun, start), 0)
	send("uncertain", checker.KindQuestion, uncertain, 1)
	send("ran", checker.KindBooking, failed(zinniamast.DidRun, start), 1)
	send("unknown", checker.KindBooking, failed(zinniamast.Unknown, start), 1)
	v := c.Reconcile(runs, margin)
	is.Equal(v.Violations, nil)
	is.True(v.OK())
	is.Equal(v.Sent, 7)
	is.Equal(v.Accepted, 5)
	is.Equal([]int{v.Whole, v.Late, v.NotRun, v.Ran, v.Unknown}, []int{3, 1, 2, 1, 1})
	is.Equal(v.RefusedByReason["no_capacity"], 4)
	is.Equal(v.Accepted, v.Whole+v.Ran+v.Unknown)
}
