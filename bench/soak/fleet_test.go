package soak

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is one daemon, over the lives of its processes.
type process struct {
	index   int
	program string
	file    string // its settings
	out     string // its log
	wrote   int64  // size of the log when cmd was started
	judge   *Judge

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{} // closed when cmd has ended
	asked  bool          // cmd was told to end
	killed time.Time     // when it was killed, zero: it wasn't
}

// start runs the daemon unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	info, err := out.Stat()
	if err != nil {
		return err
	}
	p.wrote = info.Size()
	cmd := exec.Command(p.program, "--settings", p.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.asked, p.killed, p.ended = cmd, false, time.Time{}, make(chan struct{})
	go p.await(cmd, p.ended)
	return nil
}

// await notes the end of a process. One that nobody asked for, or a planned one
// with an error, is a fault.
func (p *process) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.killed.IsZero():
		p.judge.Killed(p.index, p.killed, time.Now())
	case !p.asked:
		p.judge.Fault("daemon %d ended by itself: %v", p.index, err)
	case err != nil && !p.endedBeforeItBegan(cmd):
		p.judge.Fault("daemon %d: planned stop ended with %v", p.index, err)
	}
	p.cmd = nil
	close(ended)
}

// endedBeforeItBegan reports whether a process that was asked to stop ended by
// the signal before it could handle one. It handles signals before it opens a
// port, and says that it starts right after: without a line it had no port
// open, and no caller could have seen it. Traced: the signal came 3.6 to 5.2 ms
// after the start of the process, which takes Go's own start as long.
func (p *process) endedBeforeItBegan(cmd *exec.Cmd) bool {
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || status.Signal() != syscall.SIGTERM {
		return false
	}
	info, err := os.Stat(p.out)
	return err == nil && info.Size() == p.wrote
}

// signal sends a signal to the process, if there is one.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		p.killed = time.Now()
	case syscall.SIGTERM:
		p.asked = true
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.judge.Fault("daemon %d: %v", p.index, err)
	}
}

// over waits until the process has ended.
func (p *process) over() {
	p.mu.Lock()
	ended, runs := p.ended, p.cmd != nil
	p.mu.Unlock()
	if runs {
		<-ended
	}
}

// build makes the daemon's program, with files replaced as overlay says.
func build(t *testing.T, dir string, overlay string) string {
	t.Helper()
	program := filepath.Join(dir, "pomelospoold")
	args := []string{"build", "-o", program}
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	cmd := exec.Command("go", append(args, "github.com/pomelospool/pomelospool/cmd/pomelospoold")...)
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, text)
	}
	return program
}

const settingsForm = `vm: "vm-%[1]d"
zone: "%[2]s"
listen: {callers: "%[3]s:17000", ready: "%[3]s:17001", addresses: "%[3]s:17002", peers: "%[3]s:17003", operators: "%[3]s:17004"}
store: {addr: "%[4]s"}
duties: {addr: "%[5]s", usage_window: 1s, usage_late: 3s}
bounds: {grace: 8s, lease: 1s, address_ttl: 1s, retry_ratio: 0.2, retry_slack: 50, retry_window: 10s, apply_config: 2s, drain: 2s}
log: {level: info, format: json}
`

// settings writes the settings of a daemon.
func settings(dir string, index int, ip, store, cloud string) (string, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, settingsForm, index, []string{"a", "b"}[index%2], ip, store, cloud)
	path := filepath.Join(dir, fmt.Sprintf("daemon-%d.yaml", index))
	return path, os.WriteFile(path, b.Bytes(), 0o644)
}

// stopLimit is how long a planned stop may take; its grace time is 8 s.
const stopLimit = 30 * time.Second
