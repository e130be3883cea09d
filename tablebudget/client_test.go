package tablebudget_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast"
	"zinniamast/config"
	"zinniamast/standin/platform"
	"zinniamast/tablebudget"
)

// recordingTable records which writes took effect in the table, and applies some
// of them only after their request has failed.
type recordingTable struct {
	zinniamast.Table
	// lateProbability is the probability that a write takes effect only after
	// its request has failed.
	lateProbability float64
	random          *rand.Rand

	mu         sync.Mutex
	applied    map[string]bool
	lateWrites sync.WaitGroup
}

func (h *recordingTable) Write(ctx context.Context, writes []zinniamast.Write) error {
	h.mu.Lock()
	late := h.random.Float64() < h.lateProbability
	wait := time.Duration(h.random.IntN(400)) * time.Millisecond
	h.mu.Unlock()
	if late {
		h.lateWrites.Go(func() {
			time.Sleep(wait)
			_ = h.apply(context.Background(), writes)
		})
		return context.DeadlineExceeded
	}
	return h.apply(ctx, writes)
}

func (h *recordingTable) apply(ctx context.Context, writes []zinniamast.Write) error {
	err := h.Table.Write(ctx, writes)
	if err == nil || errors.Is(err, platform.ErrLost) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, w := range writes {
			h.applied[w.Item.Token] = true
		}
	}
	return err
}

func newWrite(sort, token string, expect uint64) zinniamast.Write {
	return zinniamast.Write{
		Item: zinniamast.Item{
			Key: zinniamast.Key{
				Partition: "p",
				Sort:      sort,
			},
			Token: token,
			Value: []byte(token),
		},
		Expect: expect,
	}
}

// Eight writers write concurrently to a few items while answers are lost,
// requests are late, throttled or slow, or the table is down. A write that
// succeeded must have taken effect, and one that returned a conflict, throttled
// or unavailable must not: a claim wrongly considered lost would let a booking
// run twice.
func TestAnswersMatchTheTableUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lateness := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "lateness")
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 5, 20).Draw(rt, "faults")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runWritersUnderFaults(seed, lateness, faults) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func runWritersUnderFaults(seed uint64, lateness float64, faults []int) (failure string) {
	p := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
	table := &recordingTable{
		Table:           p.Table,
		lateProbability: lateness,
		random:          rand.New(rand.NewPCG(seed, 1)),
		applied:         map[string]bool{},
	}
	path := tablebudget.New(tablebudget.Config{
		Table:           table,
		WritesPerSecond: 200,
		ReadsPerSecond:  500,
		CallTimeout:     100 * time.Millisecond,
		Deadline:        time.Second,
	})
	answers := map[string]error{}
	var mu sync.Mutex
	var writers sync.WaitGroup
	for writer := range 8 {
		random := rand.New(rand.NewPCG(seed, uint64(writer)+2))
		writers.Go(func() {
			for round := range 30 {
				sort := fmt.Sprint(random.IntN(4))
				token := fmt.Sprintf("%d-%d", writer, round)
				item, err := path.Get(context.Background(), newWrite(sort, "", 0).Item.Key)
				if err != nil && !errors.Is(err, zinniamast.ErrNotFound) {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				err = path.Write(context.Background(), []zinniamast.Write{newWrite(sort, token, item.Revision)})
				mu.Lock()
				answers[token] = err
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
			}
		})
	}
	for _, kind := range faults {
		_ = p.SetFault(platform.ServiceTable, []platform.Fault{
			{},
			{LoseAnswers: 3},
			{Throttle: true},
			{Down: true},
			{Slow: config.Duration(200 * time.Millisecond)},
			{LoseAnswers: 1, Slow: config.Duration(20 * time.Millisecond)},
		}[kind])
		time.Sleep(100 * time.Millisecond)
	}
	_ = p.SetFault(platform.ServiceTable, platform.Fault{})
	writers.Wait()
	path.Close()
	table.lateWrites.Wait()
	for token, err := range answers {
		applied := table.applied[token]
		refused := errors.Is(err, zinniamast.ErrConflict) || errors.Is(err, zinniamast.ErrThrottled) ||
			errors.Is(err, zinniamast.ErrUnavailable)
		if err == nil && !applied || refused && applied {
			return fmt.Sprintf("write %s: returned %v, applied %v", token, err, applied)
		}
	}
	return ""
}

// After three failed requests to a table that is down, callers get
// ErrUnavailable immediately and the table receives only probes. When it
// recovers, 60 nodes with full queues must not overload it again.
func TestOutageFailsFastAndRecoversSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const nodes = 60
		p := platform.New(platform.Config{})
		var paths []*tablebudget.Client
		for range nodes {
			paths = append(paths, tablebudget.New(tablebudget.Config{
				Table:           p.Table,
				WritesPerSecond: 1,
				ReadsPerSecond:  5,
			}))
		}
		is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{Down: true}))
		stop := make(chan struct{})
		var load sync.WaitGroup
		for i, path := range paths {
			for writer := range 4 {
				load.Go(func() {
					for round := 0; ; round++ {
						select {
						case <-stop:
							return
						case <-time.After(100 * time.Millisecond):
						}
						sort := fmt.Sprintf("%d-%d-%d", i, writer, round)
						_ = path.Write(context.Background(), []zinniamast.Write{newWrite(sort, "", 0)})
					}
				})
			}
		}
		time.Sleep(time.Minute)
		for _, path := range paths {
			is.True(!path.Available())
		}
		began := time.Now()
		err := paths[0].Write(context.Background(), []zinniamast.Write{newWrite("fast", "", 0)})
		is.True(errors.Is(err, zinniamast.ErrUnavailable))
		is.Equal(time.Since(began), time.Duration(0))
		before := p.Counts()
		time.Sleep(20 * time.Second)
		probes := float64(p.Counts().TableReads-before.TableReads) / 20 / nodes
		is.True(probes < 0.3)
		is.Equal(p.Counts().TableWrites, before.TableWrites)

		is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{}))
		maxWrites := uint64(0)
		for range 15 {
			before = p.Counts()
			time.Sleep(time.Second)
			maxWrites = max(maxWrites, p.Counts().TableWrites-before.TableWrites)
		}
		t.Logf("probes per second and node during the outage: %.2f; most writes in a second after recovery: %d of %d nodes",
			probes, maxWrites, nodes)
		is.True(maxWrites <= nodes+nodes/10)
		for _, path := range paths {
			is.True(path.Available())
		}
		close(stop)
		load.Wait()
		for _, path := range paths {
			path.Close()
		}
	})
}

