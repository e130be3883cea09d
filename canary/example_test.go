package canary_test

import (
	"fmt"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
)

// A node that knows an order sends the new version nothing until the leader grants it a share.
func ExampleCanary_Select() {
	upstreams := blackboard.NewUpstreams()
	for i, version := range []string{"v1", "v2"} {
		upstreams.Add(&blackboard.Upstream{
			Instance: zinniamast.Instance{
				ID:      "replica-" + version,
				Service: "assistant",
				Version: version,
				Started: time.Unix(int64(i), 0),
			},
		})
	}
	c := canary.New(canary.Config{
		Upstreams: upstreams,
	})
	c.SetOrder(zinniamast.RolloutOrder{
		Service:  "assistant",
		Version:  "v2",
		Within:   time.Minute,
		Revision: 7,
	})
	query := canary.Query{
		Service: "assistant",
		Request: "r-1",
	}
	fmt.Println("ordered:", c.Select(query).AvoidVersions)
	c.Apply(canary.Grant{
		Service: "assistant",
		Version: "v2",
		Order:   7,
		Share:   1,
		State:   zinniamast.RolloutInProgress,
	})
	fmt.Println("whole share:", c.Select(query).AvoidVersions)
	// Output:
	// ordered: [v2]
	// whole share: [v1]
}
