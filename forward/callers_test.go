package forward_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinniamast/routes"
)

// The times of a load play. The crowd comes within the period whose requests are counted.
const (
	loadFrom  = 5 * time.Second
	loadUntil = 15 * time.Second
	loadAfter = 2 * time.Second
	// callerTimeout is how long a caller waits for its whole answer, with all its tries.
	callerTimeout = 5 * time.Second
	// atOnce is the time within which a refusal counts as immediate.
	atOnce = 5 * time.Millisecond
	// retryPatience is the part of its remaining time that a caller waits until it tries again.
	retryPatience = 1.0 / 3
)

// callerGroup is callers of one organisation that send requests at a common rate.
type callerGroup struct {
	name string
	// kind is shared by groups that are judged together; empty means that the group is alone.
	kind         string
	organisation string
	// load is the work that the group asks for, as a part of the capacity, and crowd what it asks
	// for in the counted period; zero means the same.
	load, crowd float64
	// sizes are the sizes of its requests; nil means 0.2 to 2 s.
	sizes []requestSize
	// calls reports whether the group sends requests to a node; nil means that it calls all.
	calls func(*fleetNode) bool
}

// requestSize is a part of the requests of a group, which take a time between two bounds at a
// replica of reference speed.
type requestSize struct {
	part        float64
	from, until time.Duration
	// tokens are the prompt's; zero lets the request name none.
	tokens int
}

func (s requestSize) mean() time.Duration { return (s.from + s.until) / 2 }

var anySize = []requestSize{{
	part:  1,
	from:  200 * time.Millisecond,
	until: 2 * time.Second,
}}

// groupCounts counts what became of a group's requests of the counted period.
type groupCounts struct {
	// sent and whole are the requests and those that got a whole answer, and onTarget those of
	// these whose first event came within the route's target of the first try.
	sent, whole, onTarget int
	// refusedAtOnce and refusedLater are the tries that were refused, brokenOff those that ended
	// without a status, and retryAfters what the refusals named.
	refusedAtOnce, refusedLater, brokenOff int
	retryAfters                            []time.Duration
	// bySize counts the requests of each size.
	bySize []sizeCounts
}

type sizeCounts struct {
	sent, whole int
}

func (g *groupCounts) add(other groupCounts) {
	g.sent += other.sent
	g.whole += other.whole
	g.onTarget += other.onTarget
	g.refusedAtOnce += other.refusedAtOnce
	g.refusedLater += other.refusedLater
	g.brokenOff += other.brokenOff
	g.retryAfters = append(g.retryAfters, other.retryAfters...)
	for i, s := range other.bySize {
		if i == len(g.bySize) {
			g.bySize = append(g.bySize, sizeCounts{})
		}
		g.bySize[i].sent += s.sent
		g.bySize[i].whole += s.whole
	}
}

// fraction returns a count as a part of another; a part of nothing is whole.
func fraction(count, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(count) / float64(of)
}

func (g *groupCounts) served() float64        { return fraction(g.whole, g.sent) }
func (g *groupCounts) servedInTime() float64  { return fraction(g.onTarget, g.sent) }
func (s sizeCounts) served() float64          { return fraction(s.whole, s.sent) }
func (g *groupCounts) median() time.Duration  { return g.quantile(0.5) }
func (g *groupCounts) longest() time.Duration { return g.quantile(1) }

// quantile returns a quantile of the retry times.
func (g *groupCounts) quantile(q float64) time.Duration {
	if len(g.retryAfters) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(g.retryAfters))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (g *groupCounts) String() string {
	text := fmt.Sprintf("%d of %d served (%.3f), %.3f on target, tries refused at once %d, later %d, broken off %d, retry after %v, at most %v",
		g.whole, g.sent, g.served(), g.servedInTime(), g.refusedAtOnce, g.refusedLater, g.brokenOff, g.median(), g.longest())
	if len(g.bySize) > 1 {
		for _, s := range g.bySize {
			text += fmt.Sprintf(", size served %.3f", s.served())
		}
	}
	return text
}

