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

// Process is one running zinniamast.
type Process struct {
	tb      testing.TB
	name    string
	command *exec.Cmd
	logs    *logs
	done    chan struct{}
	err     error
}

// Start runs the binary with the arguments. The process is ended by its own
// id when the test ends, and its log is shown if the test failed.
func Start(tb testing.TB, name string, args ...string) *Process {
	tb.Helper()
	return startWith(tb, name, nil, args...)
}

// startWith also sets environment variables, as NAME=VALUE.
func startWith(tb testing.TB, name string, environment []string, args ...string) *Process {
	tb.Helper()
	p := &Process{
		tb:   tb,
		name: name,
		logs: &logs{},
		done: make(chan struct{}),
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
		close(p.done)
	}()
	tb.Cleanup(p.cleanup)
	return p
}

// cleanup ends the process, paused or not.
func (p *Process) cleanup() {
	p.Kill()
	if p.tb.Failed() {
		p.tb.Logf("log of %s:\n%s", p.name, p.logs.tail())
	}
}

// signal sends a signal to this process alone.
func (p *Process) signal(signal os.Signal) {
	if p.Exited() {
		return
	}
	// A process that has just ended by itself is no fault of the test.
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process without notice (SIGKILL) and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process in its tracks (SIGSTOP).
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on (SIGCONT).
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks for a graceful stop (SIGTERM).
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup asks for the settings to be read again (SIGHUP).
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Exited says whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait returns how the process ended; it fails the test if it goes on for longer.
func (p *Process) Wait(longest time.Duration) error {
	p.tb.Helper()
	select {
	case <-p.done:
		return p.err
	case <-time.After(longest):
		p.tb.Fatalf("%s did not end in %v", p.name, longest)
		return nil
	}
}

// Logs returns what the process wrote so far.
func (p *Process) Logs() string { return p.logs.text() }

// maxTail bounds how much of a log a failed test shows, in bytes.
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
