// Command capacity measures the slopes of docs/CAPACITY.md again and prints the
// projected tables beside the limits. It runs in the root of the repository,
// after make build, because one measurement starts bin/dandelionhilld.
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
	page := flag.String("page", "", "replace the measured part of this page, besides printing it")
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
	r, err := slopes(from)
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
		fmt.Printf("%s = %g %s, standard error %g, fixed %g, R² %g, sizes %v\n", s.Name, s.Value, s.Unit, s.Error, s.Fixed, s.R2, s.Sizes)
		return nil
	}
	return fmt.Errorf("no slope is called %q: docs/CAPACITY.md lists the names", name)
}

// slopes measures everything, or reads the slopes of a page.
func slopes(from string) (capacity.Run, error) {
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

// loadAverage returns the load of the last minute, which says how far other
// programs disturbed the times.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
