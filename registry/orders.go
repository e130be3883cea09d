package registry

import "zinniamast"

// OrdersKnownUntil returns the store's position up to which this node knows the operators'
// orders. A replica that was listed later may belong to an order that is not known yet.
func (f *Follower) OrdersKnownUntil() uint64 { return f.ordersPosition.Load() }

// applyOrders passes on the orders that are new, and those that a whole list lacks as
// withdrawn.
func (f *Follower) applyOrders(change ConfigChange) {
	for _, reason := range change.Unreadable {
		f.config.Logger.Warn("order unreadable, ignored", "cause", reason)
	}
	listed := map[string]bool{}
	for _, order := range change.Orders {
		listed[order.Service] = true
		f.applyOrder(order)
	}
	if !change.IsWhole {
		return
	}
	for service, known := range f.orders {
		if !listed[service] && !known.IsWithdrawn {
			f.applyOrder(zinniamast.RolloutOrder{
				Service:     service,
				Revision:    change.Position,
				IsWithdrawn: true,
			})
		}
	}
}

func (f *Follower) applyOrder(order zinniamast.RolloutOrder) {
	if order.Revision <= f.orders[order.Service].Revision {
		return
	}
	f.orders[order.Service] = order
	f.peerFeed.putOrder(order)
	if f.config.OnOrder != nil {
		f.config.OnOrder(order)
	}
}
