package capacity

import "zinniamast/config"

// Classes returns the instance classes of a configuration.
func Classes(c *config.Config) []Class {
	if c.Capacity == nil {
		return nil
	}
	classes := make([]Class, 0, len(c.Capacity.Classes))
	for _, class := range c.Capacity.Classes {
		classes = append(classes, Class{
			Name:  class.Name,
			Units: class.TokensASecond,
		})
	}
	return classes
}

// Demands returns the demand of each configured model at the given rates, in
// tokens a second. Without a capacity section it returns none; instances of a
// service without a demand are neither bought nor returned.
func Demands(c *config.Config, rates map[string]float64) []Demand {
	if c.Capacity == nil {
		return nil
	}
	demands := make([]Demand, 0, len(c.Models))
	for i := range c.Models {
		model := &c.Models[i]
		policy := c.Resolve(config.Match{
			Model: model.Name,
		})
		demands = append(demands, Demand{
			Service:     model.Name,
			Role:        "engine",
			Units:       max(rates[model.Name]*c.Capacity.HeadroomFactor(), model.MinTokensASecond),
			Reclaimable: policy.ReclaimableFraction,
			Models:      model.RequiredModels(),
		})
	}
	return demands
}
