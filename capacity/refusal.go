package capacity

import (
	"math/rand/v2"
	"slices"
	"time"

	"zinniamast"
)

// Bounds of the backoff after the cloud refused to start an offer.
const (
	minRefusalBackoff = 30 * time.Second
	maxRefusalBackoff = 10 * time.Minute
)

// refusals records recently refused offers, so that the plan uses other offers
// until the backoff ends.
type refusals struct {
	byKind map[kindName]refusal
}

type refusal struct {
	until   time.Time
	backoff time.Duration
}

func kindNameOf(offer zinniamast.Offer) kindName {
	return kindName{
		failureDomain: offer.FailureDomain,
		class:         offer.Class,
		market:        offer.Market,
	}
}

func (r *refusals) recordRefusal(now time.Time, offer zinniamast.Offer) {
	if r.byKind == nil {
		r.byKind = map[kindName]refusal{}
	}
	name := kindNameOf(offer)
	backoff := min(max(minRefusalBackoff, 2*r.byKind[name].backoff), maxRefusalBackoff)
	r.byKind[name] = refusal{
		until:   now.Add(backoff*3/4 + rand.N(backoff/2)),
		backoff: backoff,
	}
}

func (r *refusals) clear(offer zinniamast.Offer) { delete(r.byKind, kindNameOf(offer)) }

// availableOffers returns the offers that are not in backoff.
func (r *refusals) availableOffers(now time.Time, offers []zinniamast.Offer) []zinniamast.Offer {
	return slices.DeleteFunc(slices.Clone(offers), func(offer zinniamast.Offer) bool {
		return now.Before(r.byKind[kindNameOf(offer)].until)
	})
}
