package capacity

import (
	"slices"
	"time"

	"zinniamast"
)

// Snapshot is the input of a plan.
type Snapshot struct {
	// Now is when the snapshot was taken.
	Now time.Time
	// Demands are what the services need.
	Demands []Demand
	// Classes are the known instance classes.
	Classes []Class
	// Offers are what may be bought now, without recently refused offers.
	Offers []zinniamast.Offer
	// Instances are those that serve now or will, without those that are leaving.
	Instances []Instance
	// Exchange also enables the search for a cheaper fleet, which takes some
	// milliseconds for each service of hundreds of instances.
	Exchange bool
}

// Rules are the settings of a plan.
type Rules struct {
	// MinDwell is the age below which an instance is not returned; zero means 30 minutes.
	MinDwell time.Duration
	// Slack is the share by which the remaining capacity must exceed the demand
	// for an instance to be returned; zero means 0.05.
	Slack float64
	// SwitchGain is the share of the cost that a fleet bought from scratch must
	// save before instances are exchanged for cheaper ones; zero means 0.2.
	SwitchGain float64
	// ReadyTimeout is how long an instance that is not ready counts as capacity;
	// zero means 15 minutes. After that it is replaced but not returned, since it
	// may be serving without its reports reaching this node.
	ReadyTimeout time.Duration
	// MaxLoading bounds the instances that are not ready yet, so that many starts
	// at a time don't pay for instances that wait for weights; zero means 50.
	MaxLoading int
}

func (r Rules) withDefaults() Rules {
	if r.MinDwell == 0 {
		r.MinDwell = 30 * time.Minute
	}
	if r.Slack == 0 {
		r.Slack = 0.05
	}
	if r.SwitchGain == 0 {
		r.SwitchGain = 0.2
	}
	if r.ReadyTimeout == 0 {
		r.ReadyTimeout = 15 * time.Minute
	}
	if r.MaxLoading == 0 {
		r.MaxLoading = 50
	}
	return r
}

// Actions are the result of a plan.
type Actions struct {
	// Starts are the instances to buy, the most urgent first.
	Starts []Purchase
	// Stops are the instances to return.
	Stops []string
	// Unmet names the services that would not survive the loss of a failure
	// domain even after the starts.
	Unmet []string
}

// Purchase is one instance to buy.
type Purchase struct {
	Service string           `json:"service"`
	Role    string           `json:"role"`
	Offer   zinniamast.Offer `json:"offer"`
	// shortfall is the share of the demand that is unmet, 0 to 1.
	shortfall float64
}

// Plan decides which instances to buy and which to return.
func Plan(s Snapshot, rules Rules) Actions {
	rules = rules.withDefaults()
	numbers := newNumbering(s.Classes)
	offers := make([]candidate, 0, len(s.Offers))
	for _, offer := range s.Offers {
		if p, ok := numbers.candidate(offer); ok && offer.Price > 0 {
			offers = append(offers, p)
		}
	}
	var actions Actions
	s.Instances = slices.DeleteFunc(slices.Clone(s.Instances), func(instance Instance) bool {
		return !instance.Ready && s.Now.Sub(instance.Started) > rules.ReadyTimeout
	})
	loading := 0
	for _, instance := range s.Instances {
		if !instance.Ready {
			loading++
		}
	}
	for _, d := range s.Demands {
		p := planner{
			now:             s.Now,
			rules:           rules,
			demand:          d,
			offers:          offers,
			exchangeEnabled: s.Exchange,
		}
		p.collect(s.Instances, numbers)
		p.plan(&actions)
	}
	slices.SortStableFunc(actions.Starts, func(a, b Purchase) int { return compare(b.shortfall, a.shortfall) })
	actions.Starts = actions.Starts[:min(len(actions.Starts), max(0, rules.MaxLoading-loading))]
	return actions
}

// planner makes the plan for one service.
type planner struct {
	now             time.Time
	rules           Rules
	demand          Demand
	offers          []candidate
	exchangeEnabled bool
	instances       []*Instance
	candidates      []candidate
}

// collect selects the service's instances and adds a candidate for each.
func (p *planner) collect(instances []Instance, numbers *numbering) {
	for i := range instances {
		instance := &instances[i]
		if instance.Service != p.demand.Service {
			continue
		}
		counted, ok := numbers.candidate(zinniamast.Offer{
			FailureDomain: instance.FailureDomain,
			Class:         instance.Class,
			Market:        instance.Market,
			Price:         instance.Price,
		})
		if ok {
			p.instances = append(p.instances, instance)
			p.candidates = append(p.candidates, counted)
		}
	}
}

