package attempt_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"zinniamast"
	"zinniamast/attempt"
	"zinniamast/blackboard"
	"zinniamast/engine"
	"zinniamast/request"
	"zinniamast/retry"
	"zinniamast/routing"
	standin "zinniamast/standin/engine"
	"zinniamast/standin/memnet"
)

const model = "summary"

// rig is a runner with a few stand-in engines, under virtual time.
type rig struct {
	network *memnet.Network
	board   *blackboard.Board
	runner  *attempt.Runner
	engines []*standin.Engine
	stops   []func()
	// registry holds the runner's metrics.
	registry *prometheus.Registry
}

type noQuarantine struct{}

func (noQuarantine) CheckRetry(uint64) (bool, error)           { return false, nil }
func (noQuarantine) Check(uint64) (bool, error)                { return false, nil }
func (noQuarantine) ReplicasToAvoid(uint64, []string) []string { return nil }
func (noQuarantine) AttemptWrites(string, uint64)              {}
func (noQuarantine) AttemptStarted(string, uint64)             {}
func (noQuarantine) AttemptEnded(string, uint64, bool)         {}
func (noQuarantine) ReplicaCrashed(string)                     {}

func newRig(count int, config standin.Config, kvRate int64) *rig {
	g := &rig{
		network:  memnet.New(),
		board:    blackboard.New(),
		registry: prometheus.NewRegistry(),
	}
	g.runner = attempt.New(attempt.Config{
		Board: g.board,
		Router: routing.New(routing.Config{
			Board: g.board,
		}),
		Retry: retry.New(retry.Config{
			Seed:    1,
			Reserve: 100,
		}),
		Quarantine:       noQuarantine{},
		Logger:           slog.New(slog.DiscardHandler),
		Metrics:          attempt.NewMetrics(g.registry),
		KVBytesPerSecond: kvRate,
	})
	transport := g.network.Transport()
	config.Client = g.network.Transport()
	for i := range count {
		e := standin.New(config)
		host := fmt.Sprintf("engine-%d:80", i)
		g.engines = append(g.engines, e)
		g.stops = append(g.stops, g.network.Serve(host, e))
		g.board.Upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:      fmt.Sprint("engine-", i),
				Service: model,
				Role:    "engine",
				Started: time.Now(),
			},
			Engine: engine.New(engine.Config{
				ID:        fmt.Sprint("engine-", i),
				Address:   "http://" + host,
				Transport: transport,
			}),
		})
	}
	g.stops = append(g.stops, transport.CloseIdleConnections, config.Client.CloseIdleConnections)
	return g
}

func (g *rig) stop() {
	for _, stop := range g.stops {
		stop()
	}
	// Goroutines that wait on a plan or on an idle connection end by themselves in this time.
	time.Sleep(5 * time.Minute)
}

func messages(i, padding int) []byte {
	return fmt.Appendf(nil, `[{"role":"user","content":"contract %d %0*d"}]`, i, padding, i)
}

func (g *rig) start(ctx context.Context, i, padding, tokens int) *request.Request {
	body := messages(i, padding)
	q := request.New(request.Call{
		ID:           fmt.Sprint("r", i),
		Organisation: "north",
		Model:        model,
		Class:        request.ClassBulk,
		Accepted:     time.Now(),
		Deadline:     time.Now().Add(2 * time.Minute),
		Messages:     body,
		MaxTokens:    tokens,
		PromptTokens: request.EstimateTokens(body),
	})
	g.board.Requests.Add(q)
	go g.runner.Run(ctx, q)
	return q
}

// requireWholeAnswer fails the test unless a request ended with exactly its own answer.
func requireWholeAnswer(t *testing.T, q *request.Request) {
	t.Helper()
	<-q.Done()
	snapshot := q.Snapshot()
	if snapshot.State != request.StateWhole {
		t.Fatalf("request %s ended as %s: %v", q.Call.ID, snapshot.State, snapshot.Refusal)
	}
	want := standin.Text(standin.Answer(q.Call.Messages, q.Call.MaxTokens))
	if string(snapshot.Text) != want {
		t.Fatalf("request %s: got %d bytes that differ from its answer of %d bytes", q.Call.ID, len(snapshot.Text), len(want))
	}
}

