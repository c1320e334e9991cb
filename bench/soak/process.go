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

// process is a program that the soak has started, with its successors.
type process struct {
	name string
	// start makes the command of the next process.
	start func() *exec.Cmd
	// line is told each line of standard output, with the number of the process.
	line func(life int, line []byte)
	log  io.Writer // standard error

	mu    sync.Mutex
	cmd   *exec.Cmd
	life  int
	ended chan struct{}
	// spans holds when the process was not running, was stopping, or was paused.
	down, stopping, paused []span
}

// span is a time on monotonic, without an end while To is 0.
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

// startTime is how long a process may take until it listens.
const startTime = 500 * time.Millisecond

// run starts the next process.
func (p *process) run() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.start()
	cmd.Stderr = p.log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "connect the standard output of a process")
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	p.life++
	p.cmd, p.ended = cmd, make(chan struct{})
	closeSpan(p.down)
	if n := len(p.down); n > 0 {
		p.down[n-1].To += startTime
	}
	go p.read(out, p.life, cmd, p.ended)
	return nil
}

func (p *process) read(out io.Reader, life int, cmd *exec.Cmd, ended chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.line(life, lines.Bytes())
	}
	// The state of a process that was killed is an error as well.
	_ = cmd.Wait()
	p.mu.Lock()
	closeSpan(p.stopping)
	closeSpan(p.paused)
	p.down = append(p.down, span{From: monotonic()})
	p.mu.Unlock()
	close(ended)
}

// signal sends a signal to the present process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return
	default:
	}
	switch s {
	case syscall.SIGTERM:
		if n := len(p.stopping); n == 0 || p.stopping[n-1].To != 0 {
			p.stopping = append(p.stopping, span{From: monotonic()})
		}
	case syscall.SIGSTOP:
		p.paused = append(p.paused, span{From: monotonic()})
	case syscall.SIGCONT:
		defer closeSpan(p.paused)
	case syscall.SIGKILL:
		// Calls that are under way may fail from now on.
		p.down = append(p.down, span{From: monotonic()})
		defer closeSpan(p.down)
	}
	// A process that has just ended needs no signal.
	_ = p.cmd.Process.Signal(s)
}

// wait waits until the present process has ended.
func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

// runs reports whether the present process has not ended.
func (p *process) runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// killAll ends what is left of the processes at the end of a run.
func killAll(all []*process) {
	for _, p := range all {
		if p.runs() {
			p.signal(syscall.SIGKILL)
			p.wait()
		}
	}
}

// logFile creates a file for the log of a process.
func logFile(path string) (*os.File, error) {
	f, err := os.Create(path)
	return f, errors.Wrap(err, "create a log file")
}
