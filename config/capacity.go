package config

import "fmt"

// Capacity configures which instances may be bought. Without it, no instance is
// bought or returned.
type Capacity struct {
	// Classes are the instance classes that may be bought for models.
	Classes []InstanceClass `json:"classes"`
	// Headroom is the ratio of capacity to demand; 1.1 if left out.
	Headroom *float64 `json:"headroom,omitempty"`
}

// InstanceClass is an instance class that the cloud offers.
type InstanceClass struct {
	Name string `json:"name"`
	// TokensASecond is the rate at which one instance generates tokens while it
	// meets the latency target.
	TokensASecond float64 `json:"tokens_a_second"`
}

// defaultHeadroom lets demand grow by a tenth while an instance loads.
const defaultHeadroom = 1.1

// HeadroomFactor returns the configured headroom or its default.
func (c *Capacity) HeadroomFactor() float64 {
	if c.Headroom == nil {
		return defaultHeadroom
	}
	return *c.Headroom
}

// RequiredModels returns the models, adapters and versions that each replica of the model
// must hold.
func (m *Model) RequiredModels() []string {
	if len(m.Holds) == 0 {
		return []string{m.Name}
	}
	return m.Holds
}

// checkCapacity checks the instance classes, the headroom and the minimum capacity
// of each model.
func (p *problems) checkCapacity(c *Config) {
	for i, model := range c.Models {
		if model.MinTokensASecond < 0 {
			p.add(fmt.Sprintf("models[%d].min_tokens_a_second", i), "%v is below 0; leave it out for none", model.MinTokensASecond)
		}
	}
	if c.Capacity == nil {
		return
	}
	if len(c.Capacity.Classes) == 0 {
		p.add("capacity.classes", "is empty; name at least one machine class, or leave capacity out")
	}
	names := map[string]string{}
	for i, class := range c.Capacity.Classes {
		path := fmt.Sprintf("capacity.classes[%d]", i)
		p.checkName(path+".name", class.Name, names)
		if class.TokensASecond <= 0 {
			p.add(path+".tokens_a_second", "%v is not above 0; write what one instance generates a second at the latency target", class.TokensASecond)
		}
	}
	if headroom := c.Capacity.HeadroomFactor(); headroom < 1 || headroom > 10 {
		p.add("capacity.headroom", "%v is not between 1 and 10; 1.1 keeps a tenth more than is asked", headroom)
	}
}
