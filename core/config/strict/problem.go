// Package strict decodes JSON with comments into Go values and refuses unknown,
// duplicate and missing fields. It reports all problems of a file with their
// lines, so that an operator can correct them in one pass.
package strict

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one reason why a file is refused.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`  // from 1; 0 if the value was not read from a file
	Field   string `json:"field"` // path such as services[0].slots; empty for the whole file
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Error returns the problem as "file:line: field: message; remedy: remedy".
func (p *Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message + "; remedy: " + p.Remedy)
	return b.String()
}

// Errors holds all problems of a file in the order of their lines.
type Errors []*Problem

// Error returns one line for each problem.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, p := range e {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find a single Problem.
func (e Errors) Unwrap() []error {
	all := make([]error, len(e))
	for i, p := range e {
		all[i] = p
	}
	return all
}

// Collector collects problems and adds the file and line of each field. The zero
// Collector is for values that were not read from a file.
type Collector struct {
	file      string
	lines     map[string]int
	undecoded map[string]bool // fields whose values could not be decoded
	problems  Errors
}

// Add records a problem with a field. It ignores fields that could not be
// decoded: their problem is already recorded, and their zero value has no meaning.
func (c *Collector) Add(field, remedy, format string, args ...any) {
	if c.Decoded(field) {
		c.add(field, remedy, format, args...)
	}
}

// Decoded reports whether a field holds a value from the file. Checks that
// compare fields use it to skip those without one.
func (c *Collector) Decoded(field string) bool {
	if len(c.undecoded) == 0 {
		return true
	}
	for ; field != ""; field = parent(field) {
		if c.undecoded[field] {
			return false
		}
	}
	return !c.undecoded[""]
}

// DecodedWithin reports whether a field and everything inside it hold values
// from the file.
func (c *Collector) DecodedWithin(field string) bool {
	for path := range c.undecoded {
		for ; path != ""; path = parent(path) {
			if path == field {
				return false
			}
		}
	}
	return c.Decoded(field)
}

// parent returns the path of the enclosing value.
func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

// fail records a problem that leaves a field without a value.
func (c *Collector) fail(field, remedy, format string, args ...any) {
	c.add(field, remedy, format, args...)
	if c.undecoded == nil {
		c.undecoded = map[string]bool{}
	}
	c.undecoded[field] = true
}

func (c *Collector) add(field, remedy, format string, args ...any) {
	c.problems = append(c.problems, &Problem{
		File: c.file, Line: c.line(field), Field: field, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// Err returns the recorded problems as Errors, or nil when there is none.
func (c *Collector) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].Line < c.problems[j].Line })
	return c.problems
}

// line returns the line of a field, or of the nearest enclosing value for a
// field that the file does not contain.
func (c *Collector) line(field string) int {
	for ; field != ""; field = parent(field) {
		if line, ok := c.lines[field]; ok {
			return line
		}
	}
	return c.lines[""]
}
