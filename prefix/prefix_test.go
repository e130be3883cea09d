package prefix_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast/prefix"
)

func TestSharedPrefixesShareHashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := bytes.Repeat([]byte{rapid.Byte().Draw(t, "shared")}, rapid.IntRange(0, 100_000).Draw(t, "length"))
		one := append(bytes.Clone(shared), "what does clause 4 say"...)
		two := append(bytes.Clone(shared), "who signed"...)
		first := prefix.Hashes(nil, one)
		second := prefix.Hashes(nil, two)
		for i := range min(len(first), len(second)) {
			if prefix.Bytes(i) <= len(shared) && first[i] != second[i] {
				t.Fatalf("hash %d of a shared prefix differs", i)
			}
		}
	})
}

func TestBlocksGrow(t *testing.T) {
	is := is.New(t)
	for i := 1; i < prefix.MaxBlocks; i++ {
		is.True(prefix.Bytes(i) > prefix.Bytes(i-1))
	}
	is.Equal(len(prefix.Hashes(nil, make([]byte, 120_000))), 24)
	is.True(prefix.Tokens(prefix.MaxBlocks-1) > 70_000)
}
