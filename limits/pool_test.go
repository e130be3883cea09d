package limits_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast/limits"
	"zinniamast/routes"
)

// fleet is nodes that share one organisation's allowance, with cuts between
// them, in virtual time.
type fleet struct {
	now          time.Time
	organisation routes.Organisation
	tolerance    limits.Tolerance
	names        []string
	allowances   map[string]*limits.Allowance
	pools        map[string]*limits.Pool
	domainPools  map[string]*limits.Pool
	// rosterUnread hides all nodes, as before a node has read the roster.
	rosterUnread bool
	// domains holds where nodes run that do not run in the first failure domain.
	domains map[string]string
	// partitioned holds nodes that reach no other, and failure domains that reach no other.
	partitioned map[string]bool
	// down holds nodes that do not run: calls to them surely do not arrive.
	down map[string]bool
	// granted holds what was given out, and when.
	granted []grant
}

type grant struct {
	at     time.Time
	amount float64
}

var (
	errPartitioned = errors.New("cut")
	errDown        = errors.New("connection refused")
)

func newFleet(nodes int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0),
		organisation: routes.Organisation{
			Name:     "acme",
			ByTokens: true,
			Rate:     1000,
			Burst:    1000,
		},
		tolerance: limits.Tolerance{
			Window:  8 * time.Second,
			Overage: 0.1,
			Slack:   1000,
		},
		allowances:  map[string]*limits.Allowance{},
		pools:       map[string]*limits.Pool{},
		domainPools: map[string]*limits.Pool{},
		domains:     map[string]string{},
		partitioned: map[string]bool{},
		down:        map[string]bool{},
	}
	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("node-%d", i))
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

// reaches says whether calls from one node to another arrive.
func (f *fleet) reaches(from, to string) bool {
	if f.partitioned[from] || f.partitioned[to] {
		return false
	}
	here, there := f.domains[from], f.domains[to]
	return here == there || !f.partitioned[here] && !f.partitioned[there]
}

// callError is a call's fate on its way.
func (f *fleet) callError(from, to string) error {
	if f.down[to] {
		return errDown
	}
	if !f.reaches(from, to) {
		return errPartitioned
	}
	return nil
}

// start starts a node, or starts it again with nothing known.
func (f *fleet) start(name string) {
	clock := func() time.Time { return f.now }
	config := limits.PoolConfig{
		Organisation: func(string) *routes.Organisation { return &f.organisation },
		Tolerance:    f.tolerance,
		Now:          clock,
	}
	f.pools[name] = limits.NewPool(config)
	config.Apart = true
	f.domainPools[name] = limits.NewPool(config)
	f.allowances[name] = limits.NewAllowance(limits.AllowanceConfig{
		Node:          name,
		FailureDomain: f.domains[name],
		Holders:       f.holders,
		Ask: func(_ context.Context, address string, ask limits.PoolAsk) (limits.PoolAnswer, error) {
			if err := f.callError(name, address); err != nil {
				return limits.PoolAnswer{}, err
			}
			return f.pool(address, ask.Apart).Answer(ask), nil
		},
		Renew: func(_ context.Context, address string, renewal limits.PoolRenewal) error {
			if err := f.callError(name, address); err != nil {
				return err
			}
			f.pool(address, renewal.Apart).RenewAll(renewal)
			return nil
		},
		NotSent:       func(err error) bool { return errors.Is(err, errDown) },
		Organisations: func() []routes.Organisation { return []routes.Organisation{f.organisation} },
		Pool:          f.pools[name],
		Apart:         f.domainPools[name],
		Logger:        slog.New(slog.DiscardHandler),
		Now:           clock,
	})
}

func (f *fleet) pool(node string, apart bool) *limits.Pool {
	if apart {
		return f.domainPools[node]
	}
	return f.pools[node]
}

func (f *fleet) holders() []limits.Holder {
	if f.rosterUnread {
		return nil
	}
	var holders []limits.Holder
	for _, name := range f.names {
		holders = append(holders, limits.Holder{
			ID:            name,
			FailureDomain: f.domains[name],
			Address:       name,
		})
	}
	return holders
}

// take asks at a node and says whether it was granted.
func (f *fleet) take(node string, amount float64) bool {
	_, granted := f.allowances[node].Take(context.Background(), &f.organisation, amount, 0)
	if granted && amount > 0 {
		f.granted = append(f.granted, grant{
			at:     f.now,
			amount: amount,
		})
	}
	return granted
}

