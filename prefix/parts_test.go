package prefix_test

import (
	"testing"

	"github.com/matryer/is"

	"zinniamast/prefix"
)

// Prompts that share their first parts share the hashes of the blocks that end
// in them, and no others, whatever comes after.
func TestPartsShareLeadingBlocks(t *testing.T) {
	check := is.New(t)
	part := func(id uint64, tokens int) prefix.Part {
		return prefix.Part{
			ID:     id,
			Tokens: tokens,
		}
	}
	one := prefix.Parts([]prefix.Part{part(1, 600), part(2, 2000), part(3, 500)})
	other := prefix.Parts([]prefix.Part{part(1, 600), part(2, 2000), part(4, 900)})
	same := 0
	for same < min(len(one), len(other)) && one[same] == other[same] {
		same++
	}
	check.True(prefix.Tokens(same-1) <= 2600)
	check.True(prefix.Tokens(same) > 2600)
	check.Equal(len(prefix.Parts([]prefix.Part{part(1, 100)})), 0) // shorter than a block
	swapped := prefix.Parts([]prefix.Part{part(2, 2000), part(1, 600)})
	check.True(swapped[0] != one[0])
}
