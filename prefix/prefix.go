// Package prefix hashes the leading blocks of prompts, so that the router and the
// engines' cache events identify prefixes by the same hashes.
package prefix

import "github.com/zeebo/xxh3"

// BytesPerToken is the number of prompt bytes that are estimated as one token.
const BytesPerToken = 4

// blockBytes is the length of the first blocks in bytes, which is 256 tokens.
const blockBytes = 1024

// MaxBlocks is the maximum number of prefixes that are hashed per prompt.
const MaxBlocks = 48

// Bytes returns the length in bytes of the prefix at an index of Hashes. Blocks
// become longer with depth, so that a prompt of 30,000 tokens takes about 25
// entries of a routing table instead of 120. The part of a prefix that is lost by
// rounding down to long blocks is less than a tenth of the prefix.
func Bytes(index int) int {
	switch {
	case index < 8:
		return (index + 1) * blockBytes
	case index < 14:
		return (8 + 4*(index-7)) * blockBytes
	default:
		return (32 + 8*(index-13)) * blockBytes
	}
}

// Tokens returns the approximate length in tokens of the prefix at an index of Hashes.
func Tokens(index int) int { return Bytes(index) / BytesPerToken }

// Hashes appends the hashes of a prompt's leading blocks to dst, shortest first,
// and returns the extended slice. Each hash covers the whole prefix up to the end
// of its block. A last, incomplete block has no hash.
func Hashes(dst []uint64, prompt []byte) []uint64 {
	chain := uint64(0)
	start := 0
	for i := range MaxBlocks {
		end := Bytes(i)
		if end > len(prompt) {
			break
		}
		chain = xxh3.HashSeed(prompt[start:end], chain)
		dst = append(dst, chain)
		start = end
	}
	return dst
}

// Hash returns the hash of a text.
func Hash(text []byte) uint64 { return xxh3.Hash(text) }
