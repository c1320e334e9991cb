package quota

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
)

// rosterOf names VMs that hold half of each rate at most.
func rosterOf(unleased float64, vms ...api.VMID) *Roster {
	r := &Roster{MaxShare: 0.5, Unleased: unleased}
	for _, vm := range vms {
		r.VMs = binary.BigEndian.AppendUint32(r.VMs, hashOf(vm))
	}
	return r
}

// succeed returns the issuer of a granter of term 2 on VM a. Earlier granters act until 3 s.
func succeed(inherited *Roster) *Issuer {
	i := NewIssuer(DefaultRule, 0, secs(3), 2)
	i.SetOwn("a", 2)
	if inherited != nil {
		i.Inherit(inherited)
		i.Stating(0, inherited.Successor())
	}
	i.SetIssuing(0, true)
	return i
}

// follow has a VM connect, report and acknowledge an update at a time.
func follow(i *Issuer, at float64, vm api.VMID, r Report) *Member {
	m := i.Join(secs(at), vm)
	i.Report(secs(at), m, 1, 0, r)
	i.Update(secs(at), m, 0, 2)
	i.Report(secs(at), m, 1, secs(at), r)
	return m
}

// acknowledge has a VM get an update and report at a time.
func acknowledge(i *Issuer, at float64, m *Member, r Report) {
	i.Update(secs(at), m, 0, 2)
	i.Report(secs(at), m, 2, secs(at), r)
}

func (i *Issuer) activeAt(at float64) float64 {
	i.SetIssuing(secs(at), true)
	return i.Active()
}

// TestShareIsLentOnce guards against a share for which two granters issue: the new one begins when the
// loan to the former one has ended, and only for a VM that states this.
func TestShareIsLentOnce(t *testing.T) {
	i := succeed(rosterOf(0, "a", "b", "c"))
	b := follow(i, 0.1, "b", Report{Share: 0.4, LoanMs: 501})
	require.Zero(t, i.activeAt(0.5))
	require.InDelta(t, 0.4, i.activeAt(0.65), 1e-9)
	require.InDelta(t, 0.4, i.steady, 1e-9)
	require.InDelta(t, 0.4, i.activeAt(1), 1e-9)
	require.Zero(t, i.steady, "its tokens could outlive the loan")
	require.Zero(t, i.activeAt(1.2), "not acknowledged for a second")
	u := i.Update(secs(1.2), b, 0, 2)
	require.Equal(t, Update{Issuing: true, AnswersMs: 1, Share: 0.4, TokenMs: shortTTL.Milliseconds()}, u)
	i.Report(secs(1.3), b, 2, secs(1.2), Report{Share: 0.4, LoanMs: 1})
	require.InDelta(t, 0.4, i.activeAt(1.4), 1e-9)
	i.Report(secs(1.4), b, 3, secs(1.2), Report{LoanMs: 1})
	require.Zero(t, i.activeAt(1.5), "the share has ended on the VM")
	i.Report(secs(1.5), b, 4, secs(1.2), Report{Share: 0.4, LoanMs: 1, Term: 3})
	require.Zero(t, i.activeAt(1.6), "it follows a later granter")
	require.False(t, i.Update(secs(1.6), b, 0, 2).Issuing)

	c := follow(i, 0.1, "c", Report{Share: 0.5})
	i.Report(secs(1.7), c, 2, secs(0.1), Report{Share: 0.5})
	require.Zero(t, i.activeAt(1.7), "a VM of an earlier version")
	require.False(t, i.Update(secs(1.7), c, 0, 2).Issuing, "it does not know short-lived tokens")
}

