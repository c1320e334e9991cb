// Package capacity projects the cost of each role of an entry VM to the target
// scale of section 1.3 of docs/design.md. It measures costs per unit of the
// project's code on one machine, as slopes of fitted lines, and projects them by
// the formulas shown in docs/CAPACITY.md.
package capacity

import (
	"math"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// Slope is a cost per unit, fitted to measurements at several sizes by weighted
// least squares.
type Slope struct {
	// Name identifies the slope in formulas and on the page.
	Name string
	// Unit is the unit of Value, such as "B per range".
	Unit string
	// Value is the slope, and Intercept the cost at size 0.
	Value, Intercept float64
	// StandardError is the standard error of Value.
	StandardError float64
	// R2 is the coefficient of determination.
	R2 float64
	// Sizes are the sizes measured.
	Sizes []int
}

// round4 rounds to four significant digits, so that the page shows exactly the
// numbers from which its tables are computed.
func round4(v float64) float64 {
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 4, 64), 64)
	return rounded
}

// fit fits a line to the measurements. Weights of 1/cost² minimize relative
// errors; without them the largest size alone would determine the line.
func fit(name, unit string, sizes []int, costs []float64) Slope {
	x, y, w := make([]float64, len(sizes)), make([]float64, len(sizes)), make([]float64, len(sizes))
	for i, n := range sizes {
		x[i], y[i], w[i] = float64(n), costs[i], 1/math.Max(1, costs[i]*costs[i])
	}
	fixed, slope := stat.LinearRegression(x, y, w, false)
	return Slope{
		Name: name, Unit: unit, Value: round4(slope), Intercept: round4(fixed),
		StandardError: round4(standardError(x, y, w, fixed, slope)),
		R2:            round4(stat.RSquared(x, y, w, fixed, slope)), Sizes: sizes,
	}
}

// standardError returns the standard error of the slope of a weighted fit.
func standardError(x, y, w []float64, fixed, slope float64) float64 {
	if len(x) <= 2 {
		return math.NaN()
	}
	mean := stat.Mean(x, w)
	residual, spread := 0.0, 0.0
	for i := range x {
		r := y[i] - fixed - slope*x[i]
		residual += w[i] * r * r
		spread += w[i] * (x[i] - mean) * (x[i] - mean)
	}
	return math.Sqrt(residual / float64(len(x)-2) / spread)
}

// Slopes maps names to measured slopes.
type Slopes map[string]Slope

// must returns the named slope and panics if it was not measured.
func (s Slopes) must(name string) Slope {
	slope, ok := s[name]
	if !ok {
		panic("capacity: slope " + name + " was not measured")
	}
	return slope
}
