package demand_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/demand"
)

// wire carries news between nodes at once; a cut one carries none.
type wire struct {
	hear map[string]func(zinniamast.News)
	cut  atomic.Bool
}

// end is one node's side of the wire.
type end struct {
	wire *wire
	node string
}

func (e end) Publish(news zinniamast.News) {
	news.Origin = e.node
	for node, hear := range e.wire.hear {
		if node != e.node && !e.wire.cut.Load() {
			hear(news)
		}
	}
}

func (e end) Subscribe(_ zinniamast.Topic, f func(zinniamast.News)) { e.wire.hear[e.node] = f }

func node(w *wire, name string) *demand.Demand {
	return demand.New(demand.Config{
		Node: name,
		Gossip: end{
			wire: w,
			node: name,
		},
		Nodes: func() int { return 2 },
	})
}

// Two nodes are asked of one service. Each knows what both are asked; when they
// are cut off from each other, each soon counts its own alone.
func TestSumsOverNodes(t *testing.T) {
	check := is.New(t)
	w := &wire{
		hear: map[string]func(zinniamast.News){},
	}
	one, other := node(w, "one"), node(w, "other")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go one.Run(ctx)
	go other.Run(ctx)
	for range 10 {
		one.Entered("svc", 100)
		other.Entered("svc", 300)
	}
	time.Sleep(1200 * time.Millisecond)
	sum := one.Of("svc")
	check.True(sum.Running > 3) // twenty run, averaged over three seconds
	check.True(sum.Prompt > 500)
	w.cut.Store(true)
	time.Sleep(2500 * time.Millisecond)
	alone := one.Of("svc")
	check.True(alone.Arrivals < sum.Arrivals/2)
}

// News that is cut short or of another version counts as nothing said.
func TestUnreadableNews(t *testing.T) {
	w := &wire{
		hear: map[string]func(zinniamast.News){},
	}
	one := node(w, "one")
	for length := range 40 {
		w.hear["one"](zinniamast.News{
			Origin: "other",
			Value:  make([]byte, length),
		})
	}
	is.New(t).Equal(one.Of("svc").Running, 0.0)
}
