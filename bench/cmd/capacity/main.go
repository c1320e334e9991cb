// Command capacity measures the slopes of docs/CAPACITY.md and prints the
// projected tables with their limits. It runs in the root of the repository, after
// make build, because some measurements start bin/dandelionhilld.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"dandelionhill.dev/bench/capacity"
)

func main() {
	only := flag.String("only", "", "measure one slope and print it")
	page := flag.String("page", "", "replace the report on this page, besides printing it")
	from := flag.String("from", "", "take the slopes from this page instead of measuring")
	flag.Parse()
	if err := run(*only, *page, *from); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(only, page, from string) error {
	if only != "" {
		return measureOne(only)
	}
	r, err := measureOrRead(from)
	if err != nil {
		return err
	}
	report, err := r.Report()
	if err != nil {
		return err
	}
	fmt.Print(report)
	if page == "" {
		return nil
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	before, _, after, err := capacity.Split(string(text))
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(before+report+after), 0o644)
}

func measureOne(name string) error {
	for _, m := range capacity.Measurements() {
		if m.Name != name {
			continue
		}
		s, err := m.Run()
		if err != nil {
			return err
		}
		fmt.Printf("%s = %g %s, standard error %g, fixed %g, R² %g, sizes %v\n", s.Name, s.Value, s.Unit, s.StandardError, s.Intercept, s.R2, s.Sizes)
		return nil
	}
	return fmt.Errorf("unknown slope %q: docs/CAPACITY.md lists the names", name)
}

// measureOrRead measures all slopes and checks, or reads them from a page.
func measureOrRead(from string) (capacity.Run, error) {
	if from != "" {
		text, err := os.ReadFile(from)
		if err != nil {
			return capacity.Run{}, err
		}
		_, report, _, err := capacity.Split(string(text))
		if err != nil {
			return capacity.Run{}, err
		}
		return capacity.ParseReport(report)
	}
	r := capacity.Run{Slopes: capacity.Slopes{}}
	r.Header = fmt.Sprintf("Measured %s with `make capacity` on one shared machine: %d cores, %s %s/%s, load average %s.",
		time.Now().Format("2006-01-02 15:04"), runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH, loadAverage())
	for _, m := range capacity.Measurements() {
		fmt.Fprintln(os.Stderr, "measuring", m.Name)
		s, err := m.Run()
		if err != nil {
			return r, err
		}
		r.Slopes[s.Name] = s
	}
	fmt.Fprintln(os.Stderr, "measuring a deployment of today's size")
	var err error
	r.Checks, err = capacity.Checks()
	return r, err
}

// loadAverage returns the one-minute load average, which shows how much other
// programs may have disturbed the measurements.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
