// Package defaults sets missing configuration values to their defaults.
package defaults

// Positive sets a value that is not positive to its default.
func Positive[T ~int | ~int64 | ~float64](value *T, def T) {
	if *value <= 0 {
		*value = def
	}
}