// loadPlay is a fleet with caller groups.
type loadPlay struct {
	fleet  fleetConfig
	groups []callerGroup
	// isPatient lets callers wait for the Retry-After of a refusal before they try again, if it
	// fits their patience; otherwise they try again at once.
	isPatient bool
	// countFrom is when the counted requests begin; zero means loadFrom.
	countFrom time.Duration
	// disturb is called at loadFrom; nil means that nothing happens.
	disturb func(*loadWorld)
}

// loadWorld is a fleet while a load play runs. The fleet's lock guards its counts.
type loadWorld struct {
	*fleet
	play   *loadPlay
	counts []groupCounts
	// capacity is the work that the replicas do in a second.
	capacity float64
	// requests holds the times at which requests reached a node, arrivedOnce the IDs of those that
	// reached a replica, and repeats the times at which one reached a replica again.
	requests    []time.Duration
	arrivedOnce map[string]bool
	repeats     []time.Duration
}

// run plays the play in virtual time.
func (p *loadPlay) run(t *testing.T, seed uint64) *loadWorld {
	w := &loadWorld{
		play:        p,
		arrivedOnce: map[string]bool{},
	}
	synctest.Test(t, func(t *testing.T) {
		config := p.fleet
		config.seed = seed
		config.logs = io.Discard
		w.fleet = newFleet(t, config)
		w.onArrival = w.countArrival
		for _, r := range w.replicas {
			w.capacity += r.speed * float64(config.slots)
		}
		if p.disturb != nil {
			time.AfterFunc(loadFrom, func() { p.disturb(w) })
		}
		w.counts = make([]groupCounts, len(p.groups))
		var done sync.WaitGroup
		for i := range p.groups {
			done.Go(func() { w.callAs(&done, i) })
		}
		done.Wait()
		time.Sleep(time.Minute)
	})
	return w
}

// countArrival counts a request that reaches a replica. The ID of a repeat may have a suffix.
func (w *loadWorld) countArrival(id string) {
	id, _, _ = strings.Cut(id, "/")
	if w.arrivedOnce[id] {
		w.repeats = append(w.repeats, time.Since(w.start))
	}
	w.arrivedOnce[id] = true
}

// callAs sends the requests of a group until the end of the play. All that is random is drawn here,
// in the order of the requests, so that it does not depend on how they fare.
func (w *loadWorld) callAs(done *sync.WaitGroup, group int) {
	g := &w.play.groups[group]
	sizes := g.sizes
	if sizes == nil {
		sizes = anySize
	}
	w.counts[group].bySize = make([]sizeCounts, len(sizes))
	meanWork := 0.0
	for _, s := range sizes {
		meanWork += s.part * s.mean().Seconds()
	}
	random := rand.New(rand.NewPCG(w.config.seed, uint64(group)))
	for number := 0; time.Since(w.start) < loadUntil+loadAfter; number++ {
		load := g.load
		if now := time.Since(w.start); g.crowd > 0 && now >= loadFrom && now < loadUntil {
			load = g.crowd
		}
		time.Sleep(time.Duration(random.ExpFloat64() * meanWork / (load * w.capacity) * float64(time.Second)))
		size, draw := 0, random.Float64()
		for draw -= sizes[0].part; draw >= 0 && size < len(sizes)-1; draw -= sizes[size].part {
			size++
		}
		c := &loadCall{
			world:    w,
			group:    group,
			id:       fmt.Sprint("group-", group, "-", number),
			size:     size,
			tokens:   sizes[size].tokens,
			duration: sizes[size].from + time.Duration(random.Float64()*float64(sizes[size].until-sizes[size].from)),
			nodes:    [2]float64{random.Float64(), random.Float64()},
			first:    time.Now(),
		}
		done.Go(c.run)
	}
}

// loadCall is a request of a caller, with its tries.
type loadCall struct {
	world    *loadWorld
	group    int
	id       string
	size     int
	tokens   int
	duration time.Duration
	// nodes are the random draws of the node for each try.
	nodes [2]float64
	// first is when the first try was sent.
	first time.Time
}

// try is the outcome of one try of a request.
type try struct {
	whole bool
	// status is zero if the connection ended without one.
	status     int
	firstEvent time.Time
	took       time.Duration
	retryAfter time.Duration
}

