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

// VM is one entry VM, in this process or as a process of its own.
type VM struct {
	Settings *settings.Settings

	cluster *Cluster
	daemon  *daemon.Daemon
	process *exec.Cmd
	logFile *os.File
	exited  chan error
	mu      sync.Mutex  // orders the changes of serving
	serving atomic.Bool // the platform's balancer sends callers here
	unwatch context.CancelFunc
}

// readyPoll is the interval at which the balancer asks a new VM whether it is ready.
const readyPoll = 50 * time.Millisecond

// watchReady lets the balancer send callers to the VM once it is ready.
func (vm *VM) watchReady(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyPoll):
		}
		if vm.Ready(ctx) == nil {
			vm.serveUnless(ctx)
			return
		}
	}
}

// serveUnless lets the balancer use the VM, unless ctx has ended.
func (vm *VM) serveUnless(ctx context.Context) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if ctx.Err() == nil {
		vm.serving.Store(true)
	}
}

// unserve keeps the balancer from using the VM until the next Start.
func (vm *VM) unserve() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.unwatch != nil {
		vm.unwatch()
	}
	vm.serving.Store(false)
}

// URL returns the address of a path of a service at this VM.
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
	vm.unwatch = cancel
	go vm.watchReady(ctx)
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

// Kill ends the VM at once, as a crash would.
func (vm *VM) Kill() {
	vm.unserve()
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

// InRotation reports whether the platform's balancer sends callers to the VM. It
// may be called at any time.
func (vm *VM) InRotation() bool { return vm.serving.Load() }

// Running reports whether the VM has been started and not killed or stopped.
func (vm *VM) Running() bool { return vm.process != nil || vm.daemon != nil }

// PID returns the number of the VM's process, or 0 if it has none of its own.
func (vm *VM) PID() int {
	if vm.process == nil {
		return 0
	}
	return vm.process.Process.Pid
}

// Pause stops the VM's process until Resume. It has no effect on a VM in this process.
func (vm *VM) Pause() { vm.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (vm *VM) Resume() { vm.signal(syscall.SIGCONT) }

func (vm *VM) signal(sig os.Signal) {
	if vm.process != nil {
		vm.process.Process.Signal(sig)
	}
}

// stopLimit bounds a graceful stop beyond the VM's own bound.
const stopLimit = 15 * time.Second

// balancerLag is the time in which the platform's balancer finds out that a VM
// is not ready any longer. It is half of the time for which a stopping VM goes
// on accepting callers.
const balancerLag = time.Second

// Stop stops the VM gracefully and waits for it.
func (vm *VM) Stop(ctx context.Context) error {
	defer time.AfterFunc(balancerLag, vm.unserve).Stop()
	defer vm.unserve()
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
	case <-time.After(stopLimit):
		vm.Kill()
		return errors.Errorf("VM %s did not stop within %v", vm.Settings.VM, stopLimit)
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

// Operation asks how far an operation has come.
func (vm *VM) Operation(ctx context.Context, id string) (admin.OperationStatus, error) {
	var status admin.OperationStatus
	err := vm.call(ctx, http.MethodGet, admin.PathOperations+id, nil, &status)
	return status, err
}

// Status asks for the deployment as the VM sees it.
func (vm *VM) Status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	err := vm.call(ctx, http.MethodGet, admin.PathStatus, nil, &status)
	return status, err
}

// Ready asks whether the VM takes new work.
func (vm *VM) Ready(ctx context.Context) error {
	return vm.call(ctx, http.MethodGet, admin.PathReady, nil, nil)
}

// Config asks for the document in force.
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
		return errors.Wrap(err, "read answer")
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
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}

// Explain asks where a request with a key goes.
func (vm *VM) Explain(ctx context.Context, service api.ServiceName, key string) (admin.Explanation, error) {
	var x admin.Explanation
	query := url.Values{admin.QueryService: {string(service)}, admin.QueryKey: {key}}
	err := vm.call(ctx, http.MethodGet, admin.PathExplain+"?"+query.Encode(), nil, &x)
	return x, err
}
