// Package vmlist is a fake of the platform's list of live and leaving VMs. Changes become
// visible after a lag.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"dandelionhill.dev/platform"
)

// List implements platform.VMList in memory.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	changes []change
}

type change struct {
	at time.Time
	vm platform.VM
}

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Set records a VM's state.
func (l *List) Set(id string, state platform.VMState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change{time.Now(), platform.VM{ID: id, State: state}})
}

// SetDown starts or ends an outage.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// List implements platform.VMList.
func (l *List) List(context.Context) ([]platform.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, platform.ErrUnavailable
	}
	states := map[string]platform.VMState{}
	for _, c := range l.changes {
		if time.Since(c.at) >= l.lag {
			states[c.vm.ID] = c.vm.State
		}
	}
	vms := make([]platform.VM, 0, len(states))
	for id, state := range states {
		vms = append(vms, platform.VM{ID: id, State: state})
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms, nil
}

// Handler serves the list over HTTP. PUT /v1/vms changes one entry.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := l.List(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(vms)
	})
	mux.HandleFunc("PUT /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		var vm platform.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(vm.ID, vm.State)
	})
	return mux
}
