package routing

import "math"

// curve learns a line y = base + slope*x from noisy points by least squares, with
// weights that decay with each new point.
type curve struct {
	base, slope float64
	// n, x, y, xx and xy are the decayed sums of the points, the prior included.
	n, x, y, xx, xy float64
	// points is the number of points learned, without the prior.
	points int
}

const (
	// curveDecay is the factor applied to the weight of earlier points with each new one.
	curveDecay = 0.99
	// curveClipRatio bounds the ratio of a point to its prediction in both directions:
	// one paused replica or one dropped packet must not distort the line of a class.
	curveClipRatio = 4
	// curvePriorWeight is the weight of the prior, in points.
	curvePriorWeight = 4
)

// newCurve returns a curve with a prior line, given at two values of x.
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

// at returns the line's value at x.
func (c *curve) at(x float64) float64 { return c.base + c.slope*x }

// learn adds one point and fits the line again.
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

// solve fits the line; times cannot be negative, so slope and base are at least zero.
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

// add updates the mean with the given weight. While there are few values, it
// computes the arithmetic mean.
func (a *average) add(value, weight float64) {
	a.count++
	a.value += (value - a.value) * max(weight, 1/float64(a.count))
}

const (
	// factorWeight is the weight of one observation in a replica's factor.
	factorWeight = 0.1
	// factorClipRatio bounds the ratio of one observation to the present factor, and
	// maxFactor bounds the factor and its inverse.
	factorClipRatio = 3
	maxFactor       = 16
)

// factor is the ratio of one replica's times to its class's; above 1 is slower.
type factor struct {
	logRatio float64
}

func (f *factor) value() float64 {
	if f.logRatio == 0 {
		return 1
	}
	return math.Exp(f.logRatio)
}

// learn updates the factor with an observed value and the class's prediction.
func (f *factor) learn(observed, predicted float64) {
	if observed <= 0 || predicted <= 0 {
		return
	}
	observedLog := math.Log(observed / predicted)
	observedLog = clip(observedLog, f.logRatio-math.Log(factorClipRatio), f.logRatio+math.Log(factorClipRatio))
	f.logRatio = clip(f.logRatio+factorWeight*(observedLog-f.logRatio), -math.Log(maxFactor), math.Log(maxFactor))
}

func clip(value, low, high float64) float64 { return min(max(value, low), high) }
