package queue_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/queue"
)

// hub delivers gossip items to all other nodes.
type hub struct {
	mu        sync.Mutex
	receivers map[string]func(zinniamast.GossipItem)
	bytes     int
}

// link connects one node to the hub. It implements zinniamast.Gossip.
type link struct {
	hub  *hub
	node string
}

// Publish implements zinniamast.Gossip.
func (l link) Publish(item zinniamast.GossipItem) {
	l.hub.mu.Lock()
	defer l.hub.mu.Unlock()
	l.hub.bytes += len(item.Value)
	for node, receive := range l.hub.receivers {
		if node != l.node {
			time.AfterFunc(100*time.Millisecond, func() { receive(item) })
		}
	}
}

// Subscribe implements zinniamast.Gossip.
func (l link) Subscribe(_ zinniamast.Topic, receive func(zinniamast.GossipItem)) {
	l.hub.receivers[l.node] = receive
}

// playDemand lets nodes get numbers of requests a second, each of which runs for a second, and
// returns how many of 20 replicas' eight slots are each node's in the end.
func playDemand(perSecond []int) (places []int, bytes int) {
	h := &hub{
		receivers: map[string]func(zinniamast.GossipItem){},
	}
	var names []string
	for i := range perSecond {
		names = append(names, fmt.Sprint("node-", i))
	}
	var queues []*queue.Queue
	var done sync.WaitGroup
	for i, rate := range perSecond {
		q := queue.New(queue.Config{
			Node: names[i],
			Gossip: link{
				hub:  h,
				node: names[i],
			},
		})
		queues = append(queues, q)
		done.Go(func() {
			for range 10 * rate {
				time.Sleep(time.Second / time.Duration(rate))
				done.Go(func() {
					var e queue.Entry
					q.Enter(&e, request("acme", 1))
					ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
					defer cancel()
					_, _ = e.Wait(ctx)
					e.Began()
					time.Sleep(time.Second)
					e.Ended()
				})
			}
		})
	}
	done.Wait()
	for _, q := range queues {
		held := q.Places(func() []string { return names })
		sum := 0
		for r := range 20 {
			sum += held(service, fmt.Sprint("i-", r), 8)
		}
		places = append(places, sum)
	}
	time.Sleep(time.Minute)
	h.mu.Lock()
	defer h.mu.Unlock()
	return places, h.bytes
}

// Guards against places that most callers' node lacks while they stand idle at others.
func TestPlacesFollowTheDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		places, bytes := playDemand([]int{60, 5, 5, 5, 5})
		t.Logf("%v places, %d bytes", places, bytes)
		check.True(places[0] >= 80) // half of them
		total := places[0]
		for _, held := range places[1:] {
			check.True(held >= 8) // a part of the places like that of the demand, and spare ones
			total += held
		}
		check.True(total >= 155 && total <= 165)
	})
}

// Guards against nodes that disagree on their places because their demands differ by chance.
func TestSimilarDemandsShareEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		places, _ := playDemand([]int{10, 14, 12, 9})
		t.Logf("%v places", places)
		total := 0
		for _, held := range places {
			check.True(held >= 35 && held <= 45)
			total += held
		}
		check.Equal(total, 160)
	})
}

// Guards against slots that two nodes own, or none, where all know the same weights.
func TestEachSlotBelongsToOneNode(t *testing.T) {
	check := is.New(t)
	for _, nodes := range []int{1, 2, 6, 113, 370} {
		var names []string
		var weights []float64
		for i := range nodes {
			names = append(names, fmt.Sprint("node-", i))
			weights = append(weights, 0.1+math.Mod(float64(i)*7.3, 50))
		}
		for r := range 10 {
			total := 0
			for i := range nodes {
				held := queue.OwnPlaces(fmt.Sprint("i-", r), 16, i, names, weights)
				check.True(held >= 0)
				total += held
			}
			check.Equal(total, 16)
		}
	}
}

// Guards against reports that are cut short, name no number, or come from a node of the same name.
func TestOddReportsAreIgnored(t *testing.T) {
	check := is.New(t)
	h := &hub{
		receivers: map[string]func(zinniamast.GossipItem){},
	}
	q := queue.New(queue.Config{
		Node: "node-0",
		Gossip: link{
			hub:  h,
			node: "node-0",
		},
	})
	var e queue.Entry
	q.Enter(&e, request("acme", 1))
	names := []string{"node-0", "node-1"}
	before := q.Places(func() []string { return names })(service, "i-1", 8)
	for _, value := range [][]byte{nil, {1, 2, 3}, make([]byte, 8), {0, 0, 0, 0, 0x7f, 0xc0, 0, 0}, {0, 0, 0, 0, 0xff, 0x80, 0, 0}} {
		for _, key := range names {
			h.receivers["node-0"](zinniamast.GossipItem{
				Topic:   zinniamast.TopicQueue,
				Key:     key,
				Value:   value,
				Expires: time.Now().Add(time.Minute),
			})
		}
	}
	check.Equal(q.Places(func() []string { return names })(service, "i-1", 8), before)
	check.Equal(q.Places(func() []string { return names[1:] })(service, "i-1", 8), 0)
}

