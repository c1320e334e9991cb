package hedge

import (
	"math"
	"time"
)

// Bucket boundaries grow by bucketRatio from minLatency; the last bucket, at
// about 2 minutes, also counts everything above. The error of a quantile is at
// most one bucket, 5%.
const (
	bucketRatio = 1.05
	minLatency  = 10 * time.Microsecond
	buckets     = 336
)

// maxWeight is the weight above which all weights are scaled down, well within the
// precision of float64.
const maxWeight = 1e9

// histogram is a latency histogram with exponential decay per observation. Instead
// of scaling the buckets at each observation it increases the weight of new
// observations. HDR histograms count whole observations and cannot decay.
type histogram struct {
	weights [buckets]float64
	total   float64
	weight  float64 // of the next observation
	growth  float64 // factor from the weight of one observation to that of the next
}

func newHistogram(halfLife int) histogram {
	return histogram{weight: 1, growth: math.Exp2(1 / float64(halfLife))}
}

func (h *histogram) add(took time.Duration) {
	h.weights[bucketOf(took)] += h.weight
	h.total += h.weight
	h.weight *= h.growth
	if h.weight > maxWeight {
		for i := range h.weights {
			h.weights[i] /= h.weight
		}
		h.total /= h.weight
		h.weight = 1
	}
}

// quantile returns the upper boundary of the bucket that holds the quantile.
func (h *histogram) quantile(q float64) time.Duration {
	rest := q * h.total
	for i, w := range h.weights {
		rest -= w
		if rest <= 0 {
			return upperBound(i)
		}
	}
	return upperBound(buckets - 1)
}

func bucketOf(took time.Duration) int {
	if took <= minLatency {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(took)/float64(minLatency)) / math.Log(bucketRatio)))
	return min(i, buckets-1)
}

func upperBound(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Pow(bucketRatio, float64(i)))
}
