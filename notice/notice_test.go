package notice_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/notice"
)

// bus carries news at once to all subscribers of other nodes.
type bus struct {
	mu          sync.Mutex
	subscribers map[string][]func(zinniamast.GossipItem)
	published   int
}

type port struct {
	bus  *bus
	name string
}

func (p port) Publish(news zinniamast.GossipItem) {
	p.bus.mu.Lock()
	defer p.bus.mu.Unlock()
	p.bus.published++
	for name, subscribers := range p.bus.subscribers {
		for _, f := range subscribers {
			if name != p.name {
				f(news)
			}
		}
	}
}

func (p port) Subscribe(_ zinniamast.Topic, f func(zinniamast.GossipItem)) {
	p.bus.subscribers[p.name] = append(p.bus.subscribers[p.name], f)
}

// cloud answers with notices, or not at all.
type cloud struct {
	zinniamast.Cloud
	notices []zinniamast.Notice
	down    bool
	reads   int
}

func (c *cloud) Notices(context.Context) ([]zinniamast.Notice, error) {
	c.reads++
	if c.down {
		return nil, errors.New("down")
	}
	return c.notices, nil
}

// An upstream and an entry instance are reclaimed. One node can read the
// cloud's API, the other cannot. Both stop sending work to the upstream, and
// the entry instance hears of its own end, each once, whoever read it.
func TestNoticeReachesWhomItConcerns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		shared := &bus{subscribers: map[string][]func(zinniamast.GossipItem){}}
		at := time.Now().Add(30 * time.Second)
		seeing := &cloud{notices: []zinniamast.Notice{{Instance: "engine", At: at}, {Instance: "blind", At: at}, {Instance: "late", At: at}}}
		blind := &cloud{down: true}
		var told atomic.Int32
		var controllers []*notice.Controller
		tables := map[string]*blackboard.Board{}
		for name, c := range map[string]*cloud{"seeing": seeing, "blind": blind} {
			board := blackboard.New()
			board.Upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:      "engine",
					Started: time.Now(),
				},
			})
			tables[name] = board
			controller := notice.New(notice.Config{
				Cloud:         c,
				Upstreams:     board.Upstreams,
				Members:       board.Members,
				Gossip:        port{bus: shared, name: name},
				Instance:      name,
				FailureDomain: "a",
				OnOwn:         func(time.Time) { told.Add(1) },
				Logger:        slog.New(slog.DiscardHandler),
			})
			controllers = append(controllers, controller)
		}
		for _, controller := range controllers {
			go controller.Run(ctx)
		}
		time.Sleep(time.Second)
		// The lagging list shows an upstream only after its notice.
		for _, board := range tables {
			board.Upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:      "late",
					Started: time.Now(),
				},
			})
		}
		time.Sleep(2 * time.Second)
		for _, board := range tables {
			is.True(board.Upstreams.Get("late").Leaving())
		}
		for _, board := range tables {
			upstream := board.Upstreams.Get("engine")
			is.True(upstream.Leaving())
			is.True(upstream.LeavesAt().Equal(at))
		}
		time.Sleep(20 * time.Second)
		is.Equal(told.Load(), int32(1))
		is.Equal(shared.published, 3) // each notice is news once
		cancel()
		synctest.Wait()
	})
}
