package quota

import (
	"fmt"
	"testing"
	"time"

	"dandelionhill.dev/api"
)

// BenchmarkIssue measures a tick of the granter, and a report of a VM with an immediate answer, with
// 80 workspaces that are active on all VMs and over their quotas.
func BenchmarkIssue(b *testing.B) {
	for _, vms := range []int{76, 300} {
		setUp := func() (*Issuer, []*Member, Report) {
			issuer := NewIssuer(DefaultRule, 0, 0, 0)
			var r Report
			for w := range 80 {
				r.Demands = append(r.Demands, Demand{Workspace: api.WorkspaceName(fmt.Sprint("w", w)), Waiting: 1, Rate: 2})
			}
			issuer.SetIssuing(0, true)
			var members []*Member
			for vm := range vms {
				m := issuer.Join(0, api.VMID(fmt.Sprint("vm-", vm)))
				issuer.Report(time.Millisecond, m, 1, 0, Report{})
				issuer.Update(time.Millisecond, m, vm, vms)
				members = append(members, m)
			}
			for _, m := range members {
				issuer.Report(2*time.Millisecond, m, 2, time.Millisecond, r)
			}
			return issuer, members, r
		}
		limit := func(api.WorkspaceName) (Limit, bool) { return Limit{Rate: 30, Burst: 30}, true }
		b.Run(fmt.Sprint("tick/vms=", vms), func(b *testing.B) {
			issuer, _, _ := setUp()
			now := 10 * time.Millisecond
			for b.Loop() {
				now += 50 * time.Millisecond
				issuer.Issue(now, limit)
			}
		})
		b.Run(fmt.Sprint("report/vms=", vms), func(b *testing.B) {
			issuer, members, r := setUp()
			now, i := 10*time.Millisecond, 0
			r.Demands = r.Demands[:4]
			for b.Loop() {
				now += time.Millisecond
				m := members[i%vms]
				i++
				issuer.IssueTo(now, m, issuer.Report(now, m, now.Milliseconds(), now, r), limit)
				issuer.Update(now, m, 0, vms)
			}
		})
	}
}

// BenchmarkTake measures a request of a VM that holds tokens.
func BenchmarkTake(b *testing.B) {
	c := NewClient(DefaultRule, 0)
	limit := Limit{Rate: 1e9, Burst: 1e9}
	c.Update(0, &Update{Issuing: true, AnswersMs: 1, Grants: []Grant{{Workspace: "w", Tokens: 1 << 60}}})
	for b.Loop() {
		c.Arrive(time.Millisecond, "w")
		taken, _ := c.Take(time.Millisecond, "w", limit)
		c.WantsReport(time.Millisecond, "w")
		c.Sent(time.Millisecond, "w", limit, &taken)
	}
}
