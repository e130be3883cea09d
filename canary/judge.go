package canary

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"zinniamast"
)

// The judge compares the answers of the new version with those that the old ones give at
// the same time, on the same route. Requests are assigned to versions by a hash of their
// IDs, so that both get the same sizes of prompts.
//
// It is a sequential test: the ratio of the likelihoods of the counts, if the new version
// is bad and if it is not, is multiplied over the slots. As a version may turn bad later,
// the products from each slot on are added up (Shiryaev and Roberts). If the version is not
// bad, the sum exceeds a times the number of slots with a probability of at most 1/a. Bad
// may mean several things, so the mean over several hypotheses and routes is used.
//
// Failures that come together, such as those of a replica that crashes or of a domain that
// is cut off, say little about a version. The failure domain whose answers speak most
// against the version is therefore left out.
const (
	// condemnLog is the logarithm of the sum from which a version is condemned: in 60 slots a
	// good one is with a probability of at most one in 1,600.
	condemnLog = 11.5
	// suspectLog is the one from which the share is not raised.
	suspectLog = 5.0
	// failureMargin and slowMargin are by how much the odds of failures and of slow answers
	// may be higher than those of the old versions: replicas differ.
	failureMargin = 2.0
	slowMargin    = 3.0
	// slowBuckets is how far beyond a quantile of the old versions' durations, in buckets, an
	// answer counts as slow: 2.4 times as long.
	slowBuckets = 5
	// minSlow is the shortest time that counts as slow: no caller notices less.
	minSlow = 20 * time.Millisecond
	// minCompared is the least fraction of old answers to new ones from which those of the
	// same slot are compared. Below it the old ones' earlier rates are used.
	minCompared = 0.05
	// baselineRetention is the factor by which the old versions' earlier counts fade a slot.
	baselineRetention = 0.9
	// priorAnswers are added to the counts of a rate, with one bad answer among them.
	priorAnswers = 50
	// maxRate bounds a rate, so that a higher one can be told from it.
	maxRate = 0.9
	// minDomainAnswers is the number of answers from which a failure domain counts as used.
	minDomainAnswers = 3
)

// hypotheses are the factors by which a bad version's odds are beyond the margin.
var hypotheses = [...]float64{3, 10, 30}

// slowQuantiles are the quantiles from which slow answers are told.
var slowQuantiles = [...]float64{0.5, 0.9}

// stratum is what is compared: failures or slow answers, on one route or, if route is zero,
// on each route by itself with the scores added up.
type stratum struct {
	route   uint32
	measure Measure
	// slow is the index of a slowQuantile plus one; zero for failures.
	slow int
}

func (s stratum) compare(other stratum) int {
	return cmp.Or(cmp.Compare(s.route, other.route), cmp.Compare(s.measure, other.measure), cmp.Compare(s.slow, other.slow))
}

// scores are logarithms of likelihood ratios or of their sums, one for each hypothesis.
type scores [len(hypotheses)]float64

// then adds the ratios of a further slot to the sums.
func (s scores) then(ratios scores) scores {
	for i, ratio := range ratios {
		s[i] = math.Log1p(math.Exp(s[i])) + ratio
	}
	return s
}

// strata are the scores of each stratum without the answers of one failure domain.
type strata map[stratum]scores

// binary counts answers and the bad ones among them.
type binary struct {
	answers, bad float64
}

func (b *binary) add(other binary) {
	b.answers += other.answers
	b.bad += other.bad
}

// judge is the state of the test for one rollout.
type judge struct {
	baseline baseline
	health   health
	losses   losses
	// closed are the scores of the slots that do not change any more, by the failure domain
	// that is left out; zero for none.
	closed map[uint32]strata
	// answers counts the new version's answers by failure domain in those slots.
	answers map[uint32]float64
	total   float64
	// doubts are the sums of what speaks for a version that is bad enough to be kept back.
	doubts Doubts
	// from is the number of the first slot; zero before it is known. slots counts those that
	// were closed.
	from  int64
	slots int
}

func newJudge() *judge {
	return &judge{
		baseline: baseline{
			failures:  map[stratum]binary{},
			durations: map[stratum]*histogram{},
		},
		health:  newHealth(),
		losses:  newLosses(),
		closed:  map[uint32]strata{},
		answers: map[uint32]float64{},
	}
}

