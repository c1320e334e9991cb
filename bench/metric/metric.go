// Package metric defines a measured value and the line that is printed for it.
package metric

import (
	"fmt"
	"strconv"
)

// Metric is one measured value.
type Metric struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the stated target, from section 1.6 of the design page. It
	// counts only if HasBound is set.
	Bound    float64
	HasBound bool
	// Seed reproduces the value.
	Seed uint64
	// Note says how the value was obtained where the name does not.
	Note string
}

// String returns the line that is printed for the metric. The bound is a dash
// if there is none.
func (m Metric) String() string {
	bound := "-"
	if m.HasBound {
		bound = number(m.Bound)
	}
	return fmt.Sprintf("metric=%s value=%s unit=%s bound=%s seed=%d", m.Name, number(m.Value), m.Unit, bound, m.Seed)
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