// resumeCounts returns how many tokens the engines computed again for resumed
// requests, and how many resumes had wrong tokens.
func (g *rig) resumeCounts() (tokens, bad int) {
	for _, e := range g.engines {
		tokens += e.Counts().ResumeComputed
		bad += e.Counts().BadResumes
	}
	return tokens, bad
}

// One replica fails in each of the ways below while answers run on it. The
// caller receives one whole answer: output that is truncated, belongs to another
// request or is repeated is discarded, and the answer resumes on another replica.
func TestAnswerIsWholeThroughUpstreamFaults(t *testing.T) {
	faults := map[string]standin.Faults{
		"cut short":   {CutAfter: 7},
		"crossed":     {Crossed: true},
		"repeated":    {Repeat: true},
		"silent":      {Hang: true},
		"full":        {Full: true},
		"leaving":     {Leaving: true},
		"unreachable": {Down: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newRig(2, standin.Config{BetweenTokens: 10 * time.Millisecond}, 0)
				defer g.stop()
				g.engines[0].SetFaults(fault)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var all []*request.Request
				for i := range 8 {
					all = append(all, g.start(ctx, i, 10, 60))
				}
				for _, q := range all {
					requireWholeAnswer(t, q)
				}
				_, bad := g.resumeCounts()
				is.New(t).Equal(bad, 0) // resumed tokens were always the answer's own
			})
		})
	}
}

// Every replica is down. The caller is refused early, with "not run" and a time
// after which to retry, and the replicas are not flooded with attempts.
func TestFullOutageIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(3, standin.Config{}, 0)
		defer g.stop()
		for _, stop := range g.stops[:3] {
			stop()
		}
		began := time.Now()
		q := g.start(t.Context(), 1, 10, 60)
		<-q.Done()
		refusal := q.Snapshot().Refusal
		is.True(refusal != nil)
		is.Equal(refusal.Ran, zinniamast.NotRun)
		is.True(refusal.RetryAfter > 0)
		is.True(time.Since(began) < 30*time.Second) // virtual time, far before the deadline
	})
}

// A reclaim is announced for one of two replicas that run long streams. All
// answers arrive whole; streams that cannot finish in time resume on the other
// replica, and transferred KV caches avoid recomputing their prompts.
func TestReclaimedReplicaLosesNothing(t *testing.T) {
	for _, rate := range []int64{0, 1 << 30} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newRig(2, standin.Config{
				BetweenTokens:  20 * time.Millisecond,
				KVBytesASecond: 1 << 30,
			}, rate)
			defer g.stop()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var all []*request.Request
			for i := range 20 {
				all = append(all, g.start(ctx, i, 4000, 1500))
			}
			time.Sleep(2 * time.Second)
			g.board.Upstreams.MarkLeaving("engine-0", time.Now().Add(4*time.Second))
			time.Sleep(4 * time.Second)
			g.stops[0]()
			for _, q := range all {
				requireWholeAnswer(t, q)
			}
			tokens, bad := g.resumeCounts()
			is.Equal(bad, 0)
			t.Logf("transfer of %d bytes a second: %d tokens recomputed", rate, tokens)
			if rate == 0 {
				is.True(tokens > 0) // without transfers, prompts are computed again
			} else {
				is.True(tokens < 400) // with transfers, only tokens produced after the export
			}
		})
	}
}

