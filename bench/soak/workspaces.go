package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	fakes "dandelionhill.dev/fakes/fleet"
)

const (
	// workspaceCount is the number of workspaces; the first has a quota.
	workspaceCount = 4
	// limitedRate and limitedBurst are the quota of the first workspace, in requests a second
	// and in requests.
	limitedRate, limitedBurst = 20, 20
	// keyOverlap is for how long a new key exists beside the one that it replaces.
	keyOverlap = maxApplyTime + 500*time.Millisecond
	// Each unknownKeyShare-th request has a key that never existed, each removedKeyShare-th one
	// that has been removed.
	unknownKeyShare, removedKeyShare = 25, 10
	// unknownKey is a key of no workspace.
	unknownKey = "key-of-nobody"
)

// apiKey is a key of a workspace. Added and Removed are the times of the acknowledgements of the
// configurations that did so; Removed is 0 before.
type apiKey struct {
	Text, Workspace string
	Added, Removed  time.Duration
}

// workspaces holds the keys that configurations have had. It is safe for concurrent use.
type workspaces struct {
	mu   sync.Mutex
	keys []apiKey
}

func workspaceName(n int) string { return fmt.Sprintf("ws-%d", n) }

// add adds a key to a workspace. It is not used before it is acknowledged.
func (w *workspaces) add(workspace string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys = append(w.keys, apiKey{Text: fmt.Sprintf("key-%d-of-%s", len(w.keys), workspace), Workspace: workspace})
}

// remove removes all keys of a workspace but the last one, and returns their texts.
func (w *workspaces) remove(workspace string) (texts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := -1
	for i, key := range w.keys {
		if key.Workspace != workspace || key.Removed != 0 {
			continue
		}
		if last >= 0 {
			// Not usable from now on; the acknowledgement sets the time.
			w.keys[last].Removed = monotonic()
			texts = append(texts, w.keys[last].Text)
		}
		last = i
	}
	return texts
}

// acknowledge records when a configuration without removed and with all other keys was accepted.
func (w *workspaces) acknowledge(at time.Duration, removed []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.keys {
		if w.keys[i].Added == 0 {
			w.keys[i].Added = at
		}
		if slices.Contains(removed, w.keys[i].Text) {
			w.keys[i].Removed = at
		}
	}
}

// snapshot returns all keys.
func (w *workspaces) snapshot() []apiKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.keys)
}

// usable returns a key of a workspace that each VM should know at a time.
func (w *workspaces) usable(workspace string, at time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := ""
	for _, key := range w.keys {
		if key.Workspace == workspace && key.Removed == 0 && (text == "" || key.Added != 0 && key.Added+maxApplyTime < at) {
			text = key.Text
		}
	}
	return text
}

// pick returns the key of the next request of a caller.
func (w *workspaces) pick(rng *rand.Rand) string {
	if rng.IntN(unknownKeyShare) == 0 {
		return unknownKey
	}
	if rng.IntN(removedKeyShare) == 0 {
		for _, key := range w.snapshot() {
			if key.Removed != 0 {
				return key.Text
			}
		}
	}
	return w.usable(workspaceName(rng.IntN(workspaceCount)), monotonic())
}

// table returns the workspaces as a table of the configuration.
func (w *workspaces) table() []byte {
	table := make(map[string]fakes.Workspace)
	for n := range workspaceCount {
		table[workspaceName(n)] = fakes.Workspace{}
	}
	table[workspaceName(0)] = fakes.Workspace{Rate: limitedRate, Burst: limitedBurst}
	for _, key := range w.snapshot() {
		if key.Removed == 0 {
			entry := table[key.Workspace]
			entry.Keys = append(entry.Keys, key.Text)
			table[key.Workspace] = entry
		}
	}
	return fakes.EncodeWorkspaces(table)
}