// TestSharesOfStartedVMs guards against tokens for the former shares of VMs that have started, while VMs
// that have not come back, or an earlier granter, may use them.
func TestSharesOfStartedVMs(t *testing.T) {
	i := succeed(rosterOf(0.2, "a", "b"))
	a := follow(i, 0.1, "a", Report{Started: true, LoanMs: 501})
	require.Zero(t, i.activeAt(0.5))
	require.InDelta(t, 0.3, i.activeAt(0.8), 1e-9, "less 0.5 of the other VM and 0.2 that is not leased")
	require.Zero(t, i.activeAt(1.2), "not acknowledged for a second: the VM may have left")
	require.False(t, i.Settled())
	m := i.Join(secs(1.3), "b")
	i.SetIssuing(secs(1.3), true)
	require.False(t, i.Settled(), "it may still have tokens of an earlier granter")
	i.Report(secs(1.4), m, 1, 0, Report{Started: true, LoanMs: 501})
	i.SetIssuing(secs(1.4), true)
	require.False(t, i.Settled(), "a VM that has only reported may go back to an earlier granter")
	for _, vm := range []*Member{a, m} {
		acknowledge(i, 1.5, vm, Report{Started: true, LoanMs: 1})
	}
	require.InDelta(t, 1, i.activeAt(1.5), 1e-9)
	require.True(t, i.Settled())

	i = succeed(rosterOf(0, "a", "b"))
	follow(i, 2.9, "a", Report{Started: true, LoanMs: 1})
	require.InDelta(t, 0.5, i.activeAt(3.2), 1e-9)
	require.False(t, i.Settled(), "the other VM may have tokens")
	i.activeAt(4.5)
	require.True(t, i.Settled())

	i = succeed(nil)
	a = follow(i, 0.1, "a", Report{Started: true, LoanMs: 1})
	i.Join(secs(0.1), "b")
	require.InDelta(t, 0.5, i.unknown(secs(0.1), 0), 1e-9)
	b := follow(i, 0.2, "b", Report{Started: true, LoanMs: 1})
	require.Zero(t, i.activeAt(2.9), "earlier granters may issue for what they have not stated")
	require.Zero(t, i.activeAt(3), "a VM may have got a share of an earlier granter since it reported")
	for _, vm := range []*Member{a, b} {
		acknowledge(i, 3, vm, Report{Started: true, LoanMs: 1})
	}
	require.InDelta(t, 1, i.activeAt(3.01), 1e-9)
}

// TestKeptTokensPreventSettling guards against two granters whose tokens are in use beside each other without
// bounds: while a VM may use those of an earlier one, the new one is not settled.
func TestKeptTokensPreventSettling(t *testing.T) {
	lent := Report{Share: 0.5, LoanMs: 1001}
	i := succeed(rosterOf(0, "a", "b"))
	a := i.Join(secs(0.1), "a")
	i.Report(secs(0.1), a, 1, 0, lent)
	require.True(t, i.AwaitsUpdate(a), "the first update is sent without delay")
	require.True(t, i.Update(secs(0.1), a, 0, 2).KeepTokens, "the other VM is missing")
	i.Report(secs(0.2), a, 1, secs(0.1), lent)
	require.False(t, i.AwaitsUpdate(a))
	b := follow(i, 0.3, "b", lent)
	i.SetIssuing(secs(0.3), true)
	require.False(t, i.Settled(), "VM a may use tokens until 1.1 s")
	require.True(t, i.AwaitsUpdate(a))
	require.False(t, i.Update(secs(0.4), a, 0, 2).KeepTokens)
	i.Report(secs(0.4), a, 2, secs(0.1), lent)
	i.SetIssuing(secs(0.4), true)
	require.False(t, i.Settled(), "it has not received that update")
	i.Report(secs(0.5), a, 2, secs(0.4), lent)
	acknowledge(i, 0.5, b, lent)
	i.SetIssuing(secs(0.5), true)
	require.True(t, i.Settled())
}

// TestRoundedShare guards against a share that counts twice, as that of its VM and as that of a VM that is
// not known, because it differs from those of the others by a rounding error.
func TestRoundedShare(t *testing.T) {
	r := rosterOf(0, "a", "b")
	r.MaxShare = 1.0 / 3
	i := succeed(r)
	i.Report(secs(0.1), i.Join(secs(0.1), "a"), 1, 0, Report{Share: 0.33333333333333326, LoanMs: 1})
	require.InDelta(t, 1.0/3, i.unknown(secs(0.1), 0), 1e-9)
}

