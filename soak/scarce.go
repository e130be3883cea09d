package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniamast/processtest"
	"zinniamast/standin/replica"
)

const (
	// The replicas of RunScarce have scarceSlots slots each and begin to answer after scarceDelay.
	scarceSlots = 4
	scarceDelay = 100 * time.Millisecond
	// scarceDuration is how long requests exceed the capacity: all instances restart in that time.
	scarceDuration = 14 * time.Second
	// resetDuration is how long a link resets its connections: answers take scarceDelay to come.
	resetDuration = 2 * scarceDelay
	// minServedShare is the least part of its requests that is served of a class or an
	// organisation, relative to that of all.
	minServedShare = 0.25
)

// demand is the requests of one organisation, which sends at a rate whatever the answers are.
type demand struct {
	organisation string
	key          string
	priority     int
	// ofCapacity is the rate relative to what the replicas serve.
	ofCapacity float64
}

// scarceDemands exceed the capacity by 1.8 times. The urgent organisation is within half of it.
var scarceDemands = []demand{
	{
		organisation: "acme",
		key:          key,
		priority:     0,
		ofCapacity:   0.4,
	},
	{
		organisation: "bulk",
		key:          "k-bulk",
		priority:     2,
		ofCapacity:   0.9,
	},
	{
		organisation: "calm",
		key:          "k-calm",
		priority:     2,
		ofCapacity:   0.5,
	},
}

// scarceConfiguration has one route of each type, whose targets leave time to wait for a slot.
const scarceConfiguration = `{"version":%d,
	"routes":[
		{"name":"lookup","hostname":"models.example","prefix":"/lookup/","routeType":"safe","timeoutMs":3000,"sloMs":800,"service":"svc","maxAttempts":2},
		{"name":"own","hostname":"models.example","prefix":%q,"routeType":"safe","timeoutMs":3000,"sloMs":800,"service":"svc","maxAttempts":2},
		{"name":"say","hostname":"models.example","prefix":"/say/","routeType":"stream","resumable":true,"timeoutMs":3000,"sloMs":800,"gapSloMs":250,"service":"svc","maxAttempts":3},
		{"name":"book","hostname":"models.example","prefix":"/book/","routeType":"unsafe","timeoutMs":3000,"sloMs":800,"service":"svc","maxAttempts":1}],
	"services":[{"name":"svc"}],
	"limits":{"maxBodyBytes":4096},
	"tenants":[
		{"name":"acme","apiKeys":["k"],"priority":0,"ratePerS":100000,"burst":100000},
		{"name":"bulk","apiKeys":["k-bulk"],"priority":2,"ratePerS":100000,"burst":100000},
		{"name":"calm","apiKeys":["k-calm"],"priority":2,"ratePerS":100000,"burst":100000}]}`

// RunScarce runs a deployment that is asked for more than its replicas serve, by two classes and
// three organisations, while instances are reloaded, stopped and started one after the other and
// links to replicas are reset. The summary has a violation if a request that was answered as not
// run has run, if urgent requests are served less often than bulk ones, or if a class or an
// organisation is served much less often than all.
func RunScarce(tb testing.TB, c Config) Summary {
	tb.Helper()
	c.slots, c.configuration, c.demands = scarceSlots, scarceConfiguration, scarceDemands
	d := newDeployment(tb, c)
	for _, r := range d.replicas {
		r.SetBehaviour(replica.Behaviour{
			Delay: scarceDelay,
		})
		r.SetCondition(replica.Condition{
			Slots: scarceSlots,
		})
	}
	s := d.soak(c.Seed, func() []string {
		until := time.Now().Add(scarceDuration)
		d.restartWhileLinksReset(until, c.Seed, resetDuration)
		return nil
	})
	for _, message := range []string{"requests wait for capacity", "request has waited", "class is refused"} {
		if !d.isLogged(message) {
			s.addViolation("no instance logged %q", message)
		}
	}
	return s
}

// isLogged reports whether a process of an instance has logged a message.
func (d *deployment) isLogged(message string) bool {
	return slices.ContainsFunc(d.nodes, func(n *node) bool {
		return slices.ContainsFunc(append(slices.Clone(n.previous), n.process), func(p *processtest.Process) bool {
			return strings.Contains(p.Logs(), fmt.Sprintf("msg=%q", message))
		})
	})
}

