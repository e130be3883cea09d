package prefix

import "github.com/zeebo/xxh3"

// Part is a section of a prompt that other prompts may share, identified by its ID.
type Part struct {
	ID     uint64
	Tokens int
}

// HashParts returns hashes of a prompt's leading blocks, shortest first. It is the
// counterpart of Hashes for a prompt of which only the parts are known. A block's
// hash covers the IDs of the parts up to the one in which the block ends, and the
// block's index.
func HashParts(parts []Part) []uint64 {
	var hashes []uint64
	chain, offset := uint64(0), 0
	for _, part := range parts {
		var id [8]byte
		for i := range id {
			id[i] = byte(part.ID >> (8 * i))
		}
		chain = xxh3.HashSeed(id[:], chain)
		for len(hashes) < MaxBlocks && Tokens(len(hashes)) <= offset+part.Tokens {
			hashes = append(hashes, blockHash(chain, uint64(len(hashes))))
		}
		offset += part.Tokens
	}
	return hashes
}

// blockHash returns a distinct hash for each block that ends in the same part.
func blockHash(chain, index uint64) uint64 {
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(index >> (8 * i))
	}
	return xxh3.HashSeed(raw[:], chain)
}