// Finding is the result of the test.
type Finding struct {
	// LogBad is the logarithm of the likelihood ratio.
	LogBad float64
	// Answers is the number of the new version's answers, and Total that of all, from the slot
	// numbered From on.
	Answers float64
	Total   float64
	From    int64
	Doubts  Doubts
	// Usual are the old versions' rates of failures while they were healthy. IsDisturbed means
	// that they fail more often now, and Renewals is how often they recovered, after which
	// evidence was asked for again.
	Usual       []zinniamast.RouteFailures
	IsDisturbed bool
	Renewals    int
}

// isBad reports whether the version is condemned.
func (f *Finding) isBad() bool { return f.LogBad >= condemnLog }

// rate returns the number of answers of all versions a second until a slot; zero if too few
// slots are known.
func (f *Finding) rate(slot int64) float64 {
	span := slotLength * time.Duration(slot-f.From)
	if f.From == 0 || span <= minRateSpan {
		return 0
	}
	return f.Total / span.Seconds()
}

// ratio returns the logarithm of the likelihood ratio of two rates of bad answers.
func (b binary) ratio(usual, bad float64) float64 {
	return b.bad*math.Log(bad/usual) + (b.answers-b.bad)*math.Log((1-bad)/(1-usual))
}

// close adds slots that do not change any more, in their order.
func (j *judge) close(slots []Tallies) {
	for _, tallies := range slots {
		tallies = j.losses.merge(tallies)
		j.baseline.learn(tallies)
		j.doubts.add(&j.baseline, &j.health, tallies)
		j.slots++
		j.score(j.closed, j.answers, tallies)
		j.total += tallies.total()
	}
}

// restore takes over the usual rates of failures that an earlier leader knew, unless this judge
// has learned them itself. What speaks for the version so far was compared with others.
func (j *judge) restore(rates []zinniamast.RouteFailures) {
	if len(rates) == 0 || j.health.isRestored || j.slots > youngJudge {
		return
	}
	j.health.restore(rates)
	j.doubts.Failures = max(j.doubts.Failures, 0)
}

// find returns the result over the closed slots and the given open ones.
func (j *judge) find(open []Tallies) Finding {
	all := map[uint32]strata{}
	for domain, s := range j.closed {
		all[domain] = strata{}
		for key, score := range s {
			all[domain][key] = score
		}
	}
	answers := map[uint32]float64{}
	found := Finding{
		Total:  j.total,
		From:   j.from,
		Doubts: j.doubts,
	}
	recent, lost := j.health.clone(), j.losses.clone()
	for domain, count := range j.answers {
		answers[domain] = count
	}
	for _, tallies := range open {
		tallies = lost.merge(tallies)
		j.score(all, answers, tallies)
		found.Doubts.add(&j.baseline, &recent, tallies)
		found.Total += tallies.total()
	}
	found.Usual, found.IsDisturbed, found.Renewals = recent.rates(), recent.isDisturbed, recent.renewals
	// The answers that do not count are a part of the exposure.
	found.Answers, found.Total = lost.uncounted, found.Total+lost.uncounted
	used := 0
	for domain, count := range answers {
		found.Answers += count
		if domain != 0 && count >= minDomainAnswers {
			used++
		}
	}
	if used < 2 {
		found.LogBad = all[0].logMean()
		return found
	}
	found.LogBad = math.Inf(1)
	for domain, count := range answers {
		if count >= minDomainAnswers {
			found.LogBad = min(found.LogBad, all[domain].logMean())
		}
	}
	return found
}

// total returns the number of answers in a slot.
func (t Tallies) total() float64 {
	sum := 0.0
	for cell, tally := range t {
		if cell.Measure == MeasureFirst {
			sum += float64(tally.Failed) + tally.answers()
		}
	}
	return sum
}

func (t *Tally) answers() float64 {
	sum := 0.0
	for _, count := range t.Buckets {
		sum += float64(count)
	}
	return sum
}

// slow counts the answers of a tally that took longer than those of a bucket.
func (t *Tally) slow(bucket int) binary {
	var b binary
	for at, count := range t.Buckets {
		b.answers += float64(count)
		if int(at) > bucket {
			b.bad += float64(count)
		}
	}
	return b
}

