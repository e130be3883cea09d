package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"zinniamast/standin/caller"
	"zinniamast/standin/replica"
)

// stampPrefix begins the stamp that a replica adds to its answers, before its ID.
const stampPrefix = "stamp-"

// resumption is a caller's try to go on with a stream that broke off, at any instance.
type resumption struct {
	// stream is the outcome of the try that brought the first event.
	stream *outcome
	id     string
	node   *node
	sent   time.Time
	// status is zero if there was no response.
	status int
	body   string
}

// lastEvent returns the ID of the last whole event of a stream; empty if there is none.
func (o *outcome) lastEvent() string {
	whole, _, _ := cutLast(o.body, "\n\n")
	_, event, found := cutLast(whole, "id: ")
	if !found {
		return ""
	}
	id, _, _ := strings.Cut(event, "\n")
	return id
}

// cutLast cuts a text around the last instance of a separator.
func cutLast(text, separator string) (before, after string, found bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+len(separator):], true
}

// resume goes on with a stream that broke off, once, at an instance chosen at random.
func (c *callerPool) resume(client *http.Client, random *rand.Rand, stream *outcome) {
	d := c.deployment
	r := resumption{
		stream: stream,
		id:     d.newRequestID(),
		node:   d.nodes[random.IntN(len(d.nodes))],
		sent:   time.Now(),
	}
	request, err := caller.Request{
		ID:      r.id,
		Address: r.node.frontendAddress,
		Host:    host,
		Path:    streamPath,
		Key:     key,
		Budget:  budget,
		Body:    requestBody(r.id),
		Resumes: stream.id,
		After:   stream.lastEvent(),
	}.HTTP()
	if err != nil {
		d.tb.Error(err)
		return
	}
	response, err := client.Do(request)
	if err == nil {
		r.status = response.StatusCode
		body, _ := io.ReadAll(response.Body) // A stream may break off again.
		r.body = string(body)
		_ = response.Body.Close() // The body has been read to its end.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumptions = append(c.resumptions, r)
}

// versionOf returns the software version of a replica.
func (d *deployment) versionOf(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for r, at := range d.locations {
		if r.ID == id {
			return at.version
		}
	}
	return ""
}

// checkVersions checks that no stream has events from replicas of two software versions,
// neither in one answer nor over the tries of its caller.
func (c *callerPool) checkVersions(s *Summary) {
	resumed := map[string][]replicaRun{}
	for _, r := range c.deployment.allReplicas() {
		for _, run := range r.Runs() {
			if run.Header.Get("Last-Event-Id") != "" && !run.Refused {
				resumed[run.ID] = append(resumed[run.ID], replicaRun{
					replica: r,
					run:     run,
				})
			}
		}
	}
	check := func(stream *outcome, id string) {
		began, known := strings.CutPrefix(stream.stamp, stampPrefix)
		version := c.deployment.versionOf(began)
		for _, each := range resumed[id] {
			if at := c.deployment.versionOf(each.replica.ID); known && at != version {
				s.addViolation("%s of stream %s, which %s began at %s, went on at %s of %s", id, stream.id, began, version, each.replica.ID, at)
			}
		}
	}
	for i := range c.outcomes {
		if o := &c.outcomes[i]; o.path == streamPath {
			check(o, o.id)
		}
	}
	for _, r := range c.resumptions {
		check(r.stream, r.id)
		s.Resumed++
		if r.status == http.StatusOK && r.body != "" {
			s.WentOn++
		}
	}
}

// replicaRun is a request that reached a replica.
type replicaRun struct {
	replica *replica.Replica
	run     *replica.Run
}
