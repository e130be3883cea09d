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

// faultyTable injects faults between one node and the table: it pauses the node before
// and after a call, delivers writes late or twice, and fails every call of a node
// that is disconnected or has crashed.
type faultyTable struct {
	zinniamast.Table
	chance float64

	mu     sync.Mutex
	random *rand.Rand
	// disconnected makes every call fail; crashed means in addition that the node has stopped.
	disconnected bool
	crashed      bool
	lateWrites   *sync.WaitGroup
}

var errDisconnected = errors.New("disconnected from the table")

// drawFault decides at random whether a fault happens, and how long it lasts.
func (r *faultyTable) drawFault() (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < r.chance, time.Duration(r.random.Int64N(int64(2 * term)))
}

func (r *faultyTable) pause() error {
	if isFault, wait := r.drawFault(); isFault {
		time.Sleep(wait)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disconnected {
		return errDisconnected
	}
	return nil
}

func (r *faultyTable) disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = true
}

func (r *faultyTable) crash() {
	r.disconnect()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
}

func (r *faultyTable) hasCrashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

func (r *faultyTable) Get(ctx context.Context, key zinniamast.Key) (zinniamast.Item, error) {
	if err := r.pause(); err != nil {
		return zinniamast.Item{}, err
	}
	item, err := r.Table.Get(ctx, key)
	return item, errors.Join(err, r.pause())
}

func (r *faultyTable) Write(ctx context.Context, writes []zinniamast.Write) error {
	if err := r.pause(); err != nil {
		return err
	}
	if isFault, wait := r.drawFault(); isFault {
		r.lateWrites.Go(func() {
			time.Sleep(wait)
			_ = r.Table.Write(context.Background(), writes)
		})
		return context.DeadlineExceeded
	}
	err := r.Table.Write(ctx, writes)
	if isFault, _ := r.drawFault(); isFault {
		_ = r.Table.Write(ctx, writes)
	}
	return errors.Join(err, r.pause())
}

// node is one candidate with its own clock, which differs from the others' in
// speed and offset.
type node struct {
	lease    *lease.Lease
	instance string
	table    *faultyTable
	stop     context.CancelFunc
}

func newNode(p *platform.Platform, seed uint64, chance float64, late, running *sync.WaitGroup) *node {
	speed := 0.95 + 0.1*rand.New(rand.NewPCG(seed, 8)).Float64()
	return newNodeWith(p, fmt.Sprint(seed), seed, speed, chance, late, running)
}

// newNodeWith starts a node on an instance of the given name.
func newNodeWith(p *platform.Platform, instance string, seed uint64, speed, chance float64, late, running *sync.WaitGroup) *node {
	random := rand.New(rand.NewPCG(seed, 7))
	began := time.Now()
	offset := time.Duration(random.Int64N(int64(time.Hour)))
	n := &node{
		instance: instance,
		table: &faultyTable{
			Table:      p.Table,
			chance:     chance,
			random:     random,
			lateWrites: late,
		},
	}
	n.lease = lease.New(lease.Config{
		Table:  n.table,
		Name:   "capacity",
		Holder: instance,
		Term:   term,
		Logger: slog.New(slog.DiscardHandler),
		Now: func() time.Time {
			return began.Add(offset + time.Duration(speed*float64(time.Since(began))))
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	running.Go(func() { n.lease.Run(ctx) })
	return n
}

// Candidates crash, are paused at any point, have fast and slow clocks and lose
// answers; their writes arrive late and twice, and the table is down at times.
// Some instances stop and start again under their name, alone or one after the
// other. No two nodes may act at the same time, since both would buy the same
// instances. Each new holder must have a higher fencing number than all before it.
// No instance may act again within a term of its last act if another one acted in
// between: a receiver of the calls would treat it as a holder that had been paused.
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

// compete runs the candidates through the faults, a minute each, and checks ten
// times a second which nodes may act; it returns how often one of them might.
func compete(seed uint64, chance float64, faults []int) (failure string, acted int) {
	p := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
	var late, running sync.WaitGroup
	o := &observer{}
	startNode := func() {
		o.nodes = append(o.nodes, newNode(p, seed+uint64(len(o.nodes)), chance, &late, &running))
	}
	starts := uint64(0)
	// restart shuts a node down and starts another one on its instance.
	restart := func(at int) {
		starts++
		old := o.nodes[at]
		old.stop()
		speed := 0.95 + 0.1*rand.New(rand.NewPCG(seed, starts)).Float64()
		o.nodes[at] = newNodeWith(p, old.instance, seed-starts, speed, chance, &late, &running)
		o.stopped = append(o.stopped, old)
	}
	for range 4 {
		startNode()
	}
	defer func() {
		for _, n := range append(o.stopped, o.nodes...) {
			n.stop()
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
			o.nodes[random.IntN(len(o.nodes))].stop()
			startNode()
		case 6:
			o.crash(random.IntN(len(o.nodes)))
			startNode()
		case 7:
			o.crash(random.IntN(len(o.nodes)))
			restart(random.IntN(len(o.nodes)))
		default:
			gap := time.Duration(random.Int64N(int64(term / 4)))
			for at := range o.nodes {
				restart(at)
				if failure := o.observe(gap); failure != "" {
					return failure, o.acted
				}
			}
		}
		if failure := o.observe(time.Minute); failure != "" {
			return failure, o.acted
		}
	}
	return "", o.acted
}

// The holder's clock is slow, the candidate's fast, and the holder is disconnected
// from the table at any time within its term. The holder must stop acting before
// the candidate starts, whichever revision the candidate read last.
func TestClocksOfDifferentSpeed(t *testing.T) {
	is := is.New(t)
	for cut := 5 * time.Second; cut < 25*time.Second; cut += 50 * time.Millisecond {
		synctest.Test(t, func(*testing.T) {
			p := platform.New(platform.Config{TableDelay: 5 * time.Millisecond})
			var late, running sync.WaitGroup
			o := &observer{}
			for i, speed := range []float64{0.95, 1.05} {
				o.nodes = append(o.nodes, newNodeWith(p, fmt.Sprint(i), uint64(i+1), speed, 0, &late, &running))
				time.Sleep(time.Second)
			}
			time.Sleep(cut)
			o.nodes[0].table.disconnect()
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				is.Equal(o.checkHolders(), "")
			}
			is.Equal(o.holder, o.nodes[1])
			for _, n := range o.nodes {
				n.stop()
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
		n.stop()
		running.Wait()
	})
}

// The table is down for an hour. The holder may act until its own term expires and
// not after. When the table is available again the holder continues with the same
// fencing number, since no other node could take over.
func TestHolderStopsDuringTableOutage(t *testing.T) {
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

// The answer to every renewal is lost after the write took effect. The holder
// recognises its own write by the token and keeps the lease.
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

// A released lease is taken over at the next poll and a crashed holder's lease
// after its term. 50 waiting candidates make few writes.
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
		all[first].stop()
		time.Sleep(time.Millisecond)
		released := wait()
		second := holder()
		is.True(second != first)
		time.Sleep(time.Minute)
		before := p.Counts()
		time.Sleep(time.Minute)
		after := p.Counts()
		all[second].table.crash()
		all[second].stop()
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
			n.stop()
		}
		running.Wait()
	})
}

// The instance was suspended: its monotonic clock stood still and only the wall
// clock shows the time that passed. The holder must not act on a term that has
// expired.
func TestSuspendedInstanceDoesNotAct(t *testing.T) {
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
