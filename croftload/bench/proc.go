// Package bench runs a deployment of croftmoor and its stand-ins as processes
// of this machine, for tests, demos and experiments. It is the only part of
// the project that starts processes; it ends just those that it started.
package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/sourcegraph/conc"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Broken means that a process did not start or did not answer.
	Broken Kind = "Broken"
	// TimedOut means that a wait ended before its condition held.
	TimedOut Kind = "TimedOut"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Proc is one process.
type Proc struct {
	Name string
	// Listening is the address that a stand-in announced.
	Listening string
	// Callers, Peers and Admin are the addresses that an instance announced.
	Callers  string
	Peers    string
	Admin    string
	Instance string

	command *exec.Cmd
	group   conc.WaitGroup
	mu      sync.Mutex
	ended   bool
	exit    int
	done    chan struct{}
}

// announcement covers the lines of stand-ins and of instances.
type announcement struct {
	Listening string
	Instance  string
	Callers   string
	Peers     string
	Admin     string
}

const (
	startTerm = 20 * clock.Second
	logMode   = 0o600
	dirMode   = 0o755
)

// start runs a program and waits for its announcement. Its standard error
// goes to NAME.log in dir.
func start(c *clock.Clock, dir, name, program string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, fault.Wrap("bench.start", Broken, err, name)
	}
	command := exec.CommandContext(context.Background(), program, args...)
	command.Stderr = log
	return launch(c, dir, name, command, log, nil)
}

// StartLogged runs a program whose standard output is its log, from the first line
// on, and waits for that line. Env is added to this process's environment.
func StartLogged(c *clock.Clock, dir, name string, env []string, program string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, fault.Wrap("bench.Logged", Broken, err, name)
	}
	command := exec.CommandContext(context.Background(), program, args...)
	command.Stderr = log
	command.Env = append(os.Environ(), env...)
	return launch(c, dir, name, command, log, log)
}

// launch starts a command; keep gets the lines of its standard output, if set.
func launch(c *clock.Clock, dir, name string, command *exec.Cmd, log *os.File, keep io.Writer) (*Proc, error) {
	// A killed bench must not leave processes behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, fault.Wrap("bench.start", Broken, err, name)
	}
	if err := command.Start(); err != nil {
		return nil, fault.Wrap("bench.start", Broken, err, name)
	}
	p := &Proc{Name: name, command: command, done: make(chan struct{})}
	lines := make(chan []byte, 1)
	p.group.Go(func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			if keep != nil {
				_, _ = keep.Write(append(scanner.Bytes(), '\n'))
			}
			select {
			case lines <- append([]byte(nil), scanner.Bytes()...):
			default:
			}
		}
		_ = command.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.ended, p.exit = true, command.ProcessState.ExitCode()
		p.mu.Unlock()
		close(p.done)
	})
	select {
	case line := <-lines:
		return p, p.read(line)
	case <-p.done:
		return nil, fault.New("bench.start", Broken, name+" ended at once; see "+name+".log in "+dir)
	case <-c.After(startTerm):
		p.Kill()
		return nil, fault.New("bench.start", TimedOut, name+" did not announce its address")
	}
}

func (p *Proc) read(line []byte) error {
	var a announcement
	if err := json.Unmarshal(line, &a); err != nil {
		return fault.Wrap("bench.start", Broken, err, p.Name+" announced something else: "+string(line))
	}
	p.Listening, p.Instance, p.Callers, p.Peers, p.Admin = a.Listening, a.Instance, a.Callers, a.Peers, a.Admin
	return nil
}

// Signal sends a signal to the process, if it still runs.
func (p *Proc) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		_ = p.command.Process.Signal(s)
	}
}

// Kill ends the process at once.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process for a planned stop.
func (p *Proc) Terminate() {
	p.Signal(syscall.SIGTERM)
}

// Freeze stops the process from running; Thaw lets it go on.
func (p *Proc) Freeze() {
	p.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Proc) Thaw() {
	p.Signal(syscall.SIGCONT)
}

// Wait waits for the end of the process and returns its exit code.
func (p *Proc) Wait(c *clock.Clock, most clock.Millis) (int, error) {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exit, nil
	case <-c.After(most):
		return 0, fault.New("bench.Wait", TimedOut, p.Name+" has not ended")
	}
}

// Ended tells whether the process has ended.
func (p *Proc) Ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// PID returns the process id.
func (p *Proc) PID() int {
	return p.command.Process.Pid
}
