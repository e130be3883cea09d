// Package move plans how each running stream leaves a replica that is going
// away: it finishes there, moves with its KV cache, or resumes elsewhere from
// its tokens.
package move

import (
	"cmp"
	"slices"
	"time"
)

// Way is how a stream leaves its replica.
type Way string

// The ways to leave, in order of increasing cost.
const (
	// Finish lets the stream end on its replica.
	Finish Way = "finish"
	// Transfer moves the KV cache to another replica and resumes from it.
	Transfer Way = "transfer"
	// Resume computes the prompt and the produced tokens again on another replica.
	Resume Way = "resume"
)

const (
	// BytesPerToken is the size of a KV cache per token if the engine does not report it.
	BytesPerToken = 128 << 10
	// TransferSetup is the fixed part of a transfer: two calls and a slot at the target.
	TransferSetup = 20 * time.Millisecond
	// FinishMargin is the factor by which the predicted remaining time of a stream
	// is multiplied before it is compared with the time left, because the time
	// between tokens varies under load.
	FinishMargin = 1.5
)

// Stream is one running stream on the leaving replica.
type Stream struct {
	// Tokens counts the prompt tokens and the tokens produced so far.
	Tokens int
	// Remaining bounds the tokens still to be produced.
	Remaining int
	// BetweenTokens is the expected time between tokens.
	BetweenTokens time.Duration
}

// Wave is the set of streams that leave one replica together over one transfer link.
type Wave struct {
	// TimeLeft is the time until the replica leaves.
	TimeLeft time.Duration
	// BytesPerSecond is the link's rate; zero means that no KV cache can be transferred.
	BytesPerSecond int64
	// BytesPerToken is the size of a KV cache per token.
	BytesPerToken int64
	// TransferSetup is the fixed part of each transfer.
	TransferSetup time.Duration
	// FinishMargin is the safety factor on the predicted remaining time of a stream.
	FinishMargin float64
	Streams      []Stream
}

// Plan says how each stream of a wave leaves.
type Plan struct {
	// Ways holds the way of each stream, in the order of the wave's streams.
	Ways []Way
	// Transfers holds the indexes of the streams to transfer, in the order in
	// which the link carries them.
	Transfers []int
}

// NewPlan decides how each stream of a wave leaves.
//
// Streams that are predicted to end in time finish. The rest share the link:
// transfers are ordered by tokens saved per second of transfer and planned
// while they fit into the time left, so that the limited link time saves the
// most recomputation. Streams that do not fit resume at once, since each token
// produced later would have to be recomputed too.
func NewPlan(wave Wave) Plan {
	plan := Plan{
		Ways: make([]Way, len(wave.Streams)),
	}
	var rest []int
	for i, s := range wave.Streams {
		end := time.Duration(float64(s.Remaining) * float64(s.BetweenTokens) * wave.FinishMargin)
		if end <= wave.TimeLeft {
			plan.Ways[i] = Finish
			continue
		}
		plan.Ways[i] = Resume
		rest = append(rest, i)
	}
	if wave.BytesPerSecond <= 0 {
		return plan
	}
	slices.SortStableFunc(rest, func(a, b int) int {
		return cmp.Compare(wave.tokensSavedPerSecond(b), wave.tokensSavedPerSecond(a))
	})
	var used time.Duration
	for _, i := range rest {
		duration := wave.transferTime(i)
		if used+duration <= wave.TimeLeft {
			used += duration
			plan.Ways[i] = Transfer
			plan.Transfers = append(plan.Transfers, i)
		}
	}
	return plan
}

// transferTime returns how long the transfer of a stream's KV cache occupies the link.
func (w *Wave) transferTime(i int) time.Duration {
	bytes := int64(w.Streams[i].Tokens) * w.BytesPerToken
	return w.TransferSetup + time.Duration(float64(bytes)/float64(w.BytesPerSecond)*float64(time.Second))
}

// tokensSavedPerSecond returns how many tokens need not be recomputed per second of transfer.
func (w *Wave) tokensSavedPerSecond(i int) float64 {
	return float64(w.Streams[i].Tokens) / w.transferTime(i).Seconds()
}