func (p *planner) plan(actions *Actions) {
	f := newFleet(p.candidates)
	if !f.meets(p.demand) {
		shortfall := 1 - f.unitsAfterDomainLoss()/max(p.demand.Units, epsilon)
		added := p.fillShortfall()
		for _, a := range added {
			f.add(&a, 1)
			actions.Starts = append(actions.Starts, p.purchase(a, shortfall))
		}
		if !f.meets(p.demand) {
			actions.Unmet = append(actions.Unmet, p.demand.Service)
		}
		return
	}
	if stops := p.surplus(); len(stops) > 0 {
		actions.Stops = append(actions.Stops, stops...)
		return
	}
	if !p.exchangeEnabled {
		return
	}
	for _, cheaper := range p.exchange() {
		actions.Starts = append(actions.Starts, p.purchase(cheaper, 0))
	}
}

func (p *planner) purchase(a candidate, shortfall float64) Purchase {
	return Purchase{
		Service:   p.demand.Service,
		Role:      p.demand.Role,
		Offer:     a.offer,
		shortfall: shortfall,
	}
}

// fillShortfall returns what to buy so that the demand is met: first what the ideal
// fleet has and this one lacks, then the offers with the lowest price per unit
// gained. Purchases that turn out to be unnecessary are left out.
func (p *planner) fillShortfall() []candidate {
	wanted, _ := idealFleet(p.demand, p.offers)
	all := slices.Clone(p.candidates)
	f := newFleet(all)
	for _, w := range p.unmatched(wanted) {
		if f.meets(p.demand) {
			break
		}
		f.add(&w, 1)
		all = append(all, w)
	}
	all = append(all, grow(all, p.demand, p.offers)...)
	retained, _ := trim(all, p.demand, func(i int) bool { return i >= len(p.candidates) })
	return retained[len(p.candidates):]
}

// unmatched returns the wanted candidates for which there is no instance of the same
// kind, the cheapest per unit first.
func (p *planner) unmatched(wanted []candidate) []candidate {
	present := map[int]int{}
	for _, a := range p.candidates {
		present[a.kind]++
	}
	var lacking []candidate
	for _, w := range wanted {
		if present[w.kind] > 0 {
			present[w.kind]--
			continue
		}
		lacking = append(lacking, w)
	}
	slices.SortStableFunc(lacking, func(a, b candidate) int { return compare(a.unitPrice(), b.unitPrice()) })
	return lacking
}

// surplus returns the IDs of the instances to return: those that are at least
// MinDwell old and that even the raised demand doesn't need. Only ready
// instances count.
func (p *planner) surplus() []string {
	raised := p.raisedDemand()
	var ready []candidate
	var index []int
	for i, instance := range p.instances {
		if instance.Ready {
			ready = append(ready, p.candidates[i])
			index = append(index, i)
		}
	}
	if !newFleet(ready).meets(raised) {
		return nil
	}
	_, dropped := trim(ready, raised, func(i int) bool {
		return p.now.Sub(p.instances[index[i]].Started) >= p.rules.MinDwell
	})
	stops := make([]string, 0, len(dropped))
	for _, i := range dropped {
		stops = append(stops, p.instances[index[i]].ID)
	}
	return stops
}

// raisedDemand returns the demand that the remaining instances must meet for any
// instance to be returned.
func (p *planner) raisedDemand() Demand {
	raised := p.demand
	raised.Units *= 1 + p.rules.Slack
	return raised
}

// exchangeDivisor limits an exchange to one instance plus a fiftieth of the fleet at a
// time.
const exchangeDivisor = 50

// exchange returns a few cheaper instances to buy if a fleet bought from scratch
// would cost much less; once they are ready, the most expensive instances become
// surplus. It exchanges only a few at a time and none while another is loading,
// so that the fleet doesn't follow every price fluctuation.
func (p *planner) exchange() []candidate {
	for _, instance := range p.instances {
		if !instance.Ready {
			return nil
		}
	}
	// While surplus instances are too young to be returned, each exchange would
	// buy more of them, and the fleet would grow instead of getting cheaper.
	if _, extra := trim(p.candidates, p.raisedDemand(), alwaysDroppable); len(extra) > 0 {
		return nil
	}
	wanted, ok := idealFleet(p.demand, p.offers)
	if !ok || newFleet(wanted).cost > newFleet(p.candidates).cost*(1-p.rules.SwitchGain) {
		return nil
	}
	lacking := p.unmatched(wanted)
	return lacking[:min(len(lacking), 1+len(p.candidates)/exchangeDivisor)]
}