// run sends the request, and once more if it got no whole answer.
func (c *loadCall) run() {
	tries := []try{c.try(0)}
	if last := tries[0]; !last.whole {
		left := callerTimeout - time.Since(c.first)
		wait := time.Duration(0)
		if c.world.play.isPatient {
			wait = last.retryAfter
		}
		if wait <= time.Duration(retryPatience*float64(left)) {
			time.Sleep(wait)
			tries = append(tries, c.try(1))
		}
	}
	c.count(tries)
}

// try sends the request to a node that its group calls.
func (c *loadCall) try(number int) (t try) {
	w, g := c.world, &c.world.play.groups[c.group]
	id := c.id
	if number > 0 {
		id += "-again"
	}
	nodes := slices.DeleteFunc(slices.Clone(w.currentNodes()), func(n *fleetNode) bool {
		return n.leaves.Load() || g.calls != nil && !g.calls(n)
	})
	n := nodes[int(c.nodes[number]*float64(len(nodes)))]
	left := callerTimeout - time.Since(c.first)
	ctx, cancel := context.WithTimeout(n.killed, left)
	defer cancel()
	body := fmt.Sprint(id, " ", c.duration.Milliseconds())
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, pathResumable, strings.NewReader(body))
	request.Host = host
	request.Header.Set("Zinniamast-Request-Id", id)
	request.Header.Set("Zinniamast-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Api-Key", keyOf(g.organisation))
	if c.tokens > 0 {
		request.Header.Set("Zinniamast-Token-Count", fmt.Sprint(c.tokens, ",", takeoverEvents))
	}
	w.mu.Lock()
	w.requests = append(w.requests, time.Since(w.start))
	w.mu.Unlock()
	recorder := &timedRecorder{
		ResponseRecorder: httptest.NewRecorder(),
	}
	sent := time.Now()
	defer func() {
		t.took, t.firstEvent = time.Since(sent), recorder.first
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				panic(cause)
			}
			return
		}
		t.status = recorder.Code
		t.whole = t.status == http.StatusOK && recorder.Body.String() == events(takeoverEvents)
		if seconds, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64); err == nil {
			t.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}()
	n.handler.ServeHTTP(recorder, request)
	return t
}

// timedRecorder records the time at which an answer began.
type timedRecorder struct {
	*httptest.ResponseRecorder
	first time.Time
}

// Write implements http.ResponseWriter.
func (r *timedRecorder) Write(data []byte) (int, error) {
	if r.first.IsZero() {
		r.first = time.Now()
	}
	return r.ResponseRecorder.Write(data)
}

// count counts the request if it was sent in the counted period.
func (c *loadCall) count(tries []try) {
	w := c.world
	w.mu.Lock()
	defer w.mu.Unlock()
	at, from := c.first.Sub(w.start), w.play.countFrom
	if from == 0 {
		from = loadFrom
	}
	if at < from || at >= loadUntil {
		return
	}
	counts := &w.counts[c.group]
	counts.sent++
	counts.bySize[c.size].sent++
	for _, t := range tries {
		switch {
		case t.whole:
			counts.whole++
			counts.bySize[c.size].whole++
			if t.firstEvent.Sub(c.first) <= w.routes.Current().Match(host, pathResumable).Target {
				counts.onTarget++
			}
		case t.status == 0 || t.status == http.StatusOK:
			counts.brokenOff++
		case t.took <= atOnce:
			counts.refusedAtOnce++
		default:
			counts.refusedLater++
		}
		if t.retryAfter > 0 {
			counts.retryAfters = append(counts.retryAfters, t.retryAfter)
		}
	}
}

// keyOf returns the key of an organisation of a load play.
func keyOf(organisation string) string { return "key-of-" + organisation }

// organisation returns an organisation with a priority; a negative one means that it has none of
// its own.
func organisation(name string, priority int) routes.Organisation {
	o := routes.Organisation{
		Name: name,
		Keys: []string{keyOf(name)},
	}
	if priority >= 0 {
		o.Priority = &priority
	}
	return o
}
