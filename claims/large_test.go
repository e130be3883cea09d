package claims_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/claims"
	"zinniamast/standin/platform"
)

func largeCall(key string) claims.Call {
	return claims.Call{
		Organisation: "north",
		Service:      "booking",
		Key:          key,
		Method:       "POST",
		Path:         "/reservations",
		Deadline:     time.Now().Add(requestTimeout),
	}
}

// largeCase is a fault at one step of storing a large answer.
type largeCase struct {
	name    string
	objects []int
	// table has the faults of the claim's, the outcome's and the link's write.
	table []int
	// bodyBytes is the length of the answer's body; 200 if zero.
	bodyBytes int
	// diesAfter is the time from the answer to the death of the node's process;
	// the process survives if zero.
	diesAfter   time.Duration
	answerKept  bool
	objectsLeft int // objects in the store at the end
}

var largeCases = []largeCase{
	{name: "no fault", answerKept: true, objectsLeft: 1},
	{name: "object write lost", objects: []int{objectWriteLost, objectWriteLost}, answerKept: true, objectsLeft: 1},
	{name: "response of object write lost", objects: []int{objectAnswerLost}, answerKept: true, objectsLeft: 1},
	{name: "object store hangs", objects: []int{objectHangs}},
	{name: "object store down", objects: []int{objectWriteLost, objectWriteLost, objectWriteLost, objectWriteLost, objectWriteLost, objectWriteLost}},
	{name: "object truncated", objects: []int{objectTruncated}, objectsLeft: 1},
	{name: "object replaced", objects: []int{objectReplaced}, objectsLeft: 1},
	{name: "object missing", objects: []int{objectMissing}},
	{name: "response of outcome write lost", table: []int{faultNone, faultAnswerLost}, answerKept: true, objectsLeft: 1},
	{name: "response of link write lost", table: []int{faultNone, faultNone, faultAnswerLost}, answerKept: true, objectsLeft: 1},
	{name: "link write lost", table: []int{faultNone, faultNone, faultWriteLost}, answerKept: true, objectsLeft: 1},
	{name: "link write delayed", table: []int{faultNone, faultNone, faultDelayed}, answerKept: true, objectsLeft: 1},
	{name: "process dies before object write", diesAfter: 10 * time.Millisecond},
	{name: "process dies between object and link writes", diesAfter: 30 * time.Millisecond, objectsLeft: 1,
		table: []int{faultNone, faultNone, faultWriteLost}},
	{name: "above MaxObject", bodyBytes: 900},
	{name: "above MaxObjectBytes", bodyBytes: 600},
}

// Each step of storing an answer that is too large for the table fails in turn.
// The caller must not wait for any of them, and the outcome must be in the table
// within 15 ms whatever the object store does. A repeated request through another
// node must receive the same answer or that the call ran, never part of the
// answer, another answer or a second run.
func TestLargeAnswers(t *testing.T) {
	for _, c := range largeCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLargeAnswer(is.New(t), c) })
		})
	}
}

func checkLargeAnswer(is *is.I, c largeCase) {
	ctx := context.Background()
	table := newFaultyTable(c.table, time.Second)
	table.objects = newFaultyObjects(c.objects)
	newNode := func(name string) (*claims.Claims, *link) {
		l := newLink(table)
		return claims.New(claims.Config{
			Table:          l,
			Objects:        table.objects,
			Node:           name,
			MaxAnswer:      maxAnswer,
			MaxObject:      800,
			MaxObjectBytes: 500,
		}), l
	}
	holder, holderLink := newNode("node-0")
	result, err := holder.Begin(ctx, largeCall("k"))
	is.NoErr(err)
	answer := zinniamast.ServiceAnswer{
		Status: 201,
		Header: map[string][]string{"Content-Type": {"text/plain"}},
		Body:   []byte(strings.Repeat("whole ", 200)[:max(c.bodyBytes, 200)]),
	}
	before := time.Now()
	result.Claim.Answer(answer)
	is.Equal(time.Since(before), time.Duration(0)) // the caller does not wait for the stores

	if c.diesAfter > 0 {
		time.Sleep(c.diesAfter)
		holderLink.kill()
		ended, cancel := context.WithCancel(ctx)
		cancel()
		holder.Close(ended)
	}
	other, _ := newNode("node-1")
	if c.table == nil {
		time.Sleep(15*time.Millisecond - min(c.diesAfter, 15*time.Millisecond))
		saved, err := other.Read(ctx, largeCall("k"))
		is.NoErr(err)
		is.Equal(saved.State, claims.StateDone) // the outcome does not wait for the object
	}
	time.Sleep(10 * time.Second)
	again, err := other.Begin(ctx, largeCall("k"))
	is.NoErr(err)
	is.True(again.Claim == nil) // no second run
	is.Equal(again.Record.State, claims.StateDone)
	is.Equal(again.Record.Answer != nil, c.answerKept)
	if c.answerKept {
		is.Equal(*again.Record.Answer, answer)
	}
	is.Equal(table.objects.count(), c.objectsLeft)
	is.Equal(holder.Close(ctx), 0)
	is.Equal(other.Close(ctx), 0)
}

