package lease_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast"
	"zinniamast/lease"
	"zinniamast/standin/platform"
)

const term = 15 * time.Second

// rough stands between one node and the table: it pauses the node before and
// after a call, delivers writes late and twice, and cuts a crashed node off.
type rough struct {
	zinniamast.Table
	chance float64

	mu     sync.Mutex
	random *rand.Rand
	// cutOff ends every call; crashed tells besides that the node is no more.
	cutOff  bool
	crashed bool
	late    *sync.WaitGroup
}

var errCut = errors.New("cut off")

// draw says whether an accident happens and how long it takes.
func (r *rough) draw() (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < r.chance, time.Duration(r.random.Int64N(int64(2 * term)))
}

func (r *rough) pause() error {
	if hit, wait := r.draw(); hit {
		time.Sleep(wait)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutOff {
		return errCut
	}
	return nil
}

func (r *rough) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff = true
}

func (r *rough) crash() {
	r.cut()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
}

func (r *rough) gone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

func (r *rough) Get(ctx context.Context, key zinniamast.Key) (zinniamast.Item, error) {
	if err := r.pause(); err != nil {
		return zinniamast.Item{}, err
	}
	item, err := r.Table.Get(ctx, key)
	return item, errors.Join(err, r.pause())
}

func (r *rough) Write(ctx context.Context, writes []zinniamast.Write) error {
	if err := r.pause(); err != nil {
		return err
	}
	if hit, wait := r.draw(); hit {
		r.late.Go(func() {
			time.Sleep(wait)
			_ = r.Table.Write(context.Background(), writes)
		})
		return context.DeadlineExceeded
	}
	err := r.Table.Write(ctx, writes)
	if hit, _ := r.draw(); hit {
		_ = r.Table.Write(ctx, writes)
	}
	return errors.Join(err, r.pause())
}

// node is one candidate with its own clock, which runs fast or slow and shows
// another time than the others'.
type node struct {
	lease   *lease.Lease
	machine string
	table   *rough
	end     context.CancelFunc
}

func newNode(p *platform.Platform, seed uint64, chance float64, late, running *sync.WaitGroup) *node {
	speed := 0.95 + 0.1*rand.New(rand.NewPCG(seed, 8)).Float64()
	return newNodeWith(p, fmt.Sprint(seed), seed, speed, chance, late, running)
}

// newNodeWith starts a node on a machine of the given name.
func newNodeWith(p *platform.Platform, machine string, seed uint64, speed, chance float64, late, running *sync.WaitGroup) *node {
	random := rand.New(rand.NewPCG(seed, 7))
	began := time.Now()
	offset := time.Duration(random.Int64N(int64(time.Hour)))
	n := &node{
		machine: machine,
		table: &rough{
			Table:  p.Table,
			chance: chance,
			random: random,
			late:   late,
		},
	}
	n.lease = lease.New(lease.Config{
		Table:  n.table,
		Name:   "capacity",
		Holder: machine,
		Term:   term,
		Logger: slog.New(slog.DiscardHandler),
		Now: func() time.Time {
			return began.Add(offset + time.Duration(speed*float64(time.Since(began))))
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.end = cancel
	running.Go(func() { n.lease.Run(ctx) })
	return n
}

// Candidates crash, are paused anywhere, have fast and slow clocks, lose
// answers, and their writes arrive late and twice, while the table comes and
// goes; some machines stop and start again under their name, alone or in turn.
// At no moment may two of them act: both would buy the same instances. Each new
// holder must have a higher fencing number than all before it, and no machine
// may act again within a term of its last act if another one acted between:
// who sees the calls alone would take it for a holder that had been paused.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		chance := rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3}).Draw(rt, "chance")
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 3, 12).Draw(rt, "faults")
		var failure string
		synctest.Test(t, func(*testing.T) { failure, _ = compete(seed, chance, faults) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// compete runs the candidates through the faults, a minute each, and watches
// who may act ten times a second; it returns how often somebody might.
func compete(seed uint64, chance float64, faults []int) (failure string, acted int) {
	p := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
	var late, running sync.WaitGroup
	w := &watcher{}
	newcomer := func() {
		w.nodes = append(w.nodes, newNode(p, seed+uint64(len(w.nodes)), chance, &late, &running))
	}
	starts := uint64(0)
	// returns stops a node in order and starts its machine again.
	returns := func(at int) {
		starts++
		old := w.nodes[at]
		old.end()
		speed := 0.95 + 0.1*rand.New(rand.NewPCG(seed, starts)).Float64()
		w.nodes[at] = newNodeWith(p, old.machine, seed-starts, speed, chance, &late, &running)
		w.ended = append(w.ended, old)
	}
	for range 4 {
		newcomer()
	}
	defer func() {
		for _, n := range append(w.ended, w.nodes...) {
			n.end()
		}
		running.Wait()
		late.Wait()
	}()
	random := rand.New(rand.NewPCG(seed, 9))
	for _, fault := range faults {
		switch fault {
		case 0, 1:
			_ = p.SetFault(platform.ServiceTable, platform.Fault{})
		case 2:
			_ = p.SetFault(platform.ServiceTable, platform.Fault{Down: true})
		case 3:
			_ = p.SetFault(platform.ServiceTable, platform.Fault{LoseAnswers: 2})
		case 4:
			_ = p.SetFault(platform.ServiceTable, platform.Fault{Stale: true})
		case 5:
			w.nodes[random.IntN(len(w.nodes))].end()
			newcomer()
		case 6:
			w.crash(random.IntN(len(w.nodes)))
			newcomer()
		case 7:
			w.crash(random.IntN(len(w.nodes)))
			returns(random.IntN(len(w.nodes)))
		default:
			gap := time.Duration(random.Int64N(int64(term / 4)))
			for at := range w.nodes {
				returns(at)
				if failure := w.watch(gap); failure != "" {
					return failure, w.acted
				}
			}
		}
		if failure := w.watch(time.Minute); failure != "" {
			return failure, w.acted
		}
	}
	return "", w.acted
}

// The holder's clock is slow, the candidate's fast, and the holder is cut off
// from the table at any moment of its term. It must stop before the candidate
// starts, whatever the candidate had seen last.
func TestClocksOfDifferentSpeed(t *testing.T) {
	is := is.New(t)
	for cut := 5 * time.Second; cut < 25*time.Second; cut += 50 * time.Millisecond {
		synctest.Test(t, func(*testing.T) {
			p := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
			var late, running sync.WaitGroup
			w := &watcher{}
			for i, speed := range []float64{0.95, 1.05} {
				w.nodes = append(w.nodes, newNodeWith(p, fmt.Sprint(i), uint64(i+1), speed, 0, &late, &running))
				time.Sleep(time.Second)
			}
			time.Sleep(cut)
			w.nodes[0].table.cut()
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				is.Equal(w.look(), "")
			}
			is.Equal(w.holder, w.nodes[1])
			for _, n := range w.nodes {
				n.end()
			}
			running.Wait()
		})
	}
}

// withHolder runs f with one node that has held the lease for a term.
func withHolder(t *testing.T, f func(is *is.I, p *platform.Platform, n *node)) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{})
		var late, running sync.WaitGroup
		n := newNode(p, 1, 0, &late, &running)
		time.Sleep(term)
		f(is.New(t), p, n)
		n.end()
		running.Wait()
	})
}

