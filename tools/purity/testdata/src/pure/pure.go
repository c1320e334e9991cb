package pure

import (
	"math/rand/v2"
	"time"
)

func decide(now time.Duration, rng *rand.Rand) bool {
	return now > time.Second && rng.IntN(2) == 0
}
