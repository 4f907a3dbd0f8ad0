// Package bench runs croftmoor and the simulated services as processes on this
// machine, for tests, demos and experiments. It signals only processes that it
// started.
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
	// Broken means that a process did not start or gave an unexpected answer.
	Broken Kind = "Broken"
	// TimedOut means that a condition did not become true within the timeout.
	TimedOut Kind = "TimedOut"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Proc is a process that this package started.
type Proc struct {
	Name string
	// Listening is the address that a simulated service announced.
	Listening string
	// Callers, Peers and Admin are the addresses that an instance announced.
	Callers  string
	Peers    string
	Admin    string
	Instance string

	command *exec.Cmd
	group   conc.WaitGroup
	// mu guards ended and exit.
	mu    sync.Mutex
	ended bool
	exit  int
	done  chan struct{}
}

// announcement is the first line on the standard output of an instance or a
// simulated service.
type announcement struct {
	Listening string
	Instance  string
	Callers   string
	Peers     string
	Admin     string
}

const (
	startTimeout = 20 * clock.Second
	fileMode     = 0o600
	dirMode      = 0o755
)

// start starts a program and waits for its announcement. Its standard error is
// appended to NAME.log in dir.
func start(c *clock.Clock, dir, name, program string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fault.Wrap("bench.start", Broken, err, name)
	}
	command := exec.CommandContext(context.Background(), program, args...)
	command.Stderr = log
	return startCommand(c, dir, name, command, log, nil)
}

// StartLogged starts a program whose standard output is its log and whose first log
// line is the announcement. Its output is appended to NAME.log in dir. Env is added
// to the environment of this process.
func StartLogged(c *clock.Clock, dir, name string, env []string, program string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fault.Wrap("bench.Logged", Broken, err, name)
	}
	command := exec.CommandContext(context.Background(), program, args...)
	command.Stderr = log
	command.Env = append(os.Environ(), env...)
	return startCommand(c, dir, name, command, log, log)
}

// startCommand starts a command and waits for its announcement. The lines of its
// standard output are copied to output unless that is nil. log is closed at the end
// of the process.
func startCommand(c *clock.Clock, dir, name string, command *exec.Cmd, log *os.File, output io.Writer) (*Proc, error) {
	// The kernel kills the process if this one dies.
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
			if output != nil {
				_, _ = output.Write(append(scanner.Bytes(), '\n'))
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
		return p, p.parseAnnouncement(line)
	case <-p.done:
		return nil, fault.New("bench.start", Broken, name+" ended before it announced its address; see "+name+".log in "+dir)
	case <-c.After(startTimeout):
		p.Kill()
		return nil, fault.New("bench.start", TimedOut, name+" did not announce its address")
	}
}

// parseAnnouncement sets the addresses from an announcement.
func (p *Proc) parseAnnouncement(line []byte) error {
	var a announcement
	if err := json.Unmarshal(line, &a); err != nil {
		return fault.Wrap("bench.start", Broken, err, p.Name+" wrote an invalid announcement: "+string(line))
	}
	p.Listening, p.Instance, p.Callers, p.Peers, p.Admin = a.Listening, a.Instance, a.Callers, a.Peers, a.Admin
	return nil
}

// Signal sends a signal to the process if it is running.
func (p *Proc) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		_ = p.command.Process.Signal(s)
	}
}

// Kill sends SIGKILL and waits for the end of the process.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate sends SIGTERM, which starts a graceful shutdown.
func (p *Proc) Terminate() {
	p.Signal(syscall.SIGTERM)
}

// Freeze suspends the process until Thaw.
func (p *Proc) Freeze() {
	p.Signal(syscall.SIGSTOP)
}

// Thaw resumes a suspended process.
func (p *Proc) Thaw() {
	p.Signal(syscall.SIGCONT)
}

// Wait waits for the end of the process and returns its exit code.
func (p *Proc) Wait(c *clock.Clock, timeout clock.Millis) (int, error) {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exit, nil
	case <-c.After(timeout):
		return 0, fault.New("bench.Wait", TimedOut, p.Name+" has not ended")
	}
}

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// PID returns the process id.
func (p *Proc) PID() int {
	return p.command.Process.Pid
}
