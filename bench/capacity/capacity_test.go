package capacity

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const page = "../../docs/CAPACITY.md"

// report returns the report of the page.
func report(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	_, part, _, err := Split(string(text))
	require.NoError(t, err)
	return part
}

// TestPageFollowsFromItsSlopes guards against a page whose constants, formulas, figures or
// texts differ from the code: the code must generate the same report from the slopes on the
// page.
func TestPageFollowsFromItsSlopes(t *testing.T) {
	text := report(t)
	run, err := ParseReport(text)
	require.NoError(t, err)
	regenerated, err := run.Report()
	require.NoError(t, err)
	require.Equal(t, strings.Split(regenerated, "\n"), strings.Split(text, "\n"),
		"the code has changed: run make capacity, or go run ./bench/cmd/capacity -from docs/CAPACITY.md -page docs/CAPACITY.md if no slope can have changed")
}

// TestChangedPageIsDetected guards against a comparison that accepts a page with another
// constant, formula, figure or text: each of these changes must be detected.
func TestChangedPageIsDetected(t *testing.T) {
	text := report(t)
	for old, changed := range map[string]string{
		"| heartbeat_s | 0.2 |":                        "| heartbeat_s | 0.25 |",
		"`vms/store_s`":                                "`vms*store_s`",
		"| b_heartbeat_peer | 9 |":                     "| b_heartbeat_peer | 10 |",
		"Every VM sends a heartbeat to every other VM": "Some VMs send heartbeats",
	} {
		altered := strings.Replace(text, old, changed, 1)
		require.NotEqual(t, text, altered, old)
		run, err := ParseReport(altered)
		require.NoError(t, err)
		regenerated, err := run.Report()
		require.NoError(t, err)
		require.NotEqual(t, regenerated, altered, changed)
	}
}

// TestPageHoldsTheConstantsOfTheCode guards against a constant of the code that is missing on
// the page or has another value there, independently of how the report is written.
func TestPageHoldsTheConstantsOfTheCode(t *testing.T) {
	lines := strings.Split(report(t), "\n")
	for _, c := range CodeConstants() {
		require.Contains(t, lines, "| "+c.Name+" | "+formatExact(c.Value)+" | "+c.Source+" |")
	}
}

// TestSlopesSpanTwoDecades guards against a slope that is fitted to too few sizes or too small
// a span.
func TestSlopesSpanTwoDecades(t *testing.T) {
	names := map[string]bool{}
	for _, m := range Measurements() {
		require.False(t, names[m.Name], m.Name)
		names[m.Name] = true
		require.GreaterOrEqual(t, len(m.Sizes), 4, m.Name)
		require.GreaterOrEqual(t, slices.Max(m.Sizes), 100*slices.Min(m.Sizes), m.Name)
	}
	run, err := ParseReport(report(t))
	require.NoError(t, err)
	require.Len(t, run.Slopes, len(names))
	for _, m := range Measurements() {
		require.Equal(t, m.Sizes, run.Slopes[m.Name].Sizes, m.Name)
	}
}

// TestFit guards against a wrong slope, intercept or standard error: one fit is exact,
// y = 5 + 3x, and one has known residuals.
func TestFit(t *testing.T) {
	sizes := []int{1, 10, 100, 1000}
	s := fit("x", "", sizes, []float64{8, 35, 305, 3005})
	require.InDelta(t, 3, s.Value, 1e-9)
	require.InDelta(t, 5, s.Intercept, 1e-9)
	require.InDelta(t, 0, s.StandardError, 1e-9)
	// Equal costs weigh equally. For y = 1, 1, 2, 2 at x = 1, 2, 3, 4 without
	// weights the slope is 0.4 and its standard error sqrt(0.2/2/5).
	x, y, w := []float64{1, 2, 3, 4}, []float64{1, 1, 2, 2}, []float64{1, 1, 1, 1}
	require.InDelta(t, 0.1414213562, standardError(x, y, w, 0.5, 0.4), 1e-9)
}

// TestEval guards against wrongly evaluated formulas, and against accepting invalid ones.
func TestEval(t *testing.T) {
	env := map[string]float64{"vms": 12, "x_0": 2}
	for formula, want := range map[string]float64{
		"vms*(vms-1)/0.2":           660,
		"1+2*3-4/2":                 5,
		"ceil(log(vms)/log(8))":     2,
		"max(0, x_0-vms)+sqrt(1e4)": 100,
		"min(vms, x_0)":             2,
	} {
		got, err := eval(formula, env)
		require.NoError(t, err, formula)
		require.InDelta(t, want, got, 1e-9, formula)
	}
	for _, wrong := range []string{"vms+", "unknown*2", "vms%2", "pow(vms, 2)", "sqrt(1, 2)"} {
		_, err := eval(wrong, env)
		require.Error(t, err, wrong)
	}
}

// TestSizesOfFitMeetTheirLimits guards against quadratic costs that a formula for a size
// treats as linear: at the size up to which a mechanism fits, its figure must equal its limit.
func TestSizesOfFitMeetTheirLimits(t *testing.T) {
	run, err := ParseReport(report(t))
	require.NoError(t, err)
	for _, c := range []struct{ size, figure, limit string }{
		{"heartbeat_fit_vms", "member_bytes", "limit_bytes"},
		{"connections_fit_vms", "entry_connections_memory", "limit_memory"},
		{"poll_fit_vms", "table_reads", "limit_reads"},
		{"poll_rows_fit_vms", "table_rows", "limit_reads"},
		{"poll_bytes_fit_vms", "table_poll_bytes", "limit_bytes"},
		{"frame_fit_vms", "document_bytes", "max_frame"},
		{"change_fit_vms", "config_writer_s", "limit_change_s"},
		{"burst_fit_vms", "table_burst", "limit_writes"},
		{"map_held_fit_vms", "map_held_bytes", "limit_memory"},
		{"map_fit_vms", "map_bytes", "limit_memory"},
		{"list_fit_vms", "list_bytes", "limit_bytes"},
		{"gone_fit_vms", "list_core", "limit_core"},
		{"loop_fit_vms", "entry_core", "limit_core"},
	} {
		sizes, err := compute(targets()[1], run)
		require.NoError(t, err)
		atSize, err := compute(newTarget("", sizes[c.size]), run)
		require.NoError(t, err)
		require.InEpsilon(t, atSize[c.limit], atSize[c.figure], 0.01+2/sizes[c.size], "%s at %s = %g", c.figure, c.size, sizes[c.size])
	}
}

// TestNumber guards against wrongly rounded or grouped numbers.
func TestNumber(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.01234: "0.0123", 12.345: "12.3", 999.4: "999", 999.6: "1,000", 1234567: "1,230,000", -4321: "-4,320"} {
		require.Equal(t, want, formatRounded(v))
	}
	require.Error(t, func() error { _, _, _, err := Split("no marks"); return err }())
}
