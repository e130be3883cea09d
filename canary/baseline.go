package canary

// baseline holds what the old versions did lately, with fading counts.
type baseline struct {
	failures  map[stratum]binary
	durations map[stratum]*histogram
}

// learn adds a slot's answers of the old versions.
func (b *baseline) learn(tallies Tallies) {
	isFaded := false
	for cell, tally := range tallies {
		if cell.IsNew {
			continue
		}
		if !isFaded {
			// Without answers of the old versions, what is known of them stays.
			b.fade()
			isFaded = true
		}
		key := stratum{
			route:   cell.Route,
			measure: cell.Measure,
		}
		if cell.Measure == MeasureFirst {
			sum := b.failures[key]
			sum.add(tally.failures())
			b.failures[key] = sum
		}
		if b.durations[key] == nil {
			b.durations[key] = &histogram{}
		}
		for bucket, count := range tally.Buckets {
			b.durations[key][min(bucket, maxBucket)] += float64(count)
		}
	}
}

func (b *baseline) fade() {
	for key, sum := range b.failures {
		b.failures[key] = binary{
			answers: sum.answers * baselineRetention,
			bad:     sum.bad * baselineRetention,
		}
	}
	for _, durations := range b.durations {
		for i := range durations {
			durations[i] *= baselineRetention
		}
	}
}

// histogram counts answers by the bucket of their duration.
type histogram [maxBucket + 1]float64

// minLearned is the number of answers from which a distribution of durations is used.
const minLearned = 10

// slowBeyond returns the bucket beyond which an answer counts as slow; false if too few
// answers are known.
func (h *histogram) slowBeyond(quantile float64) (bucket int, ok bool) {
	if h == nil {
		return 0, false
	}
	total := h.beyond(-1)
	if total < minLearned {
		return 0, false
	}
	sum := 0.0
	for i, count := range h {
		if sum += count; sum >= quantile*total {
			return max(i+slowBuckets, int(bucketOf(minSlow))), true
		}
	}
	return maxBucket, true
}

// beyond returns the number of answers beyond a bucket.
func (h *histogram) beyond(bucket int) float64 {
	sum := 0.0
	for i := bucket + 1; i < len(h); i++ {
		sum += h[i]
	}
	return sum
}

// rate returns the earlier rate of bad answers of the old versions, on the safe side.
func (b *baseline) rate(key stratum) float64 {
	slow := key.slow
	key.slow = 0
	sum := b.failures[key]
	if slow > 0 {
		durations := b.durations[key]
		limit, _ := durations.slowBeyond(slowQuantiles[slow-1])
		sum = binary{
			answers: durations.beyond(-1),
			bad:     durations.beyond(limit),
		}
	}
	return min((sum.bad+1)/(sum.answers+priorAnswers), maxRate)
}
