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

// bus delivers gossip items at once to all subscribers on other nodes.
type bus struct {
	mu          sync.Mutex
	subscribers map[string][]func(zinniamast.GossipItem)
	published   int
}

type busClient struct {
	bus  *bus
	node string
}

func (p busClient) Publish(item zinniamast.GossipItem) {
	p.bus.mu.Lock()
	defer p.bus.mu.Unlock()
	p.bus.published++
	for name, subscribers := range p.bus.subscribers {
		for _, f := range subscribers {
			if name != p.node {
				f(item)
			}
		}
	}
}

func (p busClient) Subscribe(_ zinniamast.Topic, f func(zinniamast.GossipItem)) {
	p.bus.subscribers[p.node] = append(p.bus.subscribers[p.node], f)
}

// cloud returns a list of notices, or an error while it is down.
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

// An upstream and an entry instance are reclaimed while one node can read the
// cloud API and the other cannot. Both nodes must stop sending work to the
// upstream, and the entry instance must be informed of its own notice once,
// whichever node reads it.
func TestNoticeIsSharedAndActedOnOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		gossipBus := &bus{subscribers: map[string][]func(zinniamast.GossipItem){}}
		at := time.Now().Add(30 * time.Second)
		online := &cloud{notices: []zinniamast.Notice{{Instance: "engine", At: at}, {Instance: "offline", At: at}, {Instance: "late", At: at}}}
		offline := &cloud{down: true}
		var reclaimed atomic.Int32
		var controllers []*notice.Controller
		boards := map[string]*blackboard.Board{}
		for name, c := range map[string]*cloud{"online": online, "offline": offline} {
			board := blackboard.New()
			board.Upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:      "engine",
					Started: time.Now(),
				},
			})
			boards[name] = board
			controller := notice.New(notice.Config{
				Cloud:             c,
				Upstreams:         board.Upstreams,
				Members:           board.Members,
				Gossip:            busClient{bus: gossipBus, node: name},
				Instance:          name,
				FailureDomain:     "a",
				OnInstanceReclaim: func(time.Time) { reclaimed.Add(1) },
				Logger:            slog.New(slog.DiscardHandler),
			})
			controllers = append(controllers, controller)
		}
		for _, controller := range controllers {
			go controller.Run(ctx)
		}
		time.Sleep(time.Second)
		// The lagging list shows an upstream only after its notice.
		for _, board := range boards {
			board.Upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:      "late",
					Started: time.Now(),
				},
			})
		}
		time.Sleep(2 * time.Second)
		for _, board := range boards {
			is.True(board.Upstreams.Get("late").Leaving())
		}
		for _, board := range boards {
			upstream := board.Upstreams.Get("engine")
			is.True(upstream.Leaving())
			is.True(upstream.LeavesAt().Equal(at))
		}
		time.Sleep(20 * time.Second)
		is.Equal(reclaimed.Load(), int32(1))
		is.Equal(gossipBus.published, 3) // each notice is published once
		cancel()
		synctest.Wait()
	})
}
