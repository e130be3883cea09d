package prefix_test

import (
	"testing"

	"github.com/matryer/is"

	"zinniamast/prefix"
)

// Prompts that share their first parts share exactly the hashes of the blocks that
// end in these parts, regardless of the following parts.
func TestPartsShareLeadingBlocks(t *testing.T) {
	check := is.New(t)
	part := func(id uint64, tokens int) prefix.Part {
		return prefix.Part{
			ID:     id,
			Tokens: tokens,
		}
	}
	one := prefix.HashParts([]prefix.Part{part(1, 600), part(2, 2000), part(3, 500)})
	other := prefix.HashParts([]prefix.Part{part(1, 600), part(2, 2000), part(4, 900)})
	shared := 0
	for shared < min(len(one), len(other)) && one[shared] == other[shared] {
		shared++
	}
	check.True(prefix.Tokens(shared-1) <= 2600)
	check.True(prefix.Tokens(shared) > 2600)
	check.Equal(len(prefix.HashParts([]prefix.Part{part(1, 100)})), 0) // shorter than a block
	swapped := prefix.HashParts([]prefix.Part{part(2, 2000), part(1, 600)})
	check.True(swapped[0] != one[0])
}
