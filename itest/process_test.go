package itest

import (
	"bufio"
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds every wait for an expected event. It is no performance bound: it is long enough
// that a wait which reaches it means that the event did not happen.
const waitTimeout = 30 * time.Second

// binDir is the directory of the programs, which are built once for the whole package.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// statSources calls os.Stat for every source file of the module. The go command caches test results
// and does not see which files the child process that builds the programs reads. It does record the
// files that a test stats and runs the test again if one of them has changed.
var statSources = sync.OnceValue(func() error {
	return filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		if name := d.Name(); strings.HasSuffix(name, ".go") || name == "go.mod" || strings.HasSuffix(name, ".yaml") {
			_, err = os.Stat(path)
		}
		return err
	})
})

// buildAndRun builds the programs into a temporary directory, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "azurelead-itest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// process is a running program.
type process struct {
	name          string
	cmd           *exec.Cmd
	addr          string // address printed after "listening"
	operatorsAddr string // address printed after "operators"
	stderr        bytes.Buffer
	done          chan struct{}
	err           error
}

// startProcess starts a program and waits until it listens.
func startProcess(name, program string, args ...string) (*process, error) {
	if err := statSources(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(filepath.Join(binDir, program), args...), done: make(chan struct{})}
	p.cmd.Stderr = &p.stderr
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	listening := make(chan struct{})
	go p.readOutput(bufio.NewScanner(stdout), listening)
	select {
	case <-listening:
		return p, nil
	case <-p.done:
		return nil, fmt.Errorf("%s exited before it listened: %v\n%s", name, p.err, p.stderr.String())
	case <-time.After(waitTimeout):
		p.kill()
		return nil, fmt.Errorf("%s did not listen before the wait timed out", name)
	}
}

// readOutput reads the addresses from the program's standard output and, at its end, the exit status.
// It closes listening once the program listens.
func (p *process) readOutput(lines *bufio.Scanner, listening chan<- struct{}) {
	for lines.Scan() {
		key, value, _ := strings.Cut(lines.Text(), " ")
		switch key {
		case "operators":
			p.operatorsAddr = value
		case "listening":
			p.addr = value
			close(listening)
		}
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill sends SIGKILL, which also ends a paused program, and waits for the exit.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// wait waits until the program has exited and returns its exit error.
func (p *process) wait() error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s did not exit before the wait timed out", p.name)
	}
}