// One of many concurrent writes conflicts. Only its caller may get the conflict;
// the other writes of the same transaction are retried and succeed.
func TestConflictFailsOnlyItsOwnCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
		path := tablebudget.New(tablebudget.Config{
			Table:           p.Table,
			WritesPerSecond: 100,
			Inflight:        1,
		})
		defer path.Close()
		var writers sync.WaitGroup
		errs := make([]error, 50)
		for i := range errs {
			expect := uint64(0)
			if i == 17 {
				expect = 9
			}
			writers.Go(func() {
				errs[i] = path.Write(context.Background(), []zinniamast.Write{newWrite(fmt.Sprint(i), "", expect)})
			})
		}
		writers.Wait()
		for i, err := range errs {
			is.Equal(errors.Is(err, zinniamast.ErrConflict), i == 17)
			is.Equal(err == nil, i != 17)
		}
		is.True(p.Counts().TableWrites <= 4)
		big := newWrite("big", "", 0)
		big.Item.Value = make([]byte, zinniamast.MaxValue+1)
		is.True(errors.Is(path.Write(context.Background(), []zinniamast.Write{big}), zinniamast.ErrOversized))
	})
}

// The table hangs and every reader has a deadline below CallTimeout. After three
// of them the next reader must get ErrUnavailable immediately instead of
// waiting. Readers whose deadline is very short must not open the breaker.
func TestHangingTableOpensBreakerDespiteShortDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(platform.Config{})
		path := tablebudget.New(tablebudget.Config{Table: p.Table})
		defer path.Close()
		read := func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, err := path.Get(ctx, newWrite("a", "", 0).Item.Key)
			return err
		}
		is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{Slow: config.Duration(time.Hour)}))
		for range 5 {
			is.True(!errors.Is(read(50*time.Millisecond), zinniamast.ErrUnavailable))
		}
		is.True(path.Available())
		for range 3 {
			is.True(!errors.Is(read(300*time.Millisecond), zinniamast.ErrUnavailable))
		}
		began := time.Now()
		is.True(errors.Is(read(300*time.Millisecond), zinniamast.ErrUnavailable))
		is.Equal(time.Since(began), time.Duration(0))
	})
}