// TestWideRosters guards against a granter that uses more of the overshoot than the earlier ones have left,
// which may be of an earlier version.
func TestWideRosters(t *testing.T) {
	limit := Limit{Rate: 300, Burst: 300}
	budget := DefaultRule.budget(limit)
	require.Greater(t, budget.changeExtra, 2*budget.extra)
	require.GreaterOrEqual(t, budget.room, limit.Burst)
	require.InDelta(t, DefaultRule.Bound(limit)*(1-spareRoom)-limit.Rate*DefaultRule.Window.Seconds(), budget.room+budget.changeExtra, 1e-6)
	for _, wide := range []bool{false, true} {
		r := rosterOf(0, "a", "b")
		r.Wide = wide
		require.Equal(t, wide, r.Successor().Wide)
		i := succeed(r)
		follow(i, 1, "a", Report{Share: 0.5, LoanMs: 1})
		follow(i, 1, "b", Report{Share: 0.5, LoanMs: 1, UsedMs: DefaultRule.Window.Milliseconds() + 1}) // had short-lived tokens
		i.recompute(secs(1))
		b := i.bucket("w")
		i.available(secs(1), b, limit)
		require.InDelta(t, 0.5*map[bool]float64{false: budget.extra, true: budget.changeExtra}[wide], b.tokens, 1e-6)
		i.SetIssuing(secs(4.5), true)
		require.True(t, i.Settled())
		require.Equal(t, wide, i.Roster(secs(9.4)).Wide, "requests of its predecessors are in the window")
		require.True(t, i.Roster(secs(9.5)).Wide)
	}
}

// TestIdleTimeIsIssued guards against a quota that is lost while no VM had a granter, and against tokens
// for time in which VMs had tokens or used their shares.
func TestIdleTimeIsIssued(t *testing.T) {
	for name, c := range map[string]struct {
		a, b    Report
		settled float64
		idle    float64
		early   bool // settled before earlier granters must have ended
	}{
		"started": {Report{Started: true, LoanMs: 1001}, Report{Started: true, LoanMs: 801}, 1, 0.9, true},
		"one had an update later, one has used its share": {Report{Share: 0.5, LoanMs: 1001}, Report{Share: 0.5, LoanMs: 501}, 1, 0.5, true},
		"it does not say": {Report{Share: 0.5}, Report{Share: 0.5, LoanMs: 501}, 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := succeed(rosterOf(0, "a", "b"))
			a, b := i.Join(secs(0.1), "a"), i.Join(secs(0.1), "b")
			i.Report(secs(0.1), a, 1, 0, c.a)
			i.Report(secs(0.1), b, 1, 0, c.b)
			acknowledge(i, c.settled, a, c.a)
			acknowledge(i, c.settled, b, c.b)
			i.SetIssuing(secs(c.settled), true)
			require.Equal(t, c.early, i.Settled())
			require.InDelta(t, c.idle, i.issuable, 1e-9)
		})
	}
}

// TestCreditOfShares guards against small workspaces that wait for their first token after a loss, and
// against a credit for the time in which a VM used its share.
func TestCreditOfShares(t *testing.T) {
	i := succeed(rosterOf(0, "a", "b"))
	limit := Limit{Rate: 5, Burst: 5}
	m := follow(i, 0.1, "b", Report{Share: 0.5, LoanMs: 1, UsedMs: 200, Demands: []Demand{{Workspace: "w", Waiting: 9}}})
	i.activeAt(0.1)
	i.Issue(secs(0.1), func(api.WorkspaceName) (Limit, bool) { return limit, true })
	u := i.Update(secs(0.1), m, 0, 2)
	extra := DefaultRule.budget(limit).extra
	require.Equal(t, []Grant{{Workspace: "w", Tokens: int(0.5 * (extra - 5*0.2))}}, u.Grants)
	i.TakeBack(secs(0.1), m, u)
	require.Zero(t, i.buckets["w"].outstanding, "tokens that were not sent are issued again")
	i.Issue(secs(0.1), func(api.WorkspaceName) (Limit, bool) { return limit, true })
	require.Equal(t, u.Grants, i.Update(secs(0.1), m, 0, 2).Grants)
}