// capacity returns the requests per second that the replicas serve, if the paths are chosen with
// equal probability.
func (d *deployment) capacity() float64 {
	const streamTime = replica.StreamEvents * 20 * time.Millisecond
	meanTime := scarceDelay + streamTime/time.Duration(len(paths))
	return float64(len(d.replicas)*scarceSlots) / meanTime.Seconds()
}

// runDemands sends the requests of all demands until ctx ends, and returns when all have ended.
func (c *callerPool) runDemands(ctx context.Context, seed uint64) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: callerCount,
		},
		Timeout: budget,
	}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	for i, demand := range c.deployment.demands {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		interval := time.Duration(float64(time.Second) / (demand.ofCapacity * c.deployment.capacity()))
		all.Go(func() {
			for next := time.Now(); ctx.Err() == nil; next = next.Add(interval) {
				time.Sleep(time.Until(next))
				n := c.deployment.nodes[random.IntN(len(c.deployment.nodes))]
				path := paths[random.IntN(len(paths))]
				all.Go(func() { c.send(client, n, path, demand.key) })
			}
		})
	}
	all.Wait()
}

// servedCount counts the requests of a class or an organisation that reached an instance.
type servedCount struct {
	asked  int
	served int
}

func (c servedCount) ratio() float64 { return float64(c.served) / float64(max(c.asked, 1)) }

// notRunStatuses are the statuses that state that a request has not run and will not run.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// checkDemands checks which classes and organisations were served, if they send at a rate.
func (c *callerPool) checkDemands(s *Summary) {
	d := c.deployment
	if d.demands == nil {
		return
	}
	c.checkNotRun(s)
	var all servedCount
	organisations, classes := map[string]servedCount{}, map[int]servedCount{}
	for _, each := range d.demands {
		count := c.countServed(each.key)
		organisations[each.organisation] = count
		class := classes[each.priority]
		classes[each.priority] = servedCount{
			asked:  class.asked + count.asked,
			served: class.served + count.served,
		}
		all.asked += count.asked
		all.served += count.served
	}
	for name, count := range organisations {
		s.checkShare("organisation "+name, count, all)
	}
	for class, count := range classes {
		s.checkShare(fmt.Sprintf("class %d", class), count, all)
	}
	urgent, bulk := classes[scarceDemands[0].priority], classes[scarceDemands[1].priority]
	if urgent.ratio() < bulk.ratio() {
		s.addViolation("urgent requests within half of the capacity were served less often (%.3f) than bulk requests (%.3f)", urgent.ratio(), bulk.ratio())
	}
	if s.Refused == 0 {
		s.addViolation("no request was refused, so capacity was not short")
	}
	slices.Sort(s.Faults)
}

// checkShare checks that a class or an organisation is not starved.
func (s *Summary) checkShare(name string, count, all servedCount) {
	s.Faults = append(s.Faults, fmt.Sprintf("%s: %d of %d served, %.3f", name, count.served, count.asked, count.ratio()))
	if count.ratio() < minServedShare*all.ratio() {
		s.addViolation("%s was served %.3f of its requests, all together %.3f", name, count.ratio(), all.ratio())
	}
}

// countServed counts the requests with a key, without those that found no listening instance.
func (c *callerPool) countServed(key string) (count servedCount) {
	for i := range c.outcomes {
		o := &c.outcomes[i]
		if o.key != key || o.isNotConnected() {
			continue
		}
		count.asked++
		if o.err == nil && o.status == http.StatusOK {
			count.served++
		}
	}
	return count
}

// checkNotRun checks that no request ran that was answered as not run.
func (c *callerPool) checkNotRun(s *Summary) {
	ran := map[string]int{}
	for _, r := range c.deployment.allReplicas() {
		for _, run := range r.Runs() {
			if !run.Refused {
				ran[run.ID]++
			}
		}
	}
	for i := range c.outcomes {
		o := &c.outcomes[i]
		if slices.Contains(notRunStatuses, o.status) && ran[o.id] > 0 {
			s.addViolation("%s (%s) was answered %d as not run, but ran %d times%s", o.id, o.path, o.status, ran[o.id], o.node.logLines(o.id))
		}
	}
}
