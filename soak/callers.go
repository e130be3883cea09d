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
	callers = 24
	// thinkTime is between a caller's requests.
	thinkTime = 20 * time.Millisecond
	// budget is how long a caller waits.
	budget = 2500 * time.Millisecond
)

// outcome is how one request ended at its caller.
type outcome struct {
	id     string
	path   string
	unsafe bool
	node   *node
	sent   time.Time
	ended  time.Time
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
		c.send(client, n, paths[random.IntN(len(paths))])
		time.Sleep(thinkTime)
	}
}

// paths are what callers ask for.
var paths = []string{safePath, unsafePath, streamPath}

// bodyOf is the body of a request.
func bodyOf(id string) string { return "for " + id }

func (c *crowd) send(client *http.Client, n *node, path string) {
	o := outcome{
		id:     c.deployment.nextID(),
		path:   path,
		unsafe: path == unsafePath,
		node:   n,
		sent:   time.Now(),
	}
	response, err := c.deployment.ask(client, n, o.id, path)
	if err == nil {
		o.status = response.StatusCode
		var body []byte
		body, err = io.ReadAll(response.Body)
		o.body = string(body)
		_ = response.Body.Close() // It was read to its end.
	}
	o.err = err
	o.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// ask sends one request.
func (d *deployment) ask(client *http.Client, n *node, id, path string) (*http.Response, error) {
	request, err := caller.Request{
		ID:      id,
		Address: n.frontend,
		Host:    host,
		Path:    path,
		Key:     key,
		Budget:  budget,
		Body:    bodyOf(id),
	}.HTTP()
	if err != nil {
		return nil, err
	}
	return client.Do(request)
}

// probe returns the status of one request on a connection of its own; zero for none.
func (d *deployment) probe(n *node, path string) int {
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
		Timeout: budget,
	}
	response, err := d.ask(client, n, d.nextID(), path+"x")
	if err != nil {
		d.tb.Logf("probe of %s: %v", n.name, err)
		return 0
	}
	_ = response.Body.Close() // The status is all that is asked for.
	return response.StatusCode
}