// renew lets every node renew its loan, as Run does.
func (f *fleet) renew() {
	for _, name := range f.names {
		if !f.down[name] {
			f.allowances[name].Renew(context.Background())
		}
	}
}

// maxWindowGrants is the largest sum of grants in one window, less the one that ends it:
// a bucket may be left in debt by its last grant.
func (f *fleet) maxWindowGrants() float64 {
	most := 0.0
	for i := range f.granted {
		sum := 0.0
		for j := i; j < len(f.granted) && f.granted[j].at.Sub(f.granted[i].at) < f.tolerance.Window; j++ {
			sum += f.granted[j].amount
		}
		most = max(most, sum)
	}
	return most
}

// tolerated is what the platform tolerates in one window.
func (f *fleet) tolerated() float64 {
	o := f.organisation
	return (o.Rate*f.tolerance.Window.Seconds()+o.Burst)*(1+f.tolerance.Overage) + f.tolerance.Slack
}

// An organisation asks for far more than it may. Nodes are cut off and come
// back, and processes start again, in any order and more than once. All nodes
// together never give out more than is tolerated: parts are lent or used, not both.
func TestAllowanceHoldsThroughPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "nodes"))
		for i, name := range f.names {
			f.domains[name] = fmt.Sprint("domain-", i%3)
			f.start(name)
		}
		for range 60 {
			f.now = f.now.Add(100 * time.Millisecond)
			f.renew()
		}
		for step := range rapid.IntRange(20, 120).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			if step%4 == 0 {
				f.renew()
			}
			node := rapid.SampledFrom(f.names).Draw(t, "node")
			switch rapid.IntRange(0, 16).Draw(t, "event") {
			case 15:
				f.down[node] = true
			case 16:
				if f.down[node] {
					delete(f.down, node)
					f.start(node)
				}
			case 13:
				f.partitioned[f.domains[node]] = true
			case 14:
				delete(f.partitioned, f.domains[node])
			case 0:
				f.partitioned[node] = true
			case 1:
				delete(f.partitioned, node)
			case 2:
				f.start(node)
			default:
				for range 5 {
					if f.down[node] {
						break
					}
					f.take(node, float64(rapid.IntRange(1, 300).Draw(t, "amount")))
				}
			}
		}
		if f.maxWindowGrants() > f.tolerated() {
			t.Fatalf("%.0f given out in one window, %.0f tolerated", f.maxWindowGrants(), f.tolerated())
		}
	})
}

// One organisation's requests come unevenly to nine nodes, some of them larger
// than a ninth of its burst, and use two thirds of its rate. None is refused:
// divided into fixed parts the same load loses the large ones.
func TestPooledAllowanceAdmitsLargeRequests(t *testing.T) {
	check := is.New(t)
	f := newFleet(9)
	for range 60 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.renew()
	}
	refused := 0
	for i := range 300 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.renew()
		node := f.names[(i*i)%3] // three of the nine get all callers
		amount := 20.0
		if i%10 == 0 {
			amount = 480
		}
		if !f.take(node, amount) {
			refused++
		}
	}
	check.Equal(refused, 0)
}

// A node that reaches no other goes on giving out its own part once its loan
// has run out.
func TestCutOffNodeServesItsPart(t *testing.T) {
	check := is.New(t)
	f := newFleet(4)
	f.renew()
	f.partitioned["node-0"] = true
	granted := 0.0
	for range 100 {
		f.now = f.now.Add(100 * time.Millisecond)
		if f.take("node-0", 20) {
			granted += 20
		}
	}
	check.True(granted > 0.5*0.25*f.organisation.Rate*10) // most of a quarter for 10 s
	check.True(granted < 0.25*f.tolerated()*10/8)
}