// score adds the scores of a slot for each failure domain that may be left out, and for
// none.
func (j *judge) score(to map[uint32]strata, answers map[uint32]float64, tallies Tallies) {
	old, fresh := j.counts(tallies)
	for domain := range fresh {
		answers[domain] += 0
	}
	for domain, counts := range fresh {
		for key, b := range counts {
			if key.slow == 0 {
				answers[domain] += b.answers
			}
		}
	}
	if to[0] == nil {
		to[0] = strata{}
	}
	for domain := range answers {
		if to[domain] == nil {
			// Without this domain, the scores so far are those with all domains.
			to[domain] = to[0].clone()
		}
	}
	for leftOut, s := range to {
		sums := map[stratum]binary{}
		for domain, counts := range fresh {
			if domain == leftOut {
				continue
			}
			for key, b := range counts {
				sum := sums[key]
				sum.add(b)
				sums[key] = sum
			}
		}
		allRoutes := map[stratum]scores{}
		for _, key := range slices.SortedFunc(maps.Keys(sums), stratum.compare) {
			ratios := j.compare(key, sums[key], old[key])
			s.then(key, ratios)
			key.route = 0
			total := allRoutes[key]
			for i, ratio := range ratios {
				total[i] += ratio
			}
			allRoutes[key] = total
		}
		for key, ratios := range allRoutes {
			s.then(key, ratios)
		}
	}
}

// then adds the ratios of a further slot to those of a stratum.
func (s strata) then(key stratum, ratios scores) {
	if known, ok := s[key]; ok {
		s[key] = known.then(ratios)
		return
	}
	s[key] = ratios
}

func (s strata) clone() strata {
	c := strata{}
	for key, score := range s {
		c[key] = score
	}
	return c
}

// counts returns the bad answers of the old versions and, by failure domain, of the new one.
func (j *judge) counts(tallies Tallies) (old map[stratum]binary, fresh map[uint32]map[stratum]binary) {
	old, fresh = map[stratum]binary{}, map[uint32]map[stratum]binary{}
	for cell, tally := range tallies {
		counts := old
		if cell.IsNew {
			if fresh[cell.Domain] == nil {
				fresh[cell.Domain] = map[stratum]binary{}
			}
			counts = fresh[cell.Domain]
		}
		key := stratum{
			route:   cell.Route,
			measure: cell.Measure,
		}
		if cell.Measure == MeasureFirst {
			counts[key] = tally.failures()
		}
		durations := j.baseline.durations[key]
		for i, quantile := range slowQuantiles {
			if limit, ok := durations.slowBeyond(quantile); ok {
				key.slow = i + 1
				counts[key] = tally.slow(limit)
			}
		}
	}
	return old, fresh
}

// failures returns the failed answers of a tally.
func (t *Tally) failures() binary {
	return binary{
		answers: float64(t.Failed) + t.answers(),
		bad:     float64(t.Failed),
	}
}

// compare returns the ratios of one stratum in one slot.
func (j *judge) compare(key stratum, fresh, old binary) (ratios scores) {
	if fresh.answers == 0 {
		return ratios
	}
	margin := failureMargin
	if key.slow > 0 {
		margin = slowMargin
	}
	if old.answers >= minCompared*fresh.answers {
		return compareCounts(fresh, old, margin)
	}
	for i, factor := range hypotheses {
		ratios[i] = compareRate(fresh, j.baseline.rate(key), margin, factor)
	}
	return ratios
}

// compareRate is compareCounts for one hypothesis, with a known rate of bad answers of the
// old versions.
func compareRate(fresh binary, rate, margin, factor float64) float64 {
	return fresh.ratio(beyondOdds(rate, margin), beyondOdds(rate, margin*factor))
}

// logMean returns the logarithm of the mean likelihood ratio over the strata and hypotheses.
func (s strata) logMean() float64 {
	if len(s) == 0 {
		return 0
	}
	var logs []float64
	for _, score := range s {
		logs = append(logs, score[:]...)
	}
	slices.Sort(logs)
	highest := logs[len(logs)-1]
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - highest)
	}
	return highest + math.Log(sum/float64(len(logs)))
}
