package limits_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/limits"
)

// Guards against malformed usage from a faulty peer or one of another version: any
// bytes received by gossip must neither crash the node nor make an idle service
// refuse a request.
func TestMalformedUsageIsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite([]string{"x", "y"}, map[string]float64{"a": 1})
		value := rapid.SliceOfN(rapid.Byte(), 0, zinniamast.MaxGossipValueBytes).Draw(t, "value")
		key := rapid.SampledFrom([]string{"node", "domain", "other"}).Draw(t, "key")
		s.bus.ports[0].receive(zinniamast.GossipItem{
			Key:     key,
			Value:   value,
			Origin:  "1",
			Expires: s.queue.now.Add(time.Minute),
		})
		_, err := s.nodes[0].Admit(zinniamast.Admission{
			Organisation: "a",
			Service:      "assistant",
			Priority:     1,
		})
		if err != nil {
			t.Fatalf("request refused by an idle service: %v", err)
		}
	})
}

// Guards against memory that is counted wrongly: whatever the order of admissions
// and releases, a request is admitted exactly if its memory fits under the cap.
func TestMemoryIsCountedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		limiter := limits.New(limits.Config{
			Board:     blackboard.New(),
			MemoryCap: capacity,
		})
		used := 0
		var tickets []zinniamast.Ticket
		var sizes []int
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			size := rapid.IntRange(1, 400).Draw(t, "size")
			if len(tickets) > 0 && rapid.Bool().Draw(t, "release") {
				last := len(tickets) - 1
				tickets[last].Release()
				used -= sizes[last]
				tickets, sizes = tickets[:last], sizes[:last]
				continue
			}
			ticket, err := limiter.Admit(zinniamast.Admission{Bytes: size})
			if (err == nil) != (used+size <= capacity) {
				t.Fatalf("%d bytes in use, %d requested: %v", used, size, err)
			}
			if err == nil {
				used += size
				tickets = append(tickets, ticket)
				sizes = append(sizes, size)
			}
		}
	})
}
