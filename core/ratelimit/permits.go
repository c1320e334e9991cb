package ratelimit

import "time"

const (
	// PermitTTL is how long a VM may use a permit after it has received it.
	PermitTTL = time.Second
	// permitBurst is the time for which permits accumulate while no VM wants one.
	permitBurst = 250 * time.Millisecond
)

// PermitIssuer divides the limit that an upstream states among the VMs that have requests
// for it. One VM issues the permits for all; each is for one request. It answers upstreams
// whose limit is below one request per second and VM, which fixed shares cannot divide.
type PermitIssuer struct {
	permits float64
	at      time.Duration
	// turn rotates the VM that is served first.
	turn int
}

// NewPermitIssuer returns a PermitIssuer without permits: another VM may have issued some.
func NewPermitIssuer(now time.Duration) *PermitIssuer { return &PermitIssuer{at: now} }

// Backlog returns the number of permits after which the next one is issued, given how many
// are wanted in addition to those issued. It is negative while permits are left.
func (p *PermitIssuer) Backlog(wanted int) float64 { return float64(wanted) - p.permits }

// Issue returns how many permits each VM gets, given how many it wants. rate is the limit in
// requests per second.
func (p *PermitIssuer) Issue(now time.Duration, rate float64, wanted []int) []int {
	p.permits = min(p.permits+rate*(now-p.at).Seconds(), max(rate*permitBurst.Seconds(), 1))
	p.at = now
	issued := make([]int, len(wanted))
	for left := true; left && p.permits >= 1; {
		left = false
		for range wanted {
			vm := p.turn % len(wanted)
			p.turn++
			if issued[vm] < wanted[vm] {
				issued[vm]++
				p.permits--
				left = true
				break
			}
		}
	}
	return issued
}
