package ratelimit

import "time"

// RetryBudget bounds how often this VM sends requests of a service again: a share of
// the requests of the last window, and this VM's part of a fixed allowance.
type RetryBudget struct {
	// Window is the span over which requests and repeats are counted.
	Window time.Duration
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Allowance is this VM's part of the allowance that does not depend on requests.
	Allowance int

	requests, repeats counter
}

// buckets is the number of steps in which a window slides.
const buckets = 10

type counter struct {
	counts [buckets]int
	step   int64
}

func (c *counter) advance(step int64) {
	if step-c.step >= buckets {
		c.counts = [buckets]int{}
	} else {
		for s := c.step + 1; s <= step; s++ {
			c.counts[s%buckets] = 0
		}
	}
	c.step = max(c.step, step)
}

func (c *counter) sum() (n int) {
	for _, v := range c.counts {
		n += v
	}
	return n
}

func (r *RetryBudget) at(now time.Duration) int64 {
	return int64(now / (r.Window / buckets))
}

// Request counts one new request.
func (r *RetryBudget) Request(now time.Duration) {
	step := r.at(now)
	r.requests.advance(step)
	r.requests.counts[step%buckets]++
}

// Take reserves one repeat. It reports false if the budget is spent.
func (r *RetryBudget) Take(now time.Duration) bool {
	step := r.at(now)
	r.requests.advance(step)
	r.repeats.advance(step)
	if float64(r.repeats.sum()+1) > r.Ratio*float64(r.requests.sum())+float64(r.Allowance) {
		return false
	}
	r.repeats.counts[step%buckets]++
	return true
}
