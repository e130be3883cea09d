// Command 8 plays a request that crashes the replicas of a service that runs in one zone.
package main

import (
	"fmt"
	"time"

	"zinniamast/review/stage"
)

const (
	// calls is the number of requests of the caller, one each callEvery.
	calls     = 24
	callEvery = time.Second
	replicas  = 6
)

const config = `{"version":1,
"routes":[{"name":"book","hostname":"orders.example","prefix":"/book/","routeType":"unsafe","timeoutMs":2500,"sloMs":150,"priority":2,"service":"booking","maxAttempts":2,"anonymous":false}],
"services":[{"name":"booking","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"acme","apiKeys":["key-of-acme"],"priority":1,"unit":"tokens","uncachedTokens":200,"ratePerS":300000,"burst":300000},
{"name":"birch","apiKeys":["key-of-birch"],"priority":1,"unit":"tokens","uncachedTokens":200,"ratePerS":300000,"burst":300000}]}`

func main() {
	stage.Main("review/8/record.txt", stage.Config{
		Zones: []string{"north", "south", "west"},
	}, play)
}

func play(s *stage.Stage) bool {
	s.Store.Put("op", "config", []byte(config))
	var all []*stage.Replica
	for i := range replicas {
		all = append(all, s.AddReplica(fmt.Sprintf("i-north-%d", i+1), "booking", "north", stage.AnswerOrders))
	}
	s.Start()
	sound := func(m *stage.Machine, id, body string) stage.Answer { return order(m, id, "key-of-birch", body) }
	s.WithOthers(all, sound, func() {
		time.Sleep(2 * time.Second)
		body := stage.Deadly
		if !stage.HasTrouble() {
			body = "sound order"
		}
		for i := range calls {
			m := s.Machines[i%len(s.Machines)]
			id := fmt.Sprintf("acme-%d", i+1)
			s.Record("request %s at %s: %s", id, m.Name, order(m, id, "key-of-acme", body))
			time.Sleep(callEvery)
		}
	})
	return s.BreaksCrashBudget()
}

// order sends an order.
func order(m *stage.Machine, id, key, body string) stage.Answer {
	return stage.Ask(m.Frontend, "POST", "/book/7", map[string]string{
		"Host":                   "orders.example",
		"Zinniamast-Request-Id":  id,
		"Zinniamast-Deadline-Ms": "2500",
		"Api-Key":                key,
	}, body, 3*time.Second)
}
