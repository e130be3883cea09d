// Package feedindex orders the entries of a feed by the position of their last change, so
// that a query for the changes after a position does not look at all entries.
package feedindex

import (
	"container/list"
	"iter"
)

// Index holds keys in the order of their positions. It is not safe for concurrent use.
type Index[K comparable] struct {
	elements map[K]*list.Element
	// order holds items by ascending position.
	order    list.List
	examined uint64
}

type item[K comparable] struct {
	key      K
	position uint64
}

// New returns an empty index.
func New[K comparable]() *Index[K] {
	return &Index[K]{
		elements: map[K]*list.Element{},
	}
}

// Put sets the position of a key. It takes constant time if no key has a higher position;
// otherwise the time grows with the number of those that have.
func (x *Index[K]) Put(key K, position uint64) {
	element, ok := x.elements[key]
	if ok {
		element.Value.(*item[K]).position = position
	} else {
		element = x.order.PushBack(&item[K]{
			key:      key,
			position: position,
		})
		x.elements[key] = element
	}
	last := x.order.Back()
	for last != nil && (last == element || last.Value.(*item[K]).position > position) {
		last = last.Prev()
	}
	if last == nil {
		x.order.MoveToFront(element)
		return
	}
	x.order.MoveAfter(element, last)
}

// Delete removes a key.
func (x *Index[K]) Delete(key K) {
	if element, ok := x.elements[key]; ok {
		x.order.Remove(element)
		delete(x.elements, key)
	}
}

// After returns the keys whose position is higher than the given one, the highest first. The
// index must not be changed meanwhile.
func (x *Index[K]) After(position uint64) iter.Seq[K] {
	return func(yield func(K) bool) {
		for element := x.order.Back(); element != nil; element = element.Prev() {
			x.examined++
			known := element.Value.(*item[K])
			if known.position <= position || !yield(known.key) {
				return
			}
		}
	}
}

// Oldest returns the key with the lowest position, and false if there is none.
func (x *Index[K]) Oldest() (K, bool) {
	first := x.order.Front()
	if first == nil {
		var none K
		return none, false
	}
	return first.Value.(*item[K]).key, true
}

// Len returns the number of keys.
func (x *Index[K]) Len() int { return len(x.elements) }

// Examined returns how many keys all calls of After have looked at.
func (x *Index[K]) Examined() uint64 { return x.examined }
