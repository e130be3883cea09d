package blackboard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast/blackboard"
	"zinniamast/request"
)

// addFinished adds a request of a kilobyte and ends it; delivered means that its caller
// has received the answer.
func addFinished(table *blackboard.Requests, id, key string, delivered bool) {
	q := request.New(request.Call{
		ID:       id,
		Key:      key,
		Messages: make([]byte, 1000),
	})
	table.Add(q)
	w := q.Watch(0)
	q.Begin("a", "engine")
	q.Finish("a", "stop", request.Usage{})
	w.Close(delivered)
}

// Callers send many large prompts with keys within the minute for which callers can
// attach to ended requests. The table retains the newest requests within its bound
// on bytes. A request that was delivered without a key is removed at once, since no
// caller can return for it.
func TestEndedRequestsUseBoundedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := blackboard.NewRequests()
		for i := range 20 {
			addFinished(table, fmt.Sprint("keyed", i), fmt.Sprint("key", i), true)
			time.Sleep(time.Second)
		}
		addFinished(table, "delivered", "", true)
		addFinished(table, "lost", "", false)
		running := request.New(request.Call{
			ID: "running",
		})
		table.Add(running)
		is.Equal(table.Sweep(time.Now().Add(-time.Minute), 5000), 17)
		is.True(table.Get("running") != nil)
		is.True(table.Get("lost") != nil) // its caller may return
		is.True(table.Get("delivered") == nil)
		is.True(table.Get("keyed19") != nil) // the newest are retained
		is.True(table.Get("keyed0") == nil)
		is.Equal(table.Sweep(time.Now().Add(time.Second), 5000), 5)
		is.Equal(table.Len(), 1)
	})
}
