package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Sample returns up to count of the addresses, chosen at random. All but one of them are
// peers to which a connection is open, or else being opened, as far as there are any: opening
// a connection costs both ends several times as much as a call. The last one is any
// peer, so that a node whose connections lead to peers that do not answer finds others.
func (p *Pool) Sample(addresses []string, count int) []string {
	sample := slices.Clone(addresses)
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	if len(sample) <= count || count < 2 {
		return sample[:min(len(sample), count)]
	}
	distance := p.distances()
	others, last := sample[:len(sample)-1], sample[len(sample)-1]
	slices.SortStableFunc(others, func(a, b string) int { return cmp.Compare(distance(a), distance(b)) })
	return append(others[:count-1], last)
}

// distances returns a function that orders peers by the cost of a call to them.
func (p *Pool) distances() func(address string) int {
	const (
		open = iota
		opening
		unconnected
	)
	p.mu.Lock()
	known := make(map[string]int, len(p.links))
	links := make([]*link, 0, len(p.links))
	for _, l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		switch {
		case l.client != nil && time.Since(l.lastUsed) < p.config.IdleTimeout:
			known[l.address] = open
		case l.dialling != nil:
			known[l.address] = opening
		}
		l.mu.Unlock()
	}
	return func(address string) int {
		if d, ok := known[address]; ok {
			return d
		}
		return unconnected
	}
}
