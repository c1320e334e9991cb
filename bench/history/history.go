// Package history records the runs of upstreams and the changes of the
// configuration, and checks the invariants on them: one owner of a key at a
// time, at most one run of a non-idempotent request, correct refusals, and a
// configuration that neither reverts nor loses accepted changes.
package history

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"dandelionhill.dev/bench/load"
	"dandelionhill.dev/fakes/upstream"
)

// RunLog records the runs of upstreams. It implements upstream.Recorder.
type RunLog struct {
	mu         sync.Mutex
	runs       []*upstream.Run
	inProgress int
}

// Started implements upstream.Recorder.
func (l *RunLog) Started(run *upstream.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
	l.inProgress++
}

// Ended implements upstream.Recorder. The run is already in the log; the lock
// makes its end visible to Runs.
func (l *RunLog) Ended(*upstream.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress--
}

// InProgress returns the number of runs in progress.
func (l *RunLog) InProgress() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inProgress
}

// Runs returns the runs so far. Call it when no run is in progress.
func (l *RunLog) Runs() []*upstream.Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Duplicates lists the request IDs that ran more than once.
func Duplicates(runs []*upstream.Run) []string {
	counts := map[string]int{}
	for _, r := range runs {
		if r.RequestID != "" {
			counts[r.RequestID]++
		}
	}
	var out []string
	for id, n := range counts {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	slices.Sort(out)
	return out
}

// Overlaps lists pairs of runs for one key that were in progress on different
// upstreams at the same time.
func Overlaps(runs []*upstream.Run) []string {
	byKey := map[string][]*upstream.Run{}
	for _, r := range runs {
		if r.Key != "" {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	var out []string
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b *upstream.Run) int { return a.Start.Compare(b.Start) })
		var latest *upstream.Run // the earlier run that ends last
		for _, r := range list {
			if latest != nil && latest.Upstream != r.Upstream && (latest.End.IsZero() || r.Start.Before(latest.End)) {
				out = append(out, fmt.Sprintf("key %s ran on %s from %v to %v and on %s from %v",
					key, latest.Upstream, latest.Start, latest.End, r.Upstream, r.Start))
			}
			if latest == nil || r.End.IsZero() || !latest.End.IsZero() && r.End.After(latest.End) {
				latest = r
			}
		}
	}
	slices.Sort(out)
	return out
}

// FalseNotRun lists requests that ran although every attempt was refused as not
// run.
func FalseNotRun(results []load.Result, runs []*upstream.Run) []string {
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.RequestID] = true
	}
	var out []string
	for _, r := range results {
		if r.RequestID != "" && r.NotRun && ran[r.RequestID] {
			out = append(out, fmt.Sprintf("%s was refused as not run (%s) and ran", r.RequestID, r.Refusal))
		}
	}
	return out
}

// MismatchedResponses lists responses that do not belong to their requests.
func MismatchedResponses(results []load.Result) []string {
	var out []string
	for _, r := range results {
		if r.Mismatch != "" {
			out = append(out, r.Mismatch)
		}
	}
	return out
}

// LongestGap returns the longest time in which requests for one key were sent
// but none was answered, and the key.
func LongestGap(results []load.Result) (time.Duration, string) {
	byKey := map[string][]load.Result{}
	for _, r := range results {
		if r.Target.Keyed {
			byKey[r.Key] = append(byKey[r.Key], r)
		}
	}
	longest, worst := time.Duration(0), ""
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b load.Result) int { return a.Start.Compare(b.Start) })
		var failingSince time.Time // start of the first request since the last success
		for _, r := range list {
			if r.Outcome != "answered" {
				if failingSince.IsZero() {
					failingSince = r.Start
				}
				continue
			}
			if !failingSince.IsZero() {
				if gap := r.Start.Add(r.Latency).Sub(failingSince); gap > longest {
					longest, worst = gap, key
				}
			}
			if r.Latency > longest {
				longest, worst = r.Latency, key
			}
			failingSince = time.Time{}
		}
	}
	return longest, worst
}

// Count is the number of results with a label.
type Count struct {
	Label string
	N     int
}

// CountUnanswered counts the results that were not answered, by outcome and kind of
// refusal.
func CountUnanswered(results []load.Result) []Count {
	counts := map[string]int{}
	for _, r := range results {
		if r.Outcome != "answered" {
			kind := string(r.Refusal)
			if kind == "" {
				kind = "connection lost"
			}
			counts[string(r.Outcome)+" "+kind]++
		}
	}
	out := make([]Count, 0, len(counts))
	for label, n := range counts {
		out = append(out, Count{label, n})
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(b.N, a.N) })
	return out
}
