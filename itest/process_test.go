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

// waitTimeout bounds every wait for something that must happen. It is no
// measure of speed: reaching it means that it did not happen.
const waitTimeout = 30 * time.Second

// binDir holds the programs, built once for the whole package.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// statSources looks at every source file of the module. The programs are built
// by a child process, which the go command's cache of test results does not
// see; a file that was looked at in a test and has changed since makes it run anew.
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

// process is one running program.
type process struct {
	name          string
	cmd           *exec.Cmd
	addr          string // what it printed after "listening"
	operatorsAddr string // what it printed after "operators"
	stderr        bytes.Buffer
	done          chan struct{}
	err           error
}

// startProcess runs a program and returns once it listens.
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
		return nil, fmt.Errorf("%s ended before it listened: %v\n%s", name, p.err, p.stderr.String())
	case <-time.After(waitTimeout):
		p.kill()
		return nil, fmt.Errorf("%s does not listen", name)
	}
}

// readOutput reads the program's output to its end and then its exit status.
func (p *process) readOutput(lines *bufio.Scanner, listening chan<- struct{}) {
	for lines.Scan() {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		switch word {
		case "operators":
			p.operatorsAddr = rest
		case "listening":
			p.addr = rest
			close(listening)
		}
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill ends the program at once, also when it is frozen.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// wait returns the program's exit error once it has ended.
func (p *process) wait() error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s does not end", p.name)
	}
}
