package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// ReportBegin and ReportEnd enclose the part of docs/CAPACITY.md that make capacity writes.
const (
	ReportBegin = "<!-- make capacity: begin -->\n"
	ReportEnd   = "<!-- make capacity: end -->\n"
)

// Run holds the results of one run of all measurements.
type Run struct {
	// Header states when and where the measurements were made.
	Header string
	Slopes Slopes
	// Checks compare the sums with a whole deployment.
	Checks []Check
}

// Report returns the measured slopes and the projected tables as Markdown.
func (r Run) Report() (string, error) {
	var columns []column
	for _, t := range targets() {
		c, err := compute(t, r)
		if err != nil {
			return "", err
		}
		columns = append(columns, c)
	}
	w := &writer{columns: columns}
	w.line("%s", r.Header)
	w.overview()
	w.checks(r.Checks)
	w.slopes(r.Slopes)
	w.constants()
	w.targetShape()
	w.roles()
	w.findings()
	return w.text.String(), w.err
}

type writer struct {
	text    strings.Builder
	columns []column
	err     error
}

func (w *writer) line(format string, args ...any) { fmt.Fprintf(&w.text, format+"\n", args...) }

func (w *writer) row(cells ...string) { w.line("| %s |", strings.Join(cells, " | ")) }

func (w *writer) table(names ...string) {
	w.line("")
	w.row(names...)
	w.line("|%s", strings.Repeat("---|", len(names)))
}

// formatRounded formats a number with three significant digits.
func formatRounded(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) >= 999.5:
		digits := int(math.Floor(math.Log10(math.Abs(v)))) - 2
		unit := math.Pow(10, float64(digits))
		return groupThousands(strconv.FormatFloat(math.Round(v/unit)*unit, 'f', 0, 64))
	default:
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
}

func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	var groups []string
	for len(digits) > 3 {
		groups = append([]string{digits[len(digits)-3:]}, groups...)
		digits = digits[:len(digits)-3]
	}
	return sign + strings.Join(append([]string{digits}, groups...), ",")
}

// values formats a quantity for all targets.
func (w *writer) values(name string) []string {
	out := make([]string, len(w.columns))
	for i, c := range w.columns {
		v, ok := c[name]
		if !ok {
			w.err = fmt.Errorf("%s has no value", name)
		}
		out[i] = formatRounded(v)
	}
	return out
}

// inline formats a quantity for use in a sentence: for targets A and B, or for the
// deployment of today if the name has the prefix "today:".
func (w *writer) inline(name string) string {
	name, today := strings.CutPrefix(name, "today:")
	v := w.values(name)
	if today {
		return v[0]
	}
	a, b := v[1], v[2]
	if a == b {
		return a
	}
	return a + " (A), " + b + " (B)"
}

// expand replaces quantity names in braces by their values.
func (w *writer) expand(text string) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		name, after, _ := strings.Cut(rest, "}")
		out.WriteString(w.inline(name))
		text = after
	}
}

// overview writes the five costs of each role, and the totals with their limits.
func (w *writer) overview() {
	w.line("\n### Overview at today's mechanisms")
	w.line("\nOne VM that holds a keyed shard and is a witness of two. Each cell shows the values for targets A; B, and in parentheses their ratios to the limit where there is one. The cells of the operators' tool are for one status, not per second.")
	w.table("role", "messages/s sent", "messages/s received", "B/s", "cores", "B of memory")
	for _, r := range roles {
		cells := []string{r.Name}
		for _, name := range r.Cells {
			if _, ok := w.columns[0][name]; !ok {
				cells = append(cells, name)
				continue
			}
			cells = append(cells, w.cell(name, r.Quantities))
		}
		w.row(cells...)
	}
	w.quantities(totals)
	w.line("\nSizes up to which today's mechanisms fit, by section below; the target has %s VMs:", w.inline("vms"))
	w.table("mechanism", "figure", "fits up to", "unit")
	for _, f := range findings {
		for _, q := range f.Quantities {
			if strings.Contains(q.Name, "_fit_") {
				w.row(f.Title, q.Name, w.inline(q.Name), q.Unit)
			}
		}
	}
}

// cell formats a quantity of a role for targets A and B, with ratios to its limit.
func (w *writer) cell(name string, list []Quantity) string {
	v := w.values(name)
	text := v[1] + "; " + v[2]
	for _, q := range list {
		if q.Name == name && q.Limit != "" {
			a, b := w.columns[1], w.columns[2]
			text += " (×" + formatRounded(a[name]/a[q.Limit]) + "; ×" + formatRounded(b[name]/b[q.Limit]) + ")"
		}
	}
	return text
}

// quantities writes a table of quantities with their formulas and limits.
func (w *writer) quantities(lists ...[]Quantity) {
	names := []string{"figure", "unit", "formula"}
	for _, t := range targets() {
		names = append(names, t.Name)
	}
	w.table(append(names, "limit", "ratio to the limit")...)
	for _, q := range slices.Concat(lists...) {
		cells := append([]string{q.Name, q.Unit, "`" + q.Formula + "`"}, w.values(q.Name)...)
		limit, ratios := "", ""
		if q.Limit != "" {
			limit = q.Limit
			var parts []string
			for _, c := range w.columns {
				parts = append(parts, formatRounded(c[q.Name]/c[q.Limit]))
			}
			ratios = strings.Join(parts, "; ")
		}
		w.row(append(cells, limit, ratios)...)
	}
}

// checks writes a table that compares a whole deployment with the sum of its parts.
func (w *writer) checks(checks []Check) {
	w.line("\n### Check against a whole deployment of today's size")
	w.line("\nThe column \"computed\" is the formula's value for 12 VMs.")
	w.table("name", "measured", "unit", "formula", "computed", "measured over computed", "what")
	for _, c := range checks {
		today := w.columns[0][c.Quantity]
		w.row(c.Name, formatExact(c.Value), c.Unit, c.Quantity, formatRounded(today), formatRounded(c.Value/today), c.Description)
	}
}

