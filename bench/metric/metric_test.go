package metric

import "testing"

// TestString guards against a line that tools reading `make measure` cannot parse.
func TestString(t *testing.T) {
	for want, m := range map[string]Metric{
		"metric=a value=1.25 unit=ratio bound=1.15 seed=7": {Name: "a", Value: 1.25, Unit: "ratio", Bound: 1.15, HasBound: true, Seed: 7},
		"metric=b value=0 unit=count bound=0 seed=1":       {Name: "b", Unit: "count", HasBound: true, Seed: 1},
		"metric=c value=0.3333 unit=s bound=- seed=0":      {Name: "c", Value: 1. / 3, Unit: "s"},
	} {
		if got := m.String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
