package canary

import "math"

// maxCompared bounds the answers of a slot that are compared, which bounds the work. Of more
// answers a part counts, with the same rates.
const maxCompared = 200

// compareCounts returns, for each hypothesis, the logarithm of the likelihood ratio of the
// bad answers' division between two versions at the same time. Given how many are bad in
// all, those of the first version follow Fisher's noncentral hypergeometric distribution,
// which depends on the ratio of the odds alone: the rate of the old versions needn't be
// known, and it may be high.
func compareCounts(fresh, old binary, margin float64) (ratios scores) {
	table := newDivision(fresh, old)
	usual := math.Log(margin)
	usualWeight := table.logWeight(usual)
	for i, factor := range hypotheses {
		bad := usual + math.Log(factor)
		ratios[i] = table.freshBad*(bad-usual) - table.logWeight(bad) + usualWeight
	}
	return ratios
}

// division is how the bad answers of two samples divide between them.
type division struct {
	fresh, old, bad, freshBad float64
}

func newDivision(fresh, old binary) division {
	scale := min(1, maxCompared/max(fresh.answers, 1))
	d := division{
		fresh:    math.Round(fresh.answers * scale),
		old:      math.Round(old.answers * scale),
		freshBad: math.Round(fresh.bad * scale),
	}
	d.bad = d.freshBad + math.Round(old.bad*scale)
	return d
}

// logWeight returns the logarithm of the sum of the weights of all divisions for a logarithm
// of the odds ratio, up to a term that does not depend on it.
func (d division) logWeight(logOdds float64) float64 {
	first, last := max(0, d.bad-d.old), min(d.fresh, d.bad)
	term := first * logOdds
	highest, sum := term, 1.0
	for i := first; i < last; i++ {
		term += logOdds + math.Log((d.fresh-i)*(d.bad-i)/((i+1)*(d.old-d.bad+i+1)))
		if term > highest {
			sum = sum*math.Exp(highest-term) + 1
			highest = term
		} else {
			sum += math.Exp(term - highest)
		}
	}
	return highest + math.Log(sum)
}
