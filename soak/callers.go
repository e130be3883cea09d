package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"zinniamast/standin/caller"
)

const (
	// callers send at the same time, each one request after the other on kept
	// connections, as clients do until a process is gone.
	callers = 12
	// thinkTime is between a caller's requests.
	thinkTime = 20 * time.Millisecond
	// budget is how long a caller waits.
	budget = 2500 * time.Millisecond
)

// outcome is how one request ended at its caller.
type outcome struct {
	id     string
	unsafe bool
	node   *node
	sent   time.Time
	// status is zero where there was no answer.
	status int
	body   string
	err    error
}

// crowd sends requests and keeps how they ended.
type crowd struct {
	deployment *deployment

	mu       sync.Mutex
	outcomes []outcome
}

// run sends until ctx ends.
func (c *crowd) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for i := range uint64(callers) {
		all.Go(func() { c.call(ctx, rand.New(rand.NewPCG(seed, i))) })
	}
	all.Wait()
}

// call is one caller.
func (c *crowd) call(ctx context.Context, random *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{},
		Timeout:   budget,
	}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		n := c.deployment.nodes[random.IntN(len(c.deployment.nodes))]
		c.send(client, n, random.IntN(2) == 0)
		time.Sleep(thinkTime)
	}
}

// bodyOf is the body of a request.
func bodyOf(id string) string { return "for " + id }

func (c *crowd) send(client *http.Client, n *node, unsafe bool) {
	o := outcome{
		id:     c.deployment.nextID(),
		unsafe: unsafe,
		node:   n,
		sent:   time.Now(),
	}
	path := safePath
	if unsafe {
		path = unsafePath
	}
	request, err := caller.Request{
		ID:      o.id,
		Address: n.frontend,
		Host:    host,
		Path:    path,
		Key:     key,
		Budget:  budget,
		Body:    bodyOf(o.id),
	}.HTTP()
	if err != nil {
		c.deployment.tb.Error(err)
		return
	}
	response, err := client.Do(request)
	if err == nil {
		o.status = response.StatusCode
		var body []byte
		body, err = io.ReadAll(response.Body)
		o.body = string(body)
		_ = response.Body.Close() // It was read to its end.
	}
	o.err = err
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}
