package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"dandelionhill.dev/api"
)

// WorkspacesPath is the path of a VM's workspaces, at its address for other VMs.
const WorkspacesPath = StatusPath + "/workspaces"

// Workspaces holds the workspaces of the configuration of one VM.
type Workspaces struct {
	VM api.VMID `json:"vm"`
	// ConfigurationVersion is the version in force, 0 if none is known.
	ConfigurationVersion int64 `json:"configuration"`
	// Workspaces is sorted by name.
	Workspaces []WorkspaceStatus `json:"workspaces"`
}

// WorkspaceStatus describes a workspace, without its keys.
type WorkspaceStatus struct {
	Name api.WorkspaceName `json:"name"`
	// Rate is in requests per second, 0 for no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Priority is missing if those of the routes apply.
	Priority *int `json:"priority,omitempty"`
	// Keys is the number of keys.
	Keys int `json:"keys"`
	// Changed is the version of the configuration that changed the workspace last, or the first
	// one that the VM has read since its start.
	Changed int64 `json:"changed"`
	// Quota is the state of the quota on this VM, missing without a limit.
	Quota *QuotaStatus `json:"quota,omitempty"`
}

// workspaces returns the workspaces that this VM knows.
func (g *Gateway) workspaces() Workspaces {
	out := Workspaces{VM: g.settings.VM, Workspaces: []WorkspaceStatus{}}
	cfg := g.control.view().config
	if cfg == nil {
		return out
	}
	out.ConfigurationVersion = cfg.Version
	for _, w := range cfg.Workspaces {
		status := WorkspaceStatus{
			Name: w.Name, Rate: w.Rate, Burst: w.Burst, Priority: w.Priority, Keys: len(w.Keys), Changed: w.Version,
		}
		if w.Rate > 0 {
			status.Quota = g.control.quotas.status(w.Name)
		}
		out.Workspaces = append(out.Workspaces, status)
	}
	slices.SortFunc(out.Workspaces, func(a, b WorkspaceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (g *Gateway) serveWorkspaces(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.workspaces()); err != nil {
		g.log.Debug().Str("event", "status_not_written").Err(err).Msg("")
	}
}

// ReadWorkspaces reads the workspaces of a VM at its address for other VMs.
func ReadWorkspaces(ctx context.Context, address string) (*Workspaces, error) {
	var out Workspaces
	return &out, readPeer(ctx, address, WorkspacesPath, &out)
}

// readPeer reads the JSON at a path of a VM's address for other VMs.
func readPeer(ctx context.Context, address, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "cannot request the status of a VM: give IP:port")
	}
	resp, err := newStoreClient().Do(req)
	if err != nil {
		return errors.Wrap(err, "request the status of a VM")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s responded with %s: give the address for other VMs", address, resp.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxFrameBytes)).Decode(into), "read the status of a VM")
}
