package retry

import (
	"sync"
	"time"
)

// Handover is what a stopping node leaves to its next process, so that callers' requests are
// repeated as if the node had not stopped.
type Handover struct {
	// Services holds the sends of each service.
	Services map[string]Sends
	// EarnedIn and SharedIn are the times until the node may use its whole parts of the
	// ratio and of the slack.
	EarnedIn time.Duration
	SharedIn time.Duration
}

// Sends counts first and repeated sends by the slot of the window, the newest slot first.
type Sends struct {
	Started  []int
	Repeated []int
}

// HandOver returns the sends within the window. No repeated send is allowed after it.
func (w *Window) HandOver() Handover {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handedOver = true
	now := w.now()
	handover := Handover{
		Services: map[string]Sends{},
		EarnedIn: max(0, w.earnedFrom()-now),
		SharedIn: max(0, w.sharedFrom()-now),
	}
	for service := range w.services {
		c := w.counts(service)
		var sends Sends
		for n := range int64(windowSlots + 1) {
			sends.Started = append(sends.Started, *c.startedIn(c.newest - n))
			sends.Repeated = append(sends.Repeated, *c.repeatedIn(c.newest - n))
		}
		handover.Services[service] = sends
	}
	return handover
}

// TakeOver adds the sends of this node's process before this one, which handed them over the
// given time ago. From then on the node uses its limit as that process would have.
func (w *Window) TakeOver(handover Handover, age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.takenOver = &partTimes{
		earnedFrom: now - age + handover.EarnedIn,
		sharedFrom: now - age + handover.SharedIn,
	}
	slots := int(age / w.slotLength())
	for service, sends := range handover.Services {
		c := w.counts(service)
		for n, count := range sends.Repeated {
			if n+slots <= windowSlots {
				*c.repeatedIn(c.newest - int64(n+slots)) += count
			}
		}
		// A slot more, as a first send that stays too long raises the limit.
		for n, count := range sends.Started {
			if n+slots+1 <= windowSlots {
				*c.startedIn(c.newest - int64(n+slots+1)) += count
			}
		}
		w.grant(c)
	}
}

// partTimes are the times from which a node may use its whole parts of the limit.
type partTimes struct {
	earnedFrom time.Duration
	sharedFrom time.Duration
}

// Keeper keeps what stopping nodes hand over until their next processes take it.
type Keeper struct {
	window time.Duration

	mu   sync.Mutex
	kept map[string]keptHandover
}

// keptHandover is the handover of one process of a node.
type keptHandover struct {
	process  uint64
	handover Handover
	received time.Time
}

// NewKeeper returns a keeper for windows of the given length.
func NewKeeper(window time.Duration) *Keeper {
	return &Keeper{
		window: window,
		kept:   map[string]keptHandover{},
	}
}

// Put keeps what a process of a node hands over.
func (k *Keeper) Put(node string, process uint64, handover Handover) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for other, kept := range k.kept {
		if time.Since(kept.received) > k.window {
			delete(k.kept, other)
		}
	}
	k.kept[node] = keptHandover{
		process:  process,
		handover: handover,
		received: time.Now(),
	}
}

// Take returns what a process of a node handed over, and how long ago, and forgets it. It
// returns false if it keeps nothing of that process, or if that has left the window.
func (k *Keeper) Take(node string, process uint64) (handover Handover, age time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept, ok := k.kept[node]
	delete(k.kept, node)
	age = time.Since(kept.received)
	if !ok || kept.process != process || age > k.window {
		return Handover{}, 0, false
	}
	return kept.handover, age, true
}