// The caller of a running request cancels it. Its attempt ends and no other
// follows, so the metric of recomputed tokens must not count it.
func TestCancelledRequestRecomputesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(1, standin.Config{BetweenTokens: 10 * time.Millisecond}, 0)
		defer g.stop()
		q := g.start(t.Context(), 1, 4000, 500)
		time.Sleep(time.Second)
		q.Fail(zinniamast.Refuse(zinniamast.ReasonCancelled, "gone"))
		time.Sleep(time.Second)
		families, err := g.registry.Gather()
		is.NoErr(err)
		for _, family := range families {
			if family.GetName() == "zinniamast_recomputed_tokens_total" {
				is.Equal(family.GetMetric()[0].GetCounter().GetValue(), 0.0)
			}
		}
	})
}

// measureLongestGap reads an answer as a caller does and stores the longest wait between tokens.
func measureLongestGap(ctx context.Context, q *request.Request, longest *time.Duration) {
	w := q.Watch(0)
	defer w.Close(true)
	var progress request.Progress
	var last time.Time
	for w.Read(ctx, &progress) == nil {
		now := time.Now()
		if len(progress.Ends) > 0 {
			if !last.IsZero() {
				*longest = max(*longest, now.Sub(last))
			}
			last = now
		}
		if progress.Ended() {
			return
		}
	}
}

// A whole failure domain is reclaimed at once: three of six replicas, with 45
// long streams on all six, five seconds of notice and a link of 1 GiB/s each. All
// answers arrive whole, fewer than half of the tokens are recomputed that
// starting over would take, and the longest gap that a caller sees is bounded.
func TestFailureDomainReclaimedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(6, standin.Config{
			FirstToken:     50 * time.Millisecond,
			PerPromptToken: 100 * time.Microsecond,
			BetweenTokens:  30 * time.Millisecond,
			KVBytesASecond: 1 << 30,
		}, 1<<30)
		defer g.stop()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := make([]*request.Request, 45)
		gaps := make([]time.Duration, len(all))
		var readers sync.WaitGroup
		for i := range all {
			all[i] = g.start(ctx, i, 8000*(1+i%4), 900)
			readers.Go(func() { measureLongestGap(ctx, all[i], &gaps[i]) })
		}
		time.Sleep(8 * time.Second)
		startOver := 0
		for _, q := range all {
			produced, at, _ := q.Progress()
			if at <= "engine-2" {
				startOver += q.Call.PromptTokens + produced
			}
		}
		for i := range 3 {
			g.board.Upstreams.MarkLeaving(fmt.Sprint("engine-", i), time.Now().Add(5*time.Second))
		}
		time.Sleep(5 * time.Second)
		for i := range 3 {
			g.stops[i]()
		}
		for _, q := range all {
			requireWholeAnswer(t, q)
		}
		readers.Wait()
		tokens, bad := g.resumeCounts()
		longest := slices.Max(gaps)
		t.Logf("recomputed %d tokens, starting over %d; longest gap %s", tokens, startOver, longest)
		is.Equal(bad, 0)
		is.True(tokens*2 < startOver)
		is.True(longest < 2*time.Second)
	})
}

// Replicas fail, cut answers and recover at random. Each request ends either
// with its own whole answer or with a refusal.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		kinds := []standin.Faults{{}, {CutAfter: 5}, {Crossed: true}, {Repeat: true}, {Full: true}, {Down: true}}
		steps := rapid.SliceOfN(rapid.IntRange(0, len(kinds)*3-1), 1, 12).Draw(r, "steps")
		synctest.Test(t, func(t *testing.T) {
			g := newRig(3, standin.Config{BetweenTokens: 10 * time.Millisecond}, 1<<30)
			defer g.stop()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var all []*request.Request
			for i, step := range steps {
				all = append(all, g.start(ctx, i, 2000, 100))
				time.Sleep(100 * time.Millisecond)
				g.engines[step%3].SetFaults(kinds[step/3])
			}
			for _, q := range all {
				<-q.Done()
				if q.State() == request.StateWhole {
					requireWholeAnswer(t, q)
				} else if q.Snapshot().Refusal == nil {
					t.Fatalf("request %s ended as %s without a refusal", q.Call.ID, q.State())
				}
			}
		})
	})
}
