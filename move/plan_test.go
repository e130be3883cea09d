package move_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast/move"
)

// randomWave returns the streams of one replica: mostly long answers in all
// stages, with short ones between them, about five seconds of notice and a link
// that can carry only a part of the KV caches.
func randomWave(seed uint64, bytesASecond int64) move.Wave {
	random := rand.New(rand.NewPCG(seed, 1))
	w := move.Wave{
		TimeLeft:       4500 * time.Millisecond,
		BytesPerSecond: bytesASecond,
		BytesPerToken:  move.BytesPerToken,
		TransferSetup:  move.TransferSetup,
		FinishMargin:   move.FinishMargin,
	}
	for range 24 {
		if random.IntN(4) == 0 {
			w.Streams = append(w.Streams, move.Stream{
				Tokens:        200 + random.IntN(400),
				Remaining:     random.IntN(200),
				BetweenTokens: 40 * time.Millisecond,
			})
			continue
		}
		produced := random.IntN(2000)
		w.Streams = append(w.Streams, move.Stream{
			Tokens:        2000 + random.IntN(28000) + produced,
			Remaining:     2000 - produced,
			BetweenTokens: 40 * time.Millisecond,
		})
	}
	return w
}

// recomputedTokens counts the tokens that a plan computes again.
func recomputedTokens(w move.Wave, ways []move.Way) int {
	tokens := 0
	for i, way := range ways {
		if way == move.Resume {
			tokens += w.Streams[i].Tokens
		}
	}
	return tokens
}

// transferInOrder is a baseline that transfers streams in their given order
// while the link has time.
func transferInOrder(w move.Wave) []move.Way {
	ways := make([]move.Way, len(w.Streams))
	var used time.Duration
	for i, s := range w.Streams {
		bytes := int64(s.Tokens) * w.BytesPerToken
		duration := w.TransferSetup + time.Duration(float64(bytes)/float64(w.BytesPerSecond)*1e9)
		ways[i] = move.Resume
		if used+duration <= w.TimeLeft {
			used += duration
			ways[i] = move.Transfer
		}
	}
	return ways
}

// resumeAll is a baseline in which every stream is recomputed.
func resumeAll(w move.Wave) []move.Way {
	ways := make([]move.Way, len(w.Streams))
	for i := range ways {
		ways[i] = move.Resume
	}
	return ways
}

func TestPlanRecomputesFewerTokensThanBaselines(t *testing.T) {
	is := is.New(t)
	for _, rate := range []int64{64 << 20, 256 << 20, 1 << 30} {
		planned, inOrder, resumed := 0, 0, 0
		for seed := range uint64(200) {
			w := randomWave(seed, rate)
			planned += recomputedTokens(w, move.NewPlan(w).Ways)
			inOrder += recomputedTokens(w, transferInOrder(w))
			resumed += recomputedTokens(w, resumeAll(w))
		}
		t.Logf("link of %4d MiB/s, 200 waves of 24 streams: plan %d, in order %d, all resumed %d tokens recomputed", rate>>20, planned, inOrder, resumed)
		is.True(planned < inOrder)
		is.True(inOrder < resumed)
	}
}

// For any wave, the planned transfers fit into the time left and no stream is
// planned to finish that would be cut off.
func TestPlanStaysWithinTimeLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := randomWave(rapid.Uint64().Draw(t, "seed"), rapid.Int64Range(0, 4<<30).Draw(t, "rate"))
		w.TimeLeft = time.Duration(rapid.Int64Range(-1e9, 30e9).Draw(t, "left"))
		var used time.Duration
		for i, way := range move.NewPlan(w).Ways {
			s := w.Streams[i]
			switch way {
			case move.Transfer:
				bytes := int64(s.Tokens) * w.BytesPerToken
				used += w.TransferSetup + time.Duration(float64(bytes)/float64(w.BytesPerSecond)*1e9)
			case move.Finish:
				if time.Duration(s.Remaining)*s.BetweenTokens > max(0, w.TimeLeft) {
					t.Fatalf("stream %d is planned to finish after the replica has left", i)
				}
			}
		}
		if used > max(0, w.TimeLeft) {
			t.Fatalf("planned transfers take %s, but only %s are left", used, w.TimeLeft)
		}
	})
}
