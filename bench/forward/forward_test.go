package forward

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/core/config"
)

func example(t testing.TB) *config.Document {
	data, err := os.ReadFile("../../examples/elozokozosseg/configuration.json")
	require.NoError(t, err)
	doc, err := config.Parse("configuration.json", data)
	require.NoError(t, err)
	return doc
}

func open(t testing.TB, o Options) *Path {
	o.Document = example(t)
	p, err := Open(o)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

var paths = []struct {
	name string
	o    Options
}{
	{"same_vm", Options{}},
	{"peer", Options{Peer: true}},
	{"same_vm_http", Options{HTTP: true}},
}

// TestEveryPathAnswers guards against measuring a path that refuses requests or returns wrong
// responses.
func TestEveryPathAnswers(t *testing.T) {
	for _, x := range paths {
		t.Run(x.name, func(t *testing.T) {
			p := open(t, x.o)
			cost, err := Measure(p.Do, 2000, Workers)
			require.NoError(t, err)
			require.Positive(t, cost.Allocations)
		})
	}
}

// TestMeasureFailsWithItsRequests guards against a measurement that counts refused requests as
// answered.
func TestMeasureFailsWithItsRequests(t *testing.T) {
	p := open(t, Options{})
	p.service = "unknown"
	_, err := Measure(p.Do, 10, 1)
	require.Error(t, err)
}

func BenchmarkForward(b *testing.B) {
	for _, x := range paths {
		b.Run(x.name, func(b *testing.B) {
			p := open(b, x.o)
			benchmark(b, p.Do)
		})
	}
	b.Run("nothing", func(b *testing.B) { benchmark(b, Baseline) })
}

// benchmark uses Measure, so that profiles show the same code.
func benchmark(b *testing.B, do func(int) error) {
	b.ReportAllocs()
	b.ResetTimer()
	cost, err := Measure(do, b.N, Workers)
	require.NoError(b, err)
	b.ReportMetric(float64(cost.CPU.Nanoseconds()), "cpu-ns/op")
}
