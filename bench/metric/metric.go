// Package metric defines the form in which measurements are reported.
package metric

// Metric is one measured figure.
type Metric struct {
	Name     string
	Value    float64
	Unit     string
	Bound    float64
	HasBound bool
	Seed     uint64
	Note     string
}
