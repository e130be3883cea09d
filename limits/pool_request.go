package limits

import (
	"time"
)

// PoolRequest is a call that lends a node's part to a pool and takes from the pool.
type PoolRequest struct {
	// Node lends its Part of the allowance. The part counts after Starts has
	// elapsed, since until then it may still count in another pool.
	Node   string
	Part   float64
	Starts time.Duration
	// Apart addresses the domain pool, for nodes that cannot reach a fleet pool.
	Apart bool
	// Amount is taken from the allowance of Organisation.
	Organisation string
	Amount       float64
	// Keep is the amount that must remain for more urgent requests.
	Keep float64
}

// keepFactors holds, by rank, how many times its own amount a request must leave
// for more urgent requests of its organisation; higher ranks use the last factor.
//
// Without them, any request takes its amount if the allowance has it, which favours
// small requests: of an organisation at six times its usual load, nine in ten
// requests above 8,000 tokens were refused and one in twenty below 1,500, although
// the long ones were the most urgent. With these factors, requests of the second
// rank are still granted because they are short, and those of the third rank only
// if they are very short or the allowance has plenty left.
var keepFactors = []float64{0, 4, 16}

// maxKeepPart bounds the kept amount, as a fraction of the bucket's capacity. An
// organisation well within its allowance has more than that left, so none of its
// requests is refused in favour of more urgent ones.
const maxKeepPart = 0.3

// keepFor returns the amount that a request must leave for more urgent ones.
func keepFor(amount float64, rank int) float64 {
	return amount * keepFactors[min(max(rank, 0), len(keepFactors)-1)]
}

// PoolRenewal is a call that renews the loans of a node's Part of several
// allowances. One with a zero Part and no Loans lends nothing and only probes
// whether the node answers.
type PoolRenewal struct {
	Node  string
	Part  float64
	Apart bool
	Loans []PoolLoan
}

// PoolLoan is the loan of a part of one organisation's allowance. The part counts
// after Starts has elapsed.
type PoolLoan struct {
	Organisation string
	Starts       time.Duration
}

// PoolRenewalAnswer is a node's answer to a PoolRenewal. Nodes of earlier versions answer nothing.
type PoolRenewalAnswer struct {
	// Levels holds how full the parts in each pool are, from 0 to 1, in the order of the loans.
	Levels []float64
}

// PoolAnswer is a pool's answer to a PoolRequest.
type PoolAnswer struct {
	Granted bool
	// Wait is the time until the amount is expected to be available.
	Wait time.Duration
	// Level is how full the parts in the pool are after the call, from 0 to 1.
	Level float64
}