// TestShortTokensAreBoundedByShares guards against a burst from each of several granters.
func TestShortTokensAreBoundedByShares(t *testing.T) {
	i := succeed(rosterOf(0, "a", "b"))
	limit := Limit{Rate: 100, Burst: 100}
	m := follow(i, 0.1, "b", Report{Share: 0.5, LoanMs: 1, Demands: []Demand{{Workspace: "w", Waiting: 99}}})
	for _, at := range []float64{0.1, 0.15, 0.25} {
		i.SetIssuing(secs(at), true)
		i.Issue(secs(at), func(api.WorkspaceName) (Limit, bool) { return limit, true })
	}
	u := i.Update(secs(0.25), m, 0, 2)
	require.Equal(t, []Grant{{Workspace: "w", Tokens: int(0.5 * DefaultRule.budget(limit).extra)}}, u.Grants)
}

// TestGranterKeepsToItsRosters guards against a granter that does what a roster in the store rules out,
// whichever of two the store holds.
func TestGranterKeepsToItsRosters(t *testing.T) {
	i := NewIssuer(DefaultRule, 0, 0, 0)
	i.SetOwn("a", 1)
	i.SetIssuing(0, true)
	a := follow(i, 0, "a", Report{LoanMs: 1})
	require.InDelta(t, 1, i.activeAt(0.1), 1e-9)
	narrow := rosterOf(0.25, "a")
	narrow.MaxShare = 0.125
	i.Stating(secs(0.1), narrow)
	b := follow(i, 0.1, "b", Report{LoanMs: 1})
	require.False(t, i.Serves(b))
	require.False(t, i.Update(secs(0.1), b, 0, 2).Issuing)
	i.Stating(secs(0.2), i.Roster(secs(0.2)))
	require.False(t, i.Serves(b), "the store may hold the first one")
	i.Report(secs(0.3), a, 2, secs(0.1), Report{LoanMs: 1})
	require.InDelta(t, 0.125, i.Update(secs(0.3), a, 0, 2).Share, 1e-9)
	i.Leave(secs(0.3), a)
	require.Zero(t, i.activeAt(9.9), "the share of a VM that has left")
	require.Zero(t, i.activeAt(11), "the store says that all is leased")
	i.Stated(secs(11))
	require.True(t, i.Serves(b))
	require.Zero(t, i.activeAt(11))
	i.Stating(secs(11), i.Roster(secs(11)))
	require.Zero(t, i.activeAt(11), "the store may hold the last one")
	i.Stated(secs(11.1))
	require.InDelta(t, 1, i.activeAt(11.1), 1e-9)
	i.Stating(secs(12), rosterOf(1, "b"))
	require.False(t, i.Serves(b), "the VM of the granter is not named")
}

