package processtest

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Process is one zinniamast process.
type Process struct {
	tb      testing.TB
	name    string
	command *exec.Cmd
	logs    *logs
	exited  chan struct{}
	err     error
}

// Start runs the binary with the arguments. When the test ends, the process is
// killed by its own ID, and its log is shown if the test failed.
func Start(tb testing.TB, name string, args ...string) *Process {
	tb.Helper()
	return startWithEnvironment(tb, name, nil, args...)
}

// startWithEnvironment is Start with additional environment variables, as NAME=VALUE.
func startWithEnvironment(tb testing.TB, name string, environment []string, args ...string) *Process {
	tb.Helper()
	p := &Process{
		tb:     tb,
		name:   name,
		logs:   &logs{},
		exited: make(chan struct{}),
	}
	p.command = exec.Command(Binary(tb), args...)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = p.logs
	p.command.Stderr = p.logs
	if err := p.command.Start(); err != nil {
		tb.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.exited)
	}()
	tb.Cleanup(p.cleanup)
	return p
}

// cleanup kills the process, even if it is paused.
func (p *Process) cleanup() {
	p.Kill()
	if p.tb.Failed() {
		p.tb.Logf("log of %s:\n%s", p.name, p.logs.tail())
	}
}

// signal sends a signal to this process only.
func (p *Process) signal(signal os.Signal) {
	if p.Exited() {
		return
	}
	// The process may have just exited, which is not an error.
	_ = p.command.Process.Signal(signal)
}

// Kill kills the process (SIGKILL) and waits until it has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Pause suspends the process (SIGSTOP).
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process (SIGCONT).
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful stop (SIGTERM).
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup requests a reload of the settings (SIGHUP).
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits for the process to exit and returns its error. It fails the test if that
// takes longer than timeout.
func (p *Process) Wait(timeout time.Duration) error {
	p.tb.Helper()
	select {
	case <-p.exited:
		return p.err
	case <-time.After(timeout):
		p.tb.Fatalf("%s did not exit within %v", p.name, timeout)
		return nil
	}
}

// Logs returns the process's output so far.
func (p *Process) Logs() string { return p.logs.text() }

// maxTail is the length of the end of a log that a failed test shows, in bytes.
const maxTail = 8 << 10

// logs collects a process's output.
type logs struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *logs) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

func (l *logs) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

func (l *logs) tail() string {
	text := l.text()
	return text[max(0, len(text)-maxTail):]
}