// The holder's table goes away for an hour. It may act until its own term is
// over and not after; when the table is back it goes on with the same number,
// since nobody could take over.
func TestHolderStopsWhenTheTableIsDownForLong(t *testing.T) {
	withHolder(t, func(is *is.I, p *platform.Platform, n *node) {
		fence, err := n.lease.Check(time.Second)
		is.NoErr(err)
		is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{Down: true}))
		time.Sleep(term + term/8)
		_, err = n.lease.Check(0)
		is.True(errors.Is(err, lease.ErrNotHeld))
		is.Equal(n.lease.Status().State, "lapsed")
		time.Sleep(time.Hour)
		is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{}))
		time.Sleep(term / 4)
		again, err := n.lease.Check(0)
		is.NoErr(err)
		is.Equal(again, fence)
	})
}

// The answer to every single renewal is lost after it took effect. The holder
// recognises its own write and keeps the lease instead of giving it up.
func TestLostRenewalAnswersKeepTheLease(t *testing.T) {
	withHolder(t, func(is *is.I, p *platform.Platform, n *node) {
		is.NoErr(p.SetFault(platform.ServiceTable, platform.Fault{LoseAnswers: 1000}))
		for range 100 {
			time.Sleep(time.Second)
			_, err := n.lease.Check(0)
			is.NoErr(err)
		}
	})
}

// A released lease is taken over at the next look, a crashed holder's after
// its term; and 50 candidates that wait for it cost few writes.
func TestTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New(platform.Config{})
		var late, running sync.WaitGroup
		all := make([]*node, 50)
		for i := range all {
			all[i] = newNode(p, uint64(i+1), 0, &late, &running)
		}
		holder := func() int {
			for i, n := range all {
				if _, err := n.lease.Check(0); err == nil {
					return i
				}
			}
			return -1
		}
		wait := func() time.Duration {
			began := time.Now()
			for holder() < 0 && time.Since(began) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			return time.Since(began)
		}
		wait()
		time.Sleep(time.Minute)
		first := holder()
		all[first].end()
		time.Sleep(time.Millisecond)
		released := wait()
		second := holder()
		is.True(second != first)
		time.Sleep(time.Minute)
		before := p.Counts()
		time.Sleep(time.Minute)
		after := p.Counts()
		all[second].table.crash()
		all[second].end()
		time.Sleep(time.Millisecond)
		crashed := wait()
		writes := p.Counts().TableWrites - after.TableWrites
		t.Logf("take-over after release %v, after a crash %v with %d writes; 50 nodes: %.2f reads/s, %.2f writes/s",
			released, crashed, writes, float64(after.TableReads-before.TableReads)/60,
			float64(after.TableWrites-before.TableWrites)/60)
		is.True(released < term/2)
		is.True(crashed < 2*term)
		is.True(writes < 8)
		for _, n := range all {
			n.end()
		}
		running.Wait()
	})
}

// The machine was suspended: its monotonic clock stood still and only the wall
// clock tells. The holder must not act on the time it believes to have left.
func TestSuspendedMachineDoesNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		jump := time.Duration(0)
		l := lease.New(lease.Config{
			Table:  platform.New(platform.Config{}).Table,
			Name:   "capacity",
			Holder: "a",
			Logger: slog.New(slog.DiscardHandler),
			Now:    func() time.Time { return time.Now().Round(0).Add(jump) },
		})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { l.Run(ctx) })
		synctest.Wait()
		_, err := l.Check(time.Second)
		is.NoErr(err)
		jump = time.Hour
		_, err = l.Check(0)
		is.True(errors.Is(err, lease.ErrNotHeld))
		cancel()
		running.Wait()
	})
}