// What callers see: while their failure domain is cut off, requests of an
// organisation that uses six tenths of its allowance are refused: 31 of 200.
// The domain's nodes reach no pool of the fleet. Each gave out its own part,
// which a large request overdraws for long, and callers come unevenly to the
// nodes. They now pool their parts among themselves, and go back after the cut.
func TestCutOffFailureDomainPoolsItsParts(t *testing.T) {
	check := is.New(t)
	f := newFleet(64)
	for i, name := range f.names {
		f.domains[name] = fmt.Sprint("domain-", i%4)
		f.start(name)
	}
	inside := []string{"node-1", "node-5", "node-9", "node-13", "node-17", "node-21", "node-25", "node-29"}
	refused, asked := 0, 0
	play := func(length time.Duration) {
		refused, asked = 0, 0
		for i := range int(length / (50 * time.Millisecond)) {
			f.now = f.now.Add(50 * time.Millisecond)
			if i%10 == 0 {
				f.renew()
			}
			amount := 4.0
			if i%60 == 0 {
				amount = 200 // with these, six tenths of the domain's part
			}
			asked++
			if !f.take(inside[i%13%8], amount) {
				refused++
			}
		}
	}
	play(2 * time.Second) // the pool fills
	play(6 * time.Second)
	check.Equal(refused, 0)
	f.partitioned["domain-1"] = true
	play(4 * time.Second) // loans to pools outside run out, the domain's pool fills
	play(10 * time.Second)
	t.Logf("%d of %d refused in the cut", refused, asked)
	check.Equal(refused, 0)
	delete(f.partitioned, "domain-1")
	play(3 * time.Second)
	play(6 * time.Second)
	check.Equal(refused, 0)
	check.True(f.maxWindowGrants() <= f.tolerated())
}

// What callers see: right after all nodes lost power, requests of an
// organisation that uses a tenth of its allowance are refused for a second.
// Every pool begins empty, and fills with what comes from then on.
func TestNewPoolsServeAtOnce(t *testing.T) {
	check := is.New(t)
	f := newFleet(9)
	for _, name := range f.names {
		check.True(f.take(name, 20))
	}
	check.True(f.maxWindowGrants() <= f.tolerated())
}

// What callers see: after a loss of power a node refuses an organisation's
// requests for up to a second more than it takes to start. Its first request came
// before it knew of any other node; it took itself for cut off, until the next
// renewal of loans showed that others answer.
func TestNodeThatHasJustStartedIsNotCutOff(t *testing.T) {
	check := is.New(t)
	f := newFleet(9)
	for range 60 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.renew()
	}
	f.start("node-0")
	f.rosterUnread = true
	check.True(!f.take("node-0", 300))
	f.rosterUnread = false
	check.True(f.take("node-0", 300))
}

// What callers see: a node that has just lost the others refuses even a small
// request for 2.5 s, and says to come back after ten. Its part is lent to a pool
// that it no longer reaches, so that its own pool has nothing. Small requests are
// now served by what the platform tolerates, and a larger one is told the time
// at which it is served indeed.
func TestPartitionedNodeServesWhileItsPartIsLent(t *testing.T) {
	for _, name := range []string{"node-0", "node-1"} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			f := newFleet(2)
			for range 60 {
				f.now = f.now.Add(100 * time.Millisecond)
				f.renew()
			}
			f.take(name, 1)
			f.partitioned[name] = true
			check.True(f.take(name, 20))
			wait, granted := f.allowances[name].Take(context.Background(), &f.organisation, 450, 0)
			if granted {
				return // this node holds the pool, which is full
			}
			t.Logf("come back after %v", wait)
			check.True(wait < 5*time.Second)
			for back := f.now.Add(wait); f.now.Before(back); f.now = f.now.Add(100 * time.Millisecond) {
				f.renew()
			}
			check.True(f.take(name, 450))
			check.True(f.maxWindowGrants() <= f.tolerated())
		})
	}
}

// What callers see: a node that starts alone, where nothing is tolerated beyond
// the allowance, refuses all for 2.5 s after one request came before it had read
// the roster. That request noted its part as lent.
func TestFirstRequestBeforeTheRosterLendsNothing(t *testing.T) {
	check := is.New(t)
	f := newFleet(1)
	f.tolerance = limits.Tolerance{
		Window: 8 * time.Second,
	}
	f.start("node-0")
	f.rosterUnread = true
	f.take("node-0", 1)
	f.rosterUnread = false
	f.take("node-0", 1)
	f.now = f.now.Add(100 * time.Millisecond)
	check.True(f.take("node-0", 1))
}

// What callers see: all nodes lose power; the one that starts first refuses its
// callers for 2.5 s. It asked two others that did not run yet, and its part
// counted as lent to the second of them, though nothing was sent.
func TestPartIsNotLentByCallsThatWereNotSent(t *testing.T) {
	check := is.New(t)
	f := newFleet(4)
	f.tolerance = limits.Tolerance{
		Window: 8 * time.Second,
	}
	for _, name := range f.names {
		f.start(name)
		f.down[name] = name != "node-0"
	}
	f.take("node-0", 1)
	f.now = f.now.Add(200 * time.Millisecond)
	check.True(f.take("node-0", 20))
	check.True(f.maxWindowGrants() <= f.tolerated())
}