const (
	slopeColumns = 8
	checkColumns = 7
)

func (w *writer) slopes(slopes Slopes) {
	w.line("\n### Measured slopes")
	w.line("\nLine by weighted least squares: cost = fixed + slope × size. In formulas `name` is the slope and `name_0` the fixed part, or 0 if the fit gives less than 0. Each line is measured again by `make capacity`, or alone by `go run ./bench/cmd/capacity -only NAME`.")
	w.table("name", "slope", "unit", "standard error", "fixed", "R²", "sizes", "measured")
	for _, m := range Measurements() {
		s := slopes.must(m.Name)
		sizes := make([]string, len(s.Sizes))
		for i, n := range s.Sizes {
			sizes[i] = strconv.Itoa(n)
		}
		w.row(s.Name, formatExact(s.Value), s.Unit, formatExact(s.StandardError), formatExact(s.Intercept), formatExact(s.R2), strings.Join(sizes, " "), m.Description)
	}
}

// formatExact formats a number so that parsing returns the same value.
func formatExact(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func (w *writer) constants() {
	w.line("\n### Constants")
	w.line("\nConstants of the code by their names in Go, numbers stated by the users with the section of docs/design.md, and constants of proposed mechanisms.")
	w.table("name", "value", "source")
	for _, c := range slices.Concat(CodeConstants(), UserConstants(), ProposedConstants()) {
		w.row(c.Name, formatExact(c.Value), c.Source)
	}
}

func (w *writer) targetShape() {
	w.line("\n### Shape of the target")
	w.table("figure", "today", "A", "B")
	for _, name := range []string{"vms", "upstreams", "keyed_upstreams", "ranges", "shards"} {
		w.row(append([]string{name}, w.values(name)...)...)
	}
	w.quantities(vmShares)
}

func (w *writer) roles() {
	w.line("\n### Roles")
	w.line("")
	var lists [][]Quantity
	for _, r := range roles {
		w.line("- **%s**. Mechanism: %s. State: %s.", r.Name, r.Mechanism, r.State)
		lists = append(lists, r.Quantities)
	}
	w.quantities(lists...)
}

func (w *writer) findings() {
	w.line("\n### What does not fit today's mechanisms")
	var lists [][]Quantity
	for _, f := range findings {
		w.line("\n#### %s", f.Title)
		w.line("- Today: %s", w.expand(f.Today))
		w.line("- Size at which it stops fitting: %s", w.expand(f.FitsUpTo))
		w.line("- Proposed mechanism: %s", w.expand(f.Remedy))
		lists = append(lists, f.Quantities)
	}
	w.line("\n#### Figures and formulas of the sections above")
	w.quantities(lists...)
}

// ParseReport parses the header, the checks and the slopes of a report.
func ParseReport(text string) (Run, error) {
	header, _, _ := strings.Cut(text, "\n")
	run := Run{Header: header, Slopes: Slopes{}}
	for _, cells := range tableRows(text, "### Measured slopes\n", slopeColumns) {
		s, err := parseSlope(cells)
		if err != nil {
			return run, fmt.Errorf("slope %s: %w", cells[0], err)
		}
		run.Slopes[s.Name] = s
	}
	for _, cells := range tableRows(text, "### Check against", checkColumns) {
		v, err := strconv.ParseFloat(cells[1], 64)
		if err != nil {
			return run, fmt.Errorf("check %s: %w", cells[0], err)
		}
		run.Checks = append(run.Checks, Check{Name: cells[0], Value: v, Unit: cells[2], Quantity: cells[3], Description: cells[6]})
	}
	if len(run.Slopes) == 0 || len(run.Checks) == 0 {
		return run, fmt.Errorf("the report has no table of slopes or of checks")
	}
	return run, nil
}

// tableRows returns the cells of each row of the table below a heading.
func tableRows(text, heading string, columns int) [][]string {
	_, rest, _ := strings.Cut(text, heading)
	rest, _, _ = strings.Cut(rest, "\n### ")
	var rows [][]string
	for line := range strings.Lines(rest) {
		line = strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "| "), " |")
		if cells := strings.Split(line, " | "); len(cells) == columns && cells[0] != "name" {
			rows = append(rows, cells)
		}
	}
	return rows
}

func parseSlope(cells []string) (Slope, error) {
	s := Slope{Name: cells[0], Unit: cells[2]}
	for _, field := range []struct {
		out  *float64
		cell int
	}{{&s.Value, 1}, {&s.StandardError, 3}, {&s.Intercept, 4}, {&s.R2, 5}} {
		v, err := strconv.ParseFloat(cells[field.cell], 64)
		if err != nil {
			return s, err
		}
		*field.out = v
	}
	for _, size := range strings.Fields(cells[6]) {
		n, err := strconv.Atoi(size)
		if err != nil {
			return s, err
		}
		s.Sizes = append(s.Sizes, n)
	}
	return s, nil
}

// Split returns the parts of a page: the text up to and including ReportBegin, the
// report, and the rest from ReportEnd on.
func Split(page string) (before, report, after string, err error) {
	before, rest, found := strings.Cut(page, ReportBegin)
	report, after, ended := strings.Cut(rest, ReportEnd)
	if !found || !ended {
		return "", "", "", fmt.Errorf("the page does not enclose the report in %q and %q", strings.TrimSpace(ReportBegin), strings.TrimSpace(ReportEnd))
	}
	return before + ReportBegin, report, ReportEnd + after, nil
}
