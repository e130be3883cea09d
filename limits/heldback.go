package limits

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"zinniamast"
)

const (
	// HeldBackWindow is the time over which HeldBack counts refusals.
	HeldBackWindow = 10 * time.Second
	// recentSlot is the resolution of HeldBackWindow.
	recentSlot  = time.Second
	recentSlots = int64(HeldBackWindow / recentSlot)
	// maxRecentKeys bounds the counts of one slot. Refusals beyond count for otherOrganisations.
	maxRecentKeys      = 1000
	otherOrganisations = "other"
)

// HeldBack is who is refused at this node, and the shares that decide it.
type HeldBack struct {
	Refused []RefusedCount
	Shares  []Share
}

// RefusedCount counts the requests of an organisation in one class that were refused for one
// reason within HeldBackWindow.
type RefusedCount struct {
	Service      string
	Class        string
	Organisation string
	Reason       zinniamast.Reason
	Count        int
}

// Share is an organisation's part of the recent work that the fleet admitted at a service, and the
// part that it is entitled to.
type Share struct {
	Service      string
	Organisation string
	Used         float64
	Entitled     float64
}

// HeldBack returns who was refused lately, most refusals first, and the shares of the services that
// this node has admitted work to, most used first.
func (l *Limiter) HeldBack() HeldBack {
	now := l.config.Now()
	return HeldBack{
		Refused: l.recent.counts(now),
		Shares:  l.shares(now),
	}
}

// shares returns the shares of the organisations that have used any of a service. Other nodes tell
// hashes alone, so only organisations that this node has served or that the configuration names are
// listed.
func (l *Limiter) shares(now time.Time) []Share {
	var configured []string
	if current := l.config.Board.Configuration.Config(); current != nil {
		for _, organisation := range current.Organisations {
			configured = append(configured, organisation.Name)
		}
	}
	var shares []Share
	for _, service := range l.accountedServices() {
		shares = append(shares, l.sharesOf(service, configured, now)...)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Used, a.Used), cmp.Compare(a.Organisation, b.Organisation))
	})
	return shares
}

// accountedServices returns the services that this node has accounts of.
func (l *Limiter) accountedServices() []string {
	l.accounts.mu.Lock()
	defer l.accounts.mu.Unlock()
	var services []string
	for key := range l.accounts.usage.accounts {
		if !slices.Contains(services, key.service) {
			services = append(services, key.service)
		}
	}
	return services
}

// sharesOf returns the shares of one service.
func (l *Limiter) sharesOf(service string, configured []string, now time.Time) (shares []Share) {
	weights := l.accounts.weights(service)
	l.accounts.mu.Lock()
	defer l.accounts.mu.Unlock()
	l.accounts.usage.decay(now)
	names := slices.Clone(configured)
	for key := range l.accounts.usage.accounts {
		if key.service == service {
			names = append(names, key.organisation)
		}
	}
	slices.Sort(names)
	total := 0.0
	for _, t := range l.accounts.usage.fleetTotals(uint32(hashAccount(service, "") >> 32)) {
		total += t.admitted
	}
	if total == 0 {
		return nil
	}
	for _, name := range slices.Compact(names) {
		share := l.accounts.usage.shareOf(hashAccount(service, name), weights)
		if share.used == 0 && share.entitled == 0 {
			continue
		}
		shares = append(shares, Share{
			Service:      service,
			Organisation: name,
			Used:         share.used / total,
			Entitled:     share.entitled / total,
		})
	}
	return shares
}

// recentRefusals counts refusals within HeldBackWindow. It is safe for concurrent use.
type recentRefusals struct {
	mu    sync.Mutex
	since time.Time
	slots [recentSlots]recentCounts
}

// recentCounts are the refusals of one slot.
type recentCounts struct {
	number int64
	counts map[RefusedCount]int
}

// add counts a refusal.
func (r *recentRefusals) add(ask *zinniamast.Admission, reason zinniamast.Reason, now time.Time) {
	key := RefusedCount{
		Service:      ask.Service,
		Class:        ask.Class,
		Organisation: ask.Organisation,
		Reason:       reason,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		r.since = now
	}
	number := max(0, int64(now.Sub(r.since)/recentSlot))
	slot := &r.slots[number%recentSlots]
	if slot.number != number || slot.counts == nil {
		slot.number = number
		slot.counts = map[RefusedCount]int{}
	}
	if _, ok := slot.counts[key]; !ok && len(slot.counts) >= maxRecentKeys {
		key.Organisation = otherOrganisations
	}
	slot.counts[key]++
}

// counts returns the refusals within HeldBackWindow, most first.
func (r *recentRefusals) counts(now time.Time) []RefusedCount {
	r.mu.Lock()
	sums := map[RefusedCount]int{}
	number := int64(now.Sub(r.since) / recentSlot)
	for i := range r.slots {
		slot := &r.slots[i]
		if slot.number <= number-recentSlots {
			continue
		}
		for key, count := range slot.counts {
			sums[key] += count
		}
	}
	r.mu.Unlock()
	refused := make([]RefusedCount, 0, len(sums))
	for key, count := range sums {
		key.Count = count
		refused = append(refused, key)
	}
	slices.SortFunc(refused, func(a, b RefusedCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Reason, b.Reason))
	})
	return refused
}
