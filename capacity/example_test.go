package capacity_test

import (
	"fmt"

	"zinniamast/capacity"
	"zinniamast/config"
)

// The demand of a model with 1,000 requested tokens a second, in a configuration that
// allows 67 % of the units to be reclaimable.
func ExampleDemands() {
	c, err := config.Parse([]byte(`{
		"defaults": {"reclaimable_fraction": 0.67},
		"organisations": [],
		"models": [{"name": "drafts", "min_tokens_a_second": 400}],
		"services": [],
		"capacity": {"classes": [{"name": "small", "tokens_a_second": 400}], "headroom": 1.2}
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, demand := range capacity.Demands(c, map[string]float64{"drafts": 1000}) {
		fmt.Println(demand.Service, demand.Units, demand.Reclaimable, demand.Models)
	}
	// Output: drafts 1200 0.67 [drafts]
}