// Guards against a node with bulk callers alone that keeps places while others refuse urgent ones, and against one that keeps none.
func TestPlacesFollowTheClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		h := &hub{
			receivers: map[string]func(zinniamast.GossipItem){},
		}
		names := []string{"bulk", "urgent-1", "urgent-2"}
		var held [3]int
		var done sync.WaitGroup
		for i, name := range names {
			q := queue.New(queue.Config{
				Node: name,
				Gossip: link{
					hub:  h,
					node: name,
				},
				Slots: func(string) int { return 160 },
			})
			done.Go(func() {
				callEachSecond(q, 150, 10*time.Second, 2*max(0, 1-i))
				for r := range 20 {
					held[i] += q.Places(func() []string { return names })(service, fmt.Sprint("i-", r), 8)
				}
			})
		}
		done.Wait()
		time.Sleep(time.Minute) // until all requests and timers have ended
		t.Logf("%v places", held)
		check.True(held[0] >= 16 && held[0] <= 32) // a tenth, and spare ones
		check.True(held[1] >= 60 && held[2] >= 60)
	})
}

// callEachSecond lets requests of a class, each of which runs for a second, arrive at a node.
func callEachSecond(q *queue.Queue, perSecond int, length time.Duration, priority int) {
	for range perSecond * int(length/time.Second) {
		time.Sleep(time.Second / time.Duration(perSecond))
		go runForSecond(q, priority)
	}
}

// Guards against nodes that tell each other their demand for ever because each has heard of the other's.
func TestDemandIsNotToldOnceCapacitySuffices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		h := &hub{
			receivers: map[string]func(zinniamast.GossipItem){},
		}
		var queues []*queue.Queue
		for _, name := range []string{"node-0", "node-1"} {
			q := queue.New(queue.Config{
				Node: name,
				Gossip: link{
					hub:  h,
					node: name,
				},
			})
			queues = append(queues, q)
			go callEachSecond(q, 10, 10*time.Second, 0)
		}
		bytesAfter := func(wait time.Duration) int {
			time.Sleep(wait)
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.bytes
		}
		told := bytesAfter(40 * time.Second)
		check.True(told > 0)
		check.Equal(bytesAfter(time.Minute), told)
		check.True(!queues[0].IsAnyShort() && !queues[1].IsAnyShort())
	})
}

// Guards against reports that name classes that do not exist, are cut short or name a demand that no node can have.
func TestMalformedDemandsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		h := &hub{
			receivers: map[string]func(zinniamast.GossipItem){},
		}
		q := queue.New(queue.Config{
			Node: "node-0",
			Gossip: link{
				hub:  h,
				node: "node-0",
			},
		})
		callEachSecond(q, 10, 6*time.Second, 0)
		names := []string{"node-0", "node-1"}
		places := func() int { return q.Places(func() []string { return names })(service, "i-1", 8) }
		check.Equal(places(), 4)
		hash := binary.BigEndian.AppendUint32(nil, uint32(xxh3.HashString(service)))
		for _, rest := range [][]byte{
			{},
			{0x80},
			{0x80, 0x01},                         // a class without a demand
			{0x80, 0x01, 0x49},                   // a demand that is cut short
			{0x84, 0x00, 0x49, 0x80},             // a class that does not exist
			{0x80, 0x01, 0x7f, 0xc0},             // not a number
			{0x80, 0x01, 0x7f, 0x80},             // infinite
			{0x80, 0x01, 0xc1, 0x20},             // negative
			{0x80, 0x01, 0x7e, 0x96},             // huge
			{0x80, 0x01, 0x44, 0x7a, 0x00},       // a byte too many
			{0x44, 0x7a, 0x00, 0x00},             // the format of earlier versions: 1,000 places
			{0x80, 0x01, 0x44, 0x7a, 0, 0, 0, 0}, // a second service that is cut short
		} {
			h.receivers["node-0"](zinniamast.GossipItem{
				Topic:   zinniamast.TopicQueue,
				Key:     "node-1",
				Value:   append(slices.Clone(hash), rest...),
				Expires: time.Now().Add(time.Minute),
			})
			check.Equal(places(), 4)
		}
		h.receivers["node-0"](zinniamast.GossipItem{
			Topic:   zinniamast.TopicQueue,
			Key:     "node-1",
			Value:   append(slices.Clone(hash), 0x80, 0x01, 0x44, 0x7a),
			Expires: time.Now().Add(time.Minute),
		})
		check.True(places() < 4) // 1,000 places in the present format
		time.Sleep(time.Minute)  // until all requests and timers have ended
	})
}

// BenchmarkWeights measures the weights of 113 nodes with three classes each, which are worked out five times a second at most.
func BenchmarkWeights(b *testing.B) {
	h := &hub{
		receivers: map[string]func(zinniamast.GossipItem){},
	}
	q := queue.New(queue.Config{
		Node: "node-0",
		Gossip: link{
			hub:  h,
			node: "node-0",
		},
		Slots: func(string) int { return 1440 },
	})
	var e queue.Entry
	q.Enter(&e, request("acme", 1))
	var names []string
	for i := range 113 {
		names = append(names, fmt.Sprint("node-", i))
		value := binary.BigEndian.AppendUint32(nil, uint32(xxh3.HashString(service)))
		value = append(value, 0x80, 0x07, 0x41, 0x20+byte(i%32), 0x41, 0x20, 0x41, 0x20)
		h.receivers["node-0"](zinniamast.GossipItem{
			Topic:   zinniamast.TopicQueue,
			Key:     names[i],
			Value:   value,
			Expires: time.Now().Add(time.Hour),
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Places(func() []string { return names })(service, "i-1", 16)
	}
}

// BenchmarkOwnPlaces measures the share of one replica among 113 nodes.
func BenchmarkOwnPlaces(b *testing.B) {
	var names []string
	var weights []float64
	for i := range 113 {
		names = append(names, fmt.Sprint("node-", i))
		weights = append(weights, float64(i+1))
	}
	b.ReportAllocs()
	for b.Loop() {
		queue.OwnPlaces("i-1", 16, 7, names, weights)
	}
}
