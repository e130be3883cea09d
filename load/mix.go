package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"zinniamast/checker"
)

// Mix holds the relative weight of each kind of traffic.
type Mix map[checker.Kind]int

// DefaultMix returns a typical mix with more short requests than long ones.
func DefaultMix() Mix {
	return Mix{
		checker.KindSummary:  1,
		checker.KindQuestion: 4,
		checker.KindTriage:   4,
		checker.KindLookup:   4,
		checker.KindBooking:  2,
	}
}

// ParseMix reads weights such as "summary=1,booking=2"; omitted kinds have weight 0.
func ParseMix(text string) (Mix, error) {
	mix := Mix{}
	known := DefaultMix()
	for field := range strings.SplitSeq(text, ",") {
		name, digits, found := strings.Cut(strings.TrimSpace(field), "=")
		weight, err := strconv.Atoi(digits)
		kind := checker.Kind(name)
		if !found || err != nil || weight < 0 || known[kind] == 0 {
			return nil, fmt.Errorf("load: %q is not kind=weight with a kind of %v", field, checker.Kinds())
		}
		mix[kind] = weight
	}
	if mix.total() == 0 {
		return nil, fmt.Errorf("load: the mix %q has no weight above 0", text)
	}
	return mix, nil
}

func (m Mix) total() int {
	total := 0
	for _, weight := range m {
		total += weight
	}
	return total
}

// pick draws a random kind by weight.
func (m Mix) pick(random *rand.Rand) checker.Kind {
	remaining := random.IntN(m.total())
	for _, kind := range checker.Kinds() {
		remaining -= m[kind]
		if remaining < 0 {
			return kind
		}
	}
	return checker.KindQuestion
}
