package routing

import "math"

// curve learns a line y = base + slope*x from noisy points, the recent ones
// counting most.
type curve struct {
	base, slope float64
	// Decayed sums of the points; the prior counts as a few of them.
	n, x, y, xx, xy float64
	// points is how many points were learned.
	points int
}

const (
	// curveDecay is the part of their weight that points keep with each new one.
	curveDecay = 0.99
	// curveClipRatio bounds a point to this many times the prediction either way: one
	// paused replica or one dropped packet must not bend the line of a class.
	curveClipRatio = 4
	// curvePriorWeight is the weight of the prior.
	curvePriorWeight = 4
)

// newCurve returns a curve that believes a line between two places until it has learned better.
func newCurve(base, slope, near, far float64) curve {
	c := curve{}
	for _, x := range []float64{near, far} {
		c.accumulate(x, base+slope*x, curvePriorWeight/2)
	}
	c.base = base
	c.slope = slope
	return c
}

func (c *curve) accumulate(x, y, weight float64) {
	c.n += weight
	c.x += weight * x
	c.y += weight * y
	c.xx += weight * x * x
	c.xy += weight * x * y
}

// at returns the line's value.
func (c *curve) at(x float64) float64 { return c.base + c.slope*x }

// learn takes in one point.
func (c *curve) learn(x, y float64) {
	c.points++
	expected := c.at(x)
	y = clip(y, expected/curveClipRatio, expected*curveClipRatio)
	c.n *= curveDecay
	c.x *= curveDecay
	c.y *= curveDecay
	c.xx *= curveDecay
	c.xy *= curveDecay
	c.accumulate(x, y, 1)
	c.solve()
}

// solve fits the line; a slope or base below zero makes no sense and is held at zero.
func (c *curve) solve() {
	spread := c.n*c.xx - c.x*c.x
	if spread <= 1e-9*c.n*c.xx {
		c.base = max(0, (c.y-c.slope*c.x)/c.n)
		return
	}
	c.slope = max(0, (c.n*c.xy-c.x*c.y)/spread)
	c.base = (c.y - c.slope*c.x) / c.n
	if c.base < 0 {
		c.base = 0
		c.slope = c.xy / c.xx
	}
}

// average is an exponentially weighted mean.
type average struct {
	value float64
	count int
}

// add takes in a value with the given weight, or a plain mean's until there are enough.
func (a *average) add(value, weight float64) {
	a.count++
	a.value += (value - a.value) * max(weight, 1/float64(a.count))
}

const (
	// factorWeight is how fast one replica's speed follows its observations.
	factorWeight = 0.1
	// factorClipRatio bounds one observation, and factorBound the whole factor.
	factorClipRatio = 3
	maxFactor       = 16
)

// factor is one replica's speed against its class; above 1 is slower.
type factor struct {
	logRatio float64
}

func (f *factor) value() float64 {
	if f.logRatio == 0 {
		return 1
	}
	return math.Exp(f.logRatio)
}

// learn takes in an observed value against the class's prediction.
func (f *factor) learn(observed, predicted float64) {
	if observed <= 0 || predicted <= 0 {
		return
	}
	seen := math.Log(observed / predicted)
	seen = clip(seen, f.logRatio-math.Log(factorClipRatio), f.logRatio+math.Log(factorClipRatio))
	f.logRatio = clip(f.logRatio+factorWeight*(seen-f.logRatio), -math.Log(maxFactor), math.Log(maxFactor))
}

func clip(value, low, high float64) float64 { return min(max(value, low), high) }
