package quota

import (
	"slices"

	"dandelionhill.dev/api"
)

// Copy returns a Client in the same state, by which can be found out what c would decide. Nothing
// that is done to it changes c.
func (c *Client) Copy() *Client {
	out := *c
	out.entries = make(map[api.WorkspaceName]*entry, len(c.entries))
	for name, e := range c.entries {
		copied := *e
		copied.batches = slices.Clone(e.batches)
		out.entries[name] = &copied
	}
	return &out
}
