package ratelimit

import "time"

// RetryBudget bounds the retries of a service on this VM to a share of the requests
// in a sliding window, plus this VM's part of a fixed allowance.
type RetryBudget struct {
	// Window is the length of the window in which requests and retries are counted.
	Window time.Duration
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Allowance is this VM's part of the retries allowed independently of requests.
	Allowance int

	requests, retries slidingCounter
}

// windowSteps is the number of steps in which a window slides.
const windowSteps = 10

type slidingCounter struct {
	counts [windowSteps]int
	step   int64
}

func (c *slidingCounter) advance(step int64) {
	if step-c.step >= windowSteps {
		c.counts = [windowSteps]int{}
	} else {
		for s := c.step + 1; s <= step; s++ {
			c.counts[s%windowSteps] = 0
		}
	}
	c.step = max(c.step, step)
}

func (c *slidingCounter) sum() (n int) {
	for _, v := range c.counts {
		n += v
	}
	return n
}

func (r *RetryBudget) stepAt(now time.Duration) int64 {
	return int64(now / (r.Window / windowSteps))
}

// Request counts one new request.
func (r *RetryBudget) Request(now time.Duration) {
	step := r.stepAt(now)
	r.requests.advance(step)
	r.requests.counts[step%windowSteps]++
}

// Take reserves one retry. It reports false if the budget is spent.
func (r *RetryBudget) Take(now time.Duration) bool {
	step := r.stepAt(now)
	r.requests.advance(step)
	r.retries.advance(step)
	if float64(r.retries.sum()+1) > r.Ratio*float64(r.requests.sum())+float64(r.Allowance) {
		return false
	}
	r.retries.counts[step%windowSteps]++
	return true
}
