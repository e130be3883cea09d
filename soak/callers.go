package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"zinniamast/standin/caller"
)

const (
	// callerCount callers send concurrently. Each sends one request after the other
	// on keep-alive connections, as clients do until the process ends.
	callerCount = 24
	// thinkTime is the pause between a caller's requests.
	thinkTime = 20 * time.Millisecond
	// budget is the caller's request timeout.
	budget = 2500 * time.Millisecond
)

// outcome is the result of one request as its caller saw it.
type outcome struct {
	id     string
	path   string
	unsafe bool
	node   *node
	// key is the API key of its organisation.
	key   string
	sent  time.Time
	ended time.Time
	// status is zero if there was no response.
	status int
	// stamp is that of the replica whose answer it is.
	stamp string
	body  string
	err   error
}

// callerPool sends requests and records their outcomes.
type callerPool struct {
	deployment *deployment

	mu          sync.Mutex
	outcomes    []outcome
	resumptions []resumption
}

// run sends requests until ctx ends.
func (c *callerPool) run(ctx context.Context, seed uint64) {
	if c.deployment.demands != nil {
		c.runDemands(ctx, seed)
		return
	}
	var all sync.WaitGroup
	for i := range uint64(callerCount) {
		all.Go(func() { c.runCaller(ctx, rand.New(rand.NewPCG(seed, i))) })
	}
	all.Wait()
}

// runCaller runs one caller until ctx ends.
func (c *callerPool) runCaller(ctx context.Context, random *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{},
		Timeout:   budget,
	}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		n := c.deployment.nodes[random.IntN(len(c.deployment.nodes))]
		o := c.send(client, n, paths[random.IntN(len(paths))], key)
		if o.path == streamPath && o.err != nil && o.lastEvent() != "" {
			c.resume(client, random, &o)
		}
		time.Sleep(thinkTime)
	}
}

// paths are the request paths that callers choose from.
var paths = []string{safePath, unsafePath, streamPath}

// requestBody returns the body of the request with this ID.
func requestBody(id string) string { return "for " + id }

// commonPart is the first part of the prompts of all streams.
const commonPart = "c0ffee"

// promptOf returns the prompt of the request with this ID: the common part and one of its own
// for a stream, none for others.
func promptOf(id, path string) string {
	if !strings.HasPrefix(path, streamPath) {
		return ""
	}
	return commonPart + ":600," + strings.TrimPrefix(id, "r-") + ":50"
}

func (c *callerPool) send(client *http.Client, n *node, path, key string) outcome {
	o := outcome{
		id:     c.deployment.newRequestID(),
		path:   path,
		unsafe: path == unsafePath,
		node:   n,
		key:    key,
		sent:   time.Now(),
	}
	response, err := c.deployment.send(client, n, o.id, path, key)
	if err == nil {
		o.status = response.StatusCode
		o.stamp = caller.Stamp(response)
		var body []byte
		body, err = io.ReadAll(response.Body)
		o.body = string(body)
		_ = response.Body.Close() // The body has been read to its end.
	}
	o.err = err
	o.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	return o
}

// send sends one request to a node.
func (d *deployment) send(client *http.Client, n *node, id, path, key string) (*http.Response, error) {
	d.mu.Lock()
	d.askedNodes[id] = n
	d.mu.Unlock()
	request, err := caller.Request{
		ID:      id,
		Address: n.frontendAddress,
		Host:    host,
		Path:    path,
		Key:     key,
		Budget:  budget,
		Body:    requestBody(id),
		Prompt:  promptOf(id, path),
	}.HTTP()
	if err != nil {
		return nil, err
	}
	return client.Do(request)
}

// probe sends one request on a new connection and returns its status, or zero if
// there was no response.
func (d *deployment) probe(n *node, path string) int {
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
		Timeout: budget,
	}
	response, err := d.send(client, n, d.newRequestID(), path+"x", key)
	if err != nil {
		d.tb.Logf("probe of %s: %v", n.name, err)
		return 0
	}
	_ = response.Body.Close() // Only the status is needed.
	return response.StatusCode
}