// TestClientStatesItsLoan guards against a granter that issues for a share while an earlier one may.
func TestClientStatesItsLoan(t *testing.T) {
	c := NewClient(DefaultRule, secs(9))
	r := c.Report(secs(9.2))
	require.Equal(t, Report{LoanMs: 802, Started: true, UsedMs: 5001}, r, "the process before it may have followed a granter")
	c.Connected()
	c.Update(secs(20), &Update{Issuing: true, AnswersMs: 20_000, Share: 0.5, Term: 2, Grants: []Grant{{Workspace: "w", Tokens: 1}}})
	require.Equal(t, Report{Share: 0.5, LoanMs: 1, Started: true, UsedMs: 1, Term: 2}, c.Report(secs(20.1)))
	c.Connected()
	require.Equal(t, Report{Share: 0.5, LoanMs: 802, UsedMs: 1, Term: 2}, c.Report(secs(20.2)))
	require.Equal(t, Report{Share: 0.5, LoanMs: 1, UsedMs: 501, Term: 2}, c.Report(secs(21.5)), "it has used its share")
	require.False(t, c.Update(secs(21.5), &Update{Issuing: true, AnswersMs: 21_500, Term: 1, Grants: []Grant{{Workspace: "w", Tokens: 1}}}), "a granter of an earlier term")
	_, ok := c.Take(secs(21.5), "w", Limit{Rate: 0.01})
	require.False(t, ok)

	require.True(t, c.Update(secs(21.5), &Update{Issuing: true, AnswersMs: 21_500, Term: 3, TokenMs: 400, Grants: []Grant{{Workspace: "w", Tokens: 2}}}))
	require.Equal(t, int64(501), c.Report(secs(21.5)).UsedMs, "before it followed the granter")
	late, ok := c.Take(secs(21.6), "w", Limit{Rate: 5})
	require.True(t, ok)
	require.False(t, c.Sent(secs(21.9), "w", Limit{Rate: 5}, &late), "its token has ended")
	require.Equal(t, Demand{Workspace: "w", Done: 2, Returned: 2}, c.Report(secs(21.9)).Demands[0])
	share, _ := c.Share(secs(21.9))
	require.InDelta(t, 0.5, share, 0, "short-lived tokens leave it as it is")
	c.Connected()
	require.Equal(t, int64(5001), c.Report(secs(22)).UsedMs, "after short-lived tokens there is no credit")
	require.Equal(t, Report{Share: 0.5, UsedMs: 5001, Term: 3}, c.Report(secs(29.1)), "the share ends within a second")
}

// TestWaitsWhileTheGranterIsReplaced guards against requests that are refused after 150 ms although the
// granter is lost, and against any number of them.
func TestWaitsWhileTheGranterIsReplaced(t *testing.T) {
	const long = time.Second
	wait := Patience{Short: 150 * time.Millisecond, Long: long}
	c := connectedClient(0)
	require.Equal(t, secs(11.5), c.WaitEnd(secs(10.5), secs(10.5), wait), "it has just followed a granter")
	c.Update(secs(12), &Update{Issuing: true, AnswersMs: 12_000, Share: 0.5})
	require.Equal(t, secs(11.85), c.WaitEnd(secs(12.1), secs(11.7), wait), "an update has come meanwhile")
	require.Equal(t, secs(12)+absentAfter, c.WaitEnd(secs(12.1), secs(12.1), wait), "it is not yet known")
	require.Equal(t, secs(13.1), c.WaitEnd(secs(12.4), secs(12.1), wait))
	require.Equal(t, secs(12)+replaceTime, c.WaitEnd(secs(12.4), secs(12.1), Patience{Long: 600 * time.Millisecond, Most: 3 * time.Second}), "until the next granter is due")
	require.Equal(t, secs(13), c.WaitEnd(secs(12.4), secs(12.1), Patience{Long: 600 * time.Millisecond, Most: 900 * time.Millisecond}))
	require.False(t, c.Changing(secs(17)), "no other granter comes")
	limit := Limit{Rate: 100}
	small := func(at float64, waiting int) bool {
		defer c.Wait(secs(at), "small", -waiting)
		c.Wait(secs(at), "small", waiting)
		return c.MayWait(secs(at), "small", Limit{Rate: 1}, wait.Short)
	}
	require.False(t, small(12.1, 1), "the granter is there")
	require.True(t, small(12.2, waitingBurst-1), "it may be lost")
	require.False(t, small(12.2, waitingBurst))
	waiting := 0
	for ; c.MayWait(secs(14), "w", limit, long); waiting++ {
		c.Arrive(secs(14), "w")
		c.Wait(secs(14), "w", 1)
		require.Less(t, waiting, 10_000)
	}
	require.InDelta(t, waitingSkew*0.5*100, waiting, 2, "twice the part of this VM")
	for name := api.WorkspaceName("x"); c.MayWait(secs(14), name, limit, long); name += "x" {
		c.Wait(secs(14), name, 1)
		waiting++
	}
	require.Equal(t, maxChangeWaiting, waiting)
}
