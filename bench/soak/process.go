package soak

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is a child process that is started again after it has exited.
type process struct {
	name string
	// newCommand returns the command of the next incarnation.
	newCommand func() *exec.Cmd
	// handleLine is called with each line of standard output and its incarnation.
	handleLine func(incarnation int, line []byte)
	stderr     io.Writer

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	exited      chan struct{}
	// When the process was not running, was stopping, or was paused.
	down, stopping, paused []span
}

// span is an interval of the monotonic clock, open while To is 0.
type span struct{ From, To time.Duration }

func overlaps(spans []span, from, to time.Duration) bool {
	for _, s := range spans {
		if s.From < to && (s.To == 0 || s.To > from) {
			return true
		}
	}
	return false
}

func closeSpan(spans []span) {
	if n := len(spans); n > 0 && spans[n-1].To == 0 {
		spans[n-1].To = monotonic()
	}
}

// maxStartTime bounds the time from the start of a process until it listens.
const maxStartTime = 500 * time.Millisecond

// run starts the next incarnation.
func (p *process) run() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.newCommand()
	cmd.Stderr = p.stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "connect the standard output of a process")
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	p.incarnation++
	p.cmd, p.exited = cmd, make(chan struct{})
	closeSpan(p.down)
	if n := len(p.down); n > 0 {
		p.down[n-1].To += maxStartTime
	}
	go p.readOutput(out, p.incarnation, cmd, p.exited)
	return nil
}

func (p *process) readOutput(out io.Reader, incarnation int, cmd *exec.Cmd, exited chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.handleLine(incarnation, lines.Bytes())
	}
	// Wait returns an error for a killed process too.
	_ = cmd.Wait()
	p.mu.Lock()
	closeSpan(p.stopping)
	closeSpan(p.paused)
	p.down = append(p.down, span{From: monotonic()})
	p.mu.Unlock()
	close(exited)
}

// signal sends a signal to the current process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return
	default:
	}
	switch s {
	case syscall.SIGTERM:
		if n := len(p.stopping); n == 0 || p.stopping[n-1].To != 0 {
			p.stopping = append(p.stopping, span{From: monotonic()})
		}
	case syscall.SIGSTOP:
		if n := len(p.paused); n == 0 || p.paused[n-1].To != 0 {
			p.paused = append(p.paused, span{From: monotonic()})
		}
	case syscall.SIGCONT:
		// What the process sends afterwards must not be older than the end of the pause.
		closeSpan(p.paused)
	case syscall.SIGKILL:
		// Requests in flight may fail from now on.
		p.down = append(p.down, span{From: monotonic()})
		defer closeSpan(p.down)
	}
	// An error means that the process has just exited.
	_ = p.cmd.Process.Signal(s)
}

// wait waits until the current process has exited.
func (p *process) wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// running reports whether a process was started and has not exited.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// killAll kills the processes that are still running and waits for their exit.
func killAll(processes []*process) {
	for _, p := range processes {
		if p.running() {
			p.signal(syscall.SIGKILL)
			p.wait()
		}
	}
}

// createLog creates the log file of a process.
func createLog(path string) (*os.File, error) {
	f, err := os.Create(path)
	return f, errors.Wrap(err, "create a log file")
}
