package routing

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
)

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Workspace is a customer whose callers authenticate with keys.
type Workspace struct {
	Name api.WorkspaceName
	Keys []KeyDigest
	// Rate is the quota in requests per second over all VMs, 0 for none; Burst is what may
	// come on top of it at once.
	Rate, Burst float64
	// Priority takes precedence over that of the route, unless it is nil.
	Priority *int
	// Version is that of the configuration which changed the workspace last, as far as is known
	// here: see InheritVersions.
	Version int64
}

// HasWorkspaces reports whether requests need a key, except on public routes.
func (c *Configuration) HasWorkspaces() bool { return len(c.Workspaces) > 0 }

// Authenticate returns the workspace that holds a key, nil if none does.
func (c *Configuration) Authenticate(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKey[DigestKey(key)]
}

// maxProblems bounds the problems that the error of Validate names.
const maxProblems = 10

// emptyKey is the digest of an empty key.
var emptyKey = DigestKey("")

// Validate checks the workspaces. The error names each problem and its remedy, and holds no key.
func (c *Configuration) Validate() error {
	var problems []string
	add := func(name api.WorkspaceName, problem, remedy string) {
		problems = append(problems, fmt.Sprintf("workspace %q %s: %s", name, problem, remedy))
	}
	holders := make(map[KeyDigest]api.WorkspaceName)
	for _, w := range c.sortedWorkspaces() {
		if w.Name == "" {
			add(w.Name, "has an empty name", "name it")
		} else if !validHeaderValue(string(w.Name)) {
			add(w.Name, "has a name that no header can hold", "remove control characters, and spaces at its ends")
		}
		for _, key := range w.Keys {
			holder, held := holders[key]
			switch {
			case key == emptyKey:
				add(w.Name, "has an empty key", "remove it, or write the key")
			case held && holder != w.Name:
				add(w.Name, fmt.Sprintf("holds a key that %q holds too", holder), "give one of them a new key")
			}
			holders[key] = w.Name
		}
		if !(w.Rate >= 0) {
			add(w.Name, fmt.Sprintf("has the rate %v", w.Rate), "write requests per second, or 0 for no limit")
		}
		if !(w.Burst >= 0) {
			add(w.Name, fmt.Sprintf("has the burst %v", w.Burst), "write 0 or more requests")
		}
		if w.Priority != nil && *w.Priority < 0 {
			add(w.Name, fmt.Sprintf("has the priority %d", *w.Priority), "write 0, which is the most urgent, or more")
		}
	}
	if len(problems) == 0 {
		return nil
	}
	if more := len(problems) - maxProblems; more > 0 {
		problems = append(problems[:maxProblems], fmt.Sprintf("%d more", more))
	}
	return errors.New(strings.Join(problems, "; "))
}

// sortedWorkspaces returns the workspaces by name.
func (c *Configuration) sortedWorkspaces() []*Workspace {
	out := make([]*Workspace, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// validHeaderValue reports whether a text reaches an upstream unchanged as the value of a header.
func validHeaderValue(text string) bool {
	return strings.Trim(text, " \t") == text && !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// InheritVersions sets the version of each workspace: that of the previous configuration, unless
// the workspace has changed since. Without a previous configuration it is that of c.
func (c *Configuration) InheritVersions(previous *Configuration) {
	for name, w := range c.Workspaces {
		w.Version = c.Version
		if previous == nil {
			continue
		}
		if before := previous.Workspaces[name]; before != nil && w.equal(before) {
			w.Version = before.Version
		}
	}
}

// equal reports whether two versions of a workspace are the same, with the keys in any order.
func (w *Workspace) equal(other *Workspace) bool {
	samePriority := w.Priority == nil && other.Priority == nil ||
		w.Priority != nil && other.Priority != nil && *w.Priority == *other.Priority
	if !samePriority || w.Rate != other.Rate || w.Burst != other.Burst || len(w.Keys) != len(other.Keys) {
		return false
	}
	if slices.Equal(w.Keys, other.Keys) {
		return true
	}
	had := make(map[KeyDigest]bool, len(other.Keys))
	for _, key := range other.Keys {
		had[key] = true
	}
	return !slices.ContainsFunc(w.Keys, func(key KeyDigest) bool { return !had[key] })
}