// While the object store hangs, the holder answers a repeated request from
// memory. After the object write has timed out, a repeated request must still
// receive that the call ran, from the outcome in the table.
func TestLargeAnswerFromMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		node := claims.New(claims.Config{
			Table:     platform.New(platform.Config{}).Table,
			Objects:   newFaultyObjects([]int{objectHangs}),
			MaxAnswer: maxAnswer,
		})
		result, err := node.Begin(ctx, largeCall("k"))
		is.NoErr(err)
		result.Claim.Answer(zinniamast.ServiceAnswer{Body: make([]byte, 200)})
		time.Sleep(time.Second)
		again, err := node.Begin(ctx, largeCall("k"))
		is.NoErr(err)
		is.Equal(len(again.Record.Answer.Body), 200)
		time.Sleep(10 * time.Second)
		again, err = node.Begin(ctx, largeCall("k"))
		is.NoErr(err)
		is.Equal(again.Record.State, claims.StateDone)
		is.True(again.Record.Answer == nil)
		is.Equal(node.Close(ctx), 0)
	})
}

// A node stops while the object store hangs. Its outcomes are in the table and
// count as saved, and Close waits at most half a second for the object: a longer
// wait would use up the reclaim notice period that running requests need.
func TestCloseWithHangingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		table := platform.New(platform.Config{}).Table
		node := claims.New(claims.Config{
			Table:   table,
			Objects: newFaultyObjects([]int{objectHangs}),
		})
		result, err := node.Begin(ctx, largeCall("k"))
		is.NoErr(err)
		result.Claim.Answer(zinniamast.ServiceAnswer{Body: make([]byte, 200<<10)})
		before := time.Now()
		is.Equal(node.Close(ctx), 0)
		is.True(time.Since(before) <= 600*time.Millisecond)
		other := claims.New(claims.Config{Table: table})
		record, err := other.Read(ctx, largeCall("k"))
		is.NoErr(err)
		is.Equal(record.State, claims.StateDone)
		is.Equal(other.Close(ctx), 0)
	})
}

// This test logs the figures of docs/design/0301-claims.md for answers of 200 KiB:
// table bytes and writes per booking, without an object store and with one that
// has a delay of 20 ms.
func TestLargeAnswersCost(t *testing.T) {
	for _, withStore := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const bookings = 50
			is := is.New(t)
			ctx := context.Background()
			table := &countingTable{Table: platform.New(platform.Config{TableDelay: 5 * time.Millisecond}).Table}
			config := claims.Config{Table: table}
			if withStore {
				config.Objects = newFaultyObjects(nil)
			}
			node := claims.New(config)
			var waited, replayed time.Duration
			saved, answers, bytes, items := 0, 0, 0, 0
			for i := range bookings {
				table.takeCounts()
				result, err := node.Begin(ctx, largeCall(fmt.Sprint(i)))
				is.NoErr(err)
				before := time.Now()
				result.Claim.Answer(zinniamast.ServiceAnswer{Status: 200, Body: make([]byte, 200<<10)})
				waited += time.Since(before)
				time.Sleep(6 * time.Millisecond)
				item, err := table.Table.Get(ctx, zinniamast.Key{
					Partition: fmt.Sprint("claim/north/booking/", i),
					Sort:      "claim",
				})
				is.NoErr(err)
				if strings.Contains(string(item.Value), `"done"`) {
					saved++
				}
				time.Sleep(time.Second)
				wroteBytes, wroteItems := table.takeCounts()
				bytes += wroteBytes
				items += wroteItems
				before = time.Now()
				again, err := node.Begin(ctx, largeCall(fmt.Sprint(i)))
				is.NoErr(err)
				replayed += time.Since(before)
				if again.Record.Answer != nil {
					answers++
				}
			}
			is.Equal(waited, time.Duration(0))
			is.Equal(saved, bookings)
			is.Equal(answers == bookings, withStore)
			is.True(bytes/bookings < 4096) // the answer itself is not in the table
			t.Logf("objects %v: %d of %d repeats answered in %v each, caller waits %v, %d bytes and %d items written per booking",
				withStore, answers, bookings, replayed/bookings, waited/bookings, bytes/bookings, items/bookings)
			is.Equal(node.Close(ctx), 0)
		})
	}
}

// takeCounts returns the bytes and items written since the last call.
func (c *countingTable) takeCounts() (bytes, items int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes, items = c.bytes, c.items
	c.bytes, c.items = 0, 0
	return bytes, items
}

// countingTable counts the bytes and items written.
type countingTable struct {
	zinniamast.Table

	mu           sync.Mutex
	bytes, items int
}

func (c *countingTable) Write(ctx context.Context, writes []zinniamast.Write) error {
	c.mu.Lock()
	for _, w := range writes {
		c.items++
		c.bytes += len(w.Item.Value)
	}
	c.mu.Unlock()
	return c.Table.Write(ctx, writes)
}
