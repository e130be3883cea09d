package prefix

import "github.com/zeebo/xxh3"

// Part is a piece of a prompt that other prompts share, known by its ID.
type Part struct {
	ID     uint64
	Tokens int
}

// Parts returns hashes of a prompt's leading blocks, as Hashes does of its
// text, where the prompt is known by its parts alone: a block's hash covers
// the parts up to the one in which it ends, and where in that part.
func Parts(parts []Part) []uint64 {
	var hashes []uint64
	chain, before := uint64(0), 0
	for _, part := range parts {
		var id [8]byte
		for i := range id {
			id[i] = byte(part.ID >> (8 * i))
		}
		chain = xxh3.HashSeed(id[:], chain)
		for len(hashes) < Max && Tokens(len(hashes)) <= before+part.Tokens {
			hashes = append(hashes, mix(chain, uint64(len(hashes))))
		}
		before += part.Tokens
	}
	return hashes
}

// mix gives each block of a part a hash of its own.
func mix(chain, index uint64) uint64 {
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(index >> (8 * i))
	}
	return xxh3.HashSeed(raw[:], chain)
}
