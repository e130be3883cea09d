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

// largeCase is a fault at one step of keeping a large answer.
type largeCase struct {
	name    string
	objects []int
	// table faults meet the claim, the outcome and the pointer in turn.
	table []int
	// bodyBytes is the body's length, 200 if zero.
	bodyBytes int
	// diesAfter is when the node's process dies after the answer; zero is never.
	diesAfter   time.Duration
	answerKept  bool
	objectsLeft int // objects in the store in the end
}

var largeCases = []largeCase{
	{name: "no fault", answerKept: true, objectsLeft: 1},
	{name: "object write lost", objects: []int{objectWriteLost, objectWriteLost}, answerKept: true, objectsLeft: 1},
	{name: "its answer lost", objects: []int{objectAnswerLost}, answerKept: true, objectsLeft: 1},
	{name: "store hangs", objects: []int{objectHangs}},
	{name: "store down", objects: []int{objectWriteLost, objectWriteLost, objectWriteLost, objectWriteLost, objectWriteLost, objectWriteLost}},
	{name: "object cut short", objects: []int{objectTruncated}, objectsLeft: 1},
	{name: "foreign object", objects: []int{objectReplaced}, objectsLeft: 1},
	{name: "object vanished", objects: []int{objectMissing}},
	{name: "outcome's answer lost", table: []int{faultNone, faultAnswerLost}, answerKept: true, objectsLeft: 1},
	{name: "pointer's answer lost", table: []int{faultNone, faultNone, faultAnswerLost}, answerKept: true, objectsLeft: 1},
	{name: "pointer lost", table: []int{faultNone, faultNone, faultWriteLost}, answerKept: true, objectsLeft: 1},
	{name: "pointer late", table: []int{faultNone, faultNone, faultDelayed}, answerKept: true, objectsLeft: 1},
	{name: "process dies before the object", diesAfter: 10 * time.Millisecond},
	{name: "process dies between object and pointer", diesAfter: 30 * time.Millisecond, objectsLeft: 1,
		table: []int{faultNone, faultNone, faultWriteLost}},
	{name: "above MaxObject", bodyBytes: 900},
	{name: "above the bytes on their way", bodyBytes: 600},
}

// A booking's answer is too large for the table, and each step of keeping it
// fails in turn. The caller's own answer waits for none of it; the outcome is
// in the table within 15 ms whatever the object store does; a repeat through
// another node gets the very answer or hears that the call ran, never a part
// of the answer, another one, or a second run.
func TestLargeAnswers(t *testing.T) {
	for _, c := range largeCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLargeAnswer(is.New(t), c) })
		})
	}
}

func checkLargeAnswer(is *is.I, c largeCase) {
	ctx := context.Background()
	w := newFaultyTable(c.table, time.Second)
	w.objects = newFaultyObjects(c.objects)
	newNode := func(name string) (*claims.Claims, *link) {
		l := newLink(w)
		return claims.New(claims.Config{
			Table:          l,
			Objects:        w.objects,
			Node:           name,
			MaxAnswer:      maxAnswer,
			MaxObject:      800,
			MaxObjectBytes: 500,
		}), l
	}
	holder, way := newNode("node-0")
	standing, err := holder.Begin(ctx, largeCall("k"))
	is.NoErr(err)
	answer := zinniamast.ServiceAnswer{
		Status: 201,
		Header: map[string][]string{"Content-Type": {"text/plain"}},
		Body:   []byte(strings.Repeat("whole ", 200)[:max(c.bodyBytes, 200)]),
	}
	before := time.Now()
	standing.Claim.Answer(answer)
	is.Equal(time.Since(before), time.Duration(0)) // the caller waits for nothing

	if c.diesAfter > 0 {
		time.Sleep(c.diesAfter)
		way.kill()
		ended, cancel := context.WithCancel(ctx)
		cancel()
		holder.Close(ended)
	}
	other, _ := newNode("node-1")
	if c.table == nil {
		time.Sleep(15*time.Millisecond - min(c.diesAfter, 15*time.Millisecond))
		saved, err := other.Read(ctx, largeCall("k"))
		is.NoErr(err)
		is.Equal(saved.State, claims.StateDone) // the outcome waits for no object
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
	is.Equal(w.objects.count(), c.objectsLeft)
	is.Equal(holder.Close(ctx), 0)
	is.Equal(other.Close(ctx), 0)
}

// A repeat reaches the holder while the object store hangs: the answer comes
// from the holder's memory. Once the write is given up, the repeat hears that
// the call ran; the outcome was in the table all the while.
func TestLargeAnswerFromMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		held := claims.New(claims.Config{
			Table:     platform.New(platform.Config{}).Table,
			Objects:   newFaultyObjects([]int{objectHangs}),
			MaxAnswer: maxAnswer,
		})
		standing, err := held.Begin(ctx, largeCall("k"))
		is.NoErr(err)
		standing.Claim.Answer(zinniamast.ServiceAnswer{Body: make([]byte, 200)})
		time.Sleep(time.Second)
		again, err := held.Begin(ctx, largeCall("k"))
		is.NoErr(err)
		is.Equal(len(again.Record.Answer.Body), 200)
		time.Sleep(10 * time.Second)
		again, err = held.Begin(ctx, largeCall("k"))
		is.NoErr(err)
		is.Equal(again.Record.State, claims.StateDone)
		is.True(again.Record.Answer == nil)
		is.Equal(held.Close(ctx), 0)
	})
}

