package soak

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/pkg/errors"
)

// Report is the result of a run.
type Report struct {
	// The numbers of requests by outcome. Refused requests did not run; for ConnRefused
	// the VM did not listen.
	Calls, Answered, Refused, ConnRefused, Failed int
	// Plan lists the actions that were taken, Violations the guarantees that were broken.
	Plan, Violations []string
}

// writeHistory writes the events of the upstreams in order: the time since the load began, the
// upstream, its incarnation, the VM, and for how long a grant was there before it was taken.
func (d *deployment) writeHistory() error {
	file, err := createLog(filepath.Join(d.Dir, "history.log"))
	if err != nil {
		return err
	}
	defer file.Close()
	events, _, _ := d.history.snapshot()
	out := bufio.NewWriter(file)
	for _, e := range sortedEvents(events) {
		text, err := json.Marshal(e.Event)
		if err != nil {
			return errors.Wrap(err, "encode an event")
		}
		waited := e.At - cmp.Or(e.arrived, e.At)
		fmt.Fprintf(out, "%.6f %s %d %s %.6f %s\n", (e.At - d.loadStart).Seconds(), e.Upstream, e.Incarnation, cmp.Or(e.sender.name(), "-"), waited.Seconds(), text)
	}
	return errors.Wrap(out.Flush(), "write the history")
}

func (d *deployment) countOutcomes(report *Report) {
	_, calls, _ := d.history.snapshot()
	for _, c := range calls {
		report.Calls++
		switch {
		case c.Status == http.StatusOK:
			report.Answered++
		case c.Status == http.StatusServiceUnavailable, c.Status == http.StatusTooManyRequests, c.Status == http.StatusUnauthorized:
			report.Refused++
		case errors.Is(c.Err, syscall.ECONNREFUSED):
			report.ConnRefused++
		default:
			report.Failed++
		}
	}
}

// Summary returns the report in one line.
func (r *Report) Summary() string {
	return fmt.Sprintf("%d requests: %d answered, %d refused, %d connections refused, %d failed; %d actions; %d violations",
		r.Calls, r.Answered, r.Refused, r.ConnRefused, r.Failed, len(r.Plan), len(r.Violations))
}

// Print writes the summary and, if there are violations, the plan and the first of them.
func (r *Report) Print(w io.Writer, seed uint64) error {
	text := fmt.Sprintf("seed %d: %s\n", seed, r.Summary())
	if len(r.Violations) > 0 {
		text += "plan:\n  " + strings.Join(r.Plan, "\n  ") + "\nviolations:\n  " + strings.Join(r.Violations[:min(len(r.Violations), 30)], "\n  ") + "\n"
	}
	_, err := io.WriteString(w, text)
	return errors.Wrap(err, "write the report")
}
