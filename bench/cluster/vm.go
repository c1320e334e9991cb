package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/admin"
	"dandelionhill.dev/core/config"
	"dandelionhill.dev/server/daemon"
	"dandelionhill.dev/server/logs"
	"dandelionhill.dev/server/settings"
)

// VM is one entry VM, in this process or as a child process.
type VM struct {
	Settings *settings.Settings

	cluster       *Cluster
	daemon        *daemon.Daemon
	process       *exec.Cmd
	logFile       *os.File
	exited        chan error
	mu            sync.Mutex  // serializes changes of inRotation
	inRotation    atomic.Bool // the platform's load balancer sends callers here
	stopReadyPoll context.CancelFunc
}

// readyPollInterval is the interval of the load balancer's readiness checks of a new VM.
const readyPollInterval = 50 * time.Millisecond

// pollReady adds the VM to the load balancer's rotation once it is ready.
func (vm *VM) pollReady(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyPollInterval):
		}
		if vm.Ready(ctx) == nil {
			vm.addToRotation(ctx)
			return
		}
	}
}

// addToRotation adds the VM to the rotation unless ctx is done.
func (vm *VM) addToRotation(ctx context.Context) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if ctx.Err() == nil {
		vm.inRotation.Store(true)
	}
}

// removeFromRotation removes the VM from the rotation until the next Start.
func (vm *VM) removeFromRotation() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.stopReadyPoll != nil {
		vm.stopReadyPoll()
	}
	vm.inRotation.Store(false)
}

// URL returns the URL of a path of a service at this VM.
func (vm *VM) URL(service api.ServiceName, path string) string {
	return "http://" + vm.Settings.Listen.Callers + "/" + string(service) + path
}

// Start starts the VM, as a new incarnation if it ran before.
func (vm *VM) Start() error {
	log, err := vm.openLog()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm.stopReadyPoll = cancel
	go vm.pollReady(ctx)
	if vm.cluster.options.Binary != "" {
		return vm.startProcess()
	}
	d, err := daemon.New(vm.Settings, log)
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	vm.daemon = d
	return nil
}

func (vm *VM) openLog() (zerolog.Logger, error) {
	dir := vm.cluster.options.LogDirectory
	if dir == "" {
		return discard, nil
	}
	file, err := os.OpenFile(filepath.Join(dir, string(vm.Settings.VM)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return discard, errors.Wrap(err, "open log")
	}
	vm.logFile = file
	return logs.New(file, "info", vm.Settings.VM)
}

func (vm *VM) startProcess() error {
	path := filepath.Join(vm.cluster.dir, string(vm.Settings.VM)+".json")
	data, err := json.Marshal(vm.Settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	cmd := exec.Command(vm.cluster.options.Binary, "-settings", path)
	if vm.logFile != nil {
		cmd.Stderr = vm.logFile
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	vm.process = cmd
	vm.exited = make(chan error, 1)
	go func() { vm.exited <- cmd.Wait() }()
	return nil
}

// Kill ends the VM at once, like a crash.
func (vm *VM) Kill() {
	vm.removeFromRotation()
	switch {
	case vm.process != nil:
		vm.process.Process.Kill()
		<-vm.exited
		vm.process = nil
	case vm.daemon != nil:
		vm.daemon.Kill()
		vm.daemon = nil
	}
	if vm.logFile != nil {
		vm.logFile.Close()
		vm.logFile = nil
	}
}

// InRotation reports whether the platform's load balancer sends callers to the VM. It
// is safe for concurrent use.
func (vm *VM) InRotation() bool { return vm.inRotation.Load() }

// Running reports whether the VM has been started and not killed or stopped.
func (vm *VM) Running() bool { return vm.process != nil || vm.daemon != nil }

// PID returns the process ID of the VM, or 0 if it runs in this process.
func (vm *VM) PID() int {
	if vm.process == nil {
		return 0
	}
	return vm.process.Process.Pid
}

// Pause suspends the VM's process until Resume. It has no effect on a VM in this process.
func (vm *VM) Pause() { vm.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (vm *VM) Resume() { vm.signal(syscall.SIGCONT) }

func (vm *VM) signal(sig os.Signal) {
	if vm.process != nil {
		vm.process.Process.Signal(sig)
	}
}

// stopTimeout bounds a graceful stop; it exceeds the VM's own stop timeout.
const stopTimeout = 15 * time.Second

// balancerLag is the time until the platform's load balancer detects that a VM is no
// longer ready: half of the time for which a stopping VM still accepts callers.
const balancerLag = time.Second

// Stop stops the VM gracefully and waits until it has stopped.
func (vm *VM) Stop(ctx context.Context) error {
	defer time.AfterFunc(balancerLag, vm.removeFromRotation).Stop()
	defer vm.removeFromRotation()
	if vm.daemon != nil {
		err := vm.daemon.Stop(ctx)
		vm.daemon = nil
		return err
	}
	if vm.process == nil {
		return nil
	}
	vm.signal(syscall.SIGTERM)
	select {
	case err := <-vm.exited:
		vm.process = nil
		return errors.Wrap(err, "daemon")
	case <-time.After(stopTimeout):
		vm.Kill()
		return errors.Errorf("VM %s did not stop within %v", vm.Settings.VM, stopTimeout)
	}
}

// Daemon returns the VM's daemon if it runs in this process.
func (vm *VM) Daemon() *daemon.Daemon { return vm.daemon }

// Change sends a change to the VM's admin interface.
func (vm *VM) Change(ctx context.Context, change config.Change) (admin.ChangeResult, error) {
	var result admin.ChangeResult
	err := vm.call(ctx, http.MethodPost, admin.PathChanges, change, &result)
	return result, err
}

// Operation returns the status of an operation.
func (vm *VM) Operation(ctx context.Context, id string) (admin.OperationStatus, error) {
	var status admin.OperationStatus
	err := vm.call(ctx, http.MethodGet, admin.PathOperations+id, nil, &status)
	return status, err
}

// Status returns the VM's view of the deployment.
func (vm *VM) Status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	err := vm.call(ctx, http.MethodGet, admin.PathStatus, nil, &status)
	return status, err
}

// Ready returns nil if the VM accepts new requests.
func (vm *VM) Ready(ctx context.Context) error {
	return vm.call(ctx, http.MethodGet, admin.PathReady, nil, nil)
}

// Config returns the configuration in force.
func (vm *VM) Config(ctx context.Context) (*config.Document, error) {
	doc := new(config.Document)
	err := vm.call(ctx, http.MethodGet, admin.PathConfig, nil, doc)
	return doc, err
}

func (vm *VM) call(ctx context.Context, method, path string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return errors.Wrap(err, "encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Settings.Listen.Admin+path, &body)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call admin interface")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		refused := new(admin.Error)
		if json.Unmarshal(data, refused) == nil && refused.Kind != "" {
			return refused
		}
		return errors.Errorf("status %d: %.200s", resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode response")
}

// Explain returns how a request with a key is routed.
func (vm *VM) Explain(ctx context.Context, service api.ServiceName, key string) (admin.Explanation, error) {
	var x admin.Explanation
	query := url.Values{admin.QueryService: {string(service)}, admin.QueryKey: {key}}
	err := vm.call(ctx, http.MethodGet, admin.PathExplain+"?"+query.Encode(), nil, &x)
	return x, err
}
