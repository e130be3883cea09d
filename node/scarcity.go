package node

import (
	"zinniamast/operator"
)

// maxScarcityListed bounds the recent refusals and the shares that one answer lists.
const maxScarcityListed = 200

// scarcity returns the recent refusals of model requests and the shares that decide them.
func (n *Node) scarcity() (refused []operator.RefusedRequests, shares []operator.Share) {
	held := n.limiter.HeldBack()
	for _, r := range held.Refused[:min(len(held.Refused), maxScarcityListed)] {
		refused = append(refused, operator.RefusedRequests{
			Service:      r.Service,
			Class:        r.Class,
			Organisation: r.Organisation,
			Reason:       string(r.Reason),
			Count:        r.Count,
		})
	}
	for _, s := range held.Shares[:min(len(held.Shares), maxScarcityListed)] {
		shares = append(shares, operator.Share{
			Service:      s.Service,
			Organisation: s.Organisation,
			Used:         s.Used,
			Entitled:     s.Entitled,
		})
	}
	return refused, shares
}