// The node stops while the object store hangs. Its outcomes are in the table
// and count as saved, and it waits half a second for the object at most:
// longer would take the notice of a reclaim from the requests that still run.
func TestCloseWithHangingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		table := platform.New(platform.Config{}).Table
		held := claims.New(claims.Config{
			Table:   table,
			Objects: newFaultyObjects([]int{objectHangs}),
		})
		standing, err := held.Begin(ctx, largeCall("k"))
		is.NoErr(err)
		standing.Claim.Answer(zinniamast.ServiceAnswer{Body: make([]byte, 200<<10)})
		before := time.Now()
		is.Equal(held.Close(ctx), 0)
		is.True(time.Since(before) <= 600*time.Millisecond)
		other := claims.New(claims.Config{Table: table})
		record, err := other.Read(ctx, largeCall("k"))
		is.NoErr(err)
		is.Equal(record.State, claims.StateDone)
		is.Equal(other.Close(ctx), 0)
	})
}

// The figures of docs/design/0301-claims.md for answers of 200 KiB: table bytes
// and writes a booking without an object store and with one of 20 ms.
func TestLargeAnswersCost(t *testing.T) {
	for _, kept := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const bookings = 50
			is := is.New(t)
			ctx := context.Background()
			table := &countingTable{Table: platform.New(platform.Config{TableDelay: 5 * time.Millisecond}).Table}
			config := claims.Config{Table: table}
			if kept {
				config.Objects = newFaultyObjects(nil)
			}
			held := claims.New(config)
			var waited, replayed time.Duration
			saved, answers, bytes, items := 0, 0, 0, 0
			for i := range bookings {
				table.takeCounts()
				standing, err := held.Begin(ctx, largeCall(fmt.Sprint(i)))
				is.NoErr(err)
				before := time.Now()
				standing.Claim.Answer(zinniamast.ServiceAnswer{Status: 200, Body: make([]byte, 200<<10)})
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
				again, err := held.Begin(ctx, largeCall(fmt.Sprint(i)))
				is.NoErr(err)
				replayed += time.Since(before)
				if again.Record.Answer != nil {
					answers++
				}
			}
			is.Equal(waited, time.Duration(0))
			is.Equal(saved, bookings)
			is.Equal(answers == bookings, kept)
			is.True(bytes/bookings < 4096) // the answer itself is not in the table
			t.Logf("objects %v: %d of %d repeats answered in %v each, caller waits %v, %d bytes and %d items written a booking",
				kept, answers, bookings, replayed/bookings, waited/bookings, bytes/bookings, items/bookings)
			is.Equal(held.Close(ctx), 0)
		})
	}
}

// takeCounts returns what was written since the last call.
func (c *countingTable) takeCounts() (bytes, items int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes, items = c.bytes, c.items
	c.bytes, c.items = 0, 0
	return bytes, items
}

// countingTable counts what is written.
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