// planKeyRotations replaces keys of workspaces one after the other. The actions have a source of
// randomness of their own, so that the other actions of a seed stay the same.
func (d *deployment) planKeyRotations(rng *rand.Rand, duration time.Duration) (actions []action) {
	for at := faultFreeStart; at < faultFreeStart+duration; at += time.Second + time.Duration(rng.Int64N(int64(3*time.Second))) {
		workspace := workspaceName(rng.IntN(workspaceCount))
		actions = append(actions, action{
			At: at, Duration: keyOverlap, Name: "replace the key of " + workspace,
			apply:  func() { d.changeKeys(func() []string { d.workspaces.add(workspace); return nil }) },
			revert: func() { d.changeKeys(func() []string { return d.workspaces.remove(workspace) }) },
		})
	}
	return actions
}

// changeKeys writes a configuration with changed keys.
func (d *deployment) changeKeys(change func() (removed []string)) {
	d.operator.Lock()
	defer d.operator.Unlock()
	removed := change()
	d.nextConfiguration(removed)
}

// checkWorkspaces finds requests that ran with a key that was removed or never existed, or for
// another workspace than the key's, requests with a valid key that got 401, and quotas that were
// exceeded.
func checkWorkspaces(events []recordedEvent, calls []call, c conditions) (found []string) {
	if len(c.Keys) == 0 {
		return nil
	}
	keys := make(map[string]apiKey)
	for _, key := range c.Keys {
		keys[key.Text] = key
	}
	byID := make(map[string]*call)
	for i := range calls {
		byID[calls[i].ID] = &calls[i]
	}
	cutOff := func(vm string, from, to time.Duration) bool {
		return overlaps(c.StoreFaults[vm], from-faultEffectTime, to) || overlaps(c.Paused[vm], from, to) || overlaps(c.Stalls, from, to)
	}
	for _, e := range events {
		if e.Kind != fakes.EventRun {
			continue
		}
		req := byID[e.Run.RequestID]
		if req == nil {
			continue // still running
		}
		key, known := keys[req.APIKey]
		switch {
		case !known:
			found = append(found, fmt.Sprintf("%s ran with a key that no configuration had", req.ID))
		case e.Run.Workspace != key.Workspace:
			found = append(found, fmt.Sprintf("%s ran for workspace %q with a key of %s", req.ID, e.Run.Workspace, key.Workspace))
		case key.Removed != 0 && req.Sent > key.Removed+maxApplyTime && !cutOff(req.VM, key.Removed, req.Sent):
			found = append(found, fmt.Sprintf("%s on %s ran with a key that was removed %v before it was sent", req.ID, req.VM, req.Sent-key.Removed))
		}
	}
	for _, req := range calls {
		key, known := keys[req.APIKey]
		if req.Status == http.StatusUnauthorized && known && key.Added != 0 && req.Sent > key.Added+maxApplyTime &&
			(key.Removed == 0 || key.Removed > req.Ended) && !cutOff(req.VM, key.Added, req.Sent) {
			found = append(found, fmt.Sprintf("%s on %s got 401 with a key that was added %v before", req.ID, req.VM, req.Sent-key.Added))
		}
	}
	return append(found, exceededQuotas(events, c)...)
}

// The rule of quotas, with the defaults of the settings.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// exceededQuotas finds a window in which more requests of the limited workspace arrived than its
// quota allows. Arrivals at upstreams that were paused or cut off are not counted: they may have
// been sent long before.
func exceededQuotas(events []recordedEvent, c conditions) []string {
	var runs []time.Duration
	for _, e := range events {
		held := overlaps(c.UpstreamPaused[e.Upstream], e.At-quotaWindow, e.At) || overlaps(c.LinkFaults[e.Upstream], e.At-quotaWindow, e.At) ||
			overlaps(c.Stalls, e.At-resumeSlack, e.At)
		if e.Kind == fakes.EventRun && e.Run.Workspace == workspaceName(0) && !held {
			runs = append(runs, e.At)
		}
	}
	slices.Sort(runs)
	allowed := int((limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOvershoot) + quotaSlack)
	for last := allowed; last < len(runs); last++ {
		if runs[last]-runs[last-allowed] < quotaWindow {
			return []string{fmt.Sprintf("more than %d requests of %s ran in the %v before %v", allowed, workspaceName(0), quotaWindow, runs[last]-c.LoadStart)}
		}
	}
	return nil
}
