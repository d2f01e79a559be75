package crowd

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The VM of the tests is the smallest that is in service.
const (
	vmMemory      = 114 << 20 // bytes
	vmDescriptors = 4100
	// fileDescriptors is the number of the VM's descriptors that sockets and pipes must
	// leave to files.
	fileDescriptors = 200
)

// sampleInterval is the interval between two samples of a process's memory. The
// resident set's peak is the kernel's and needs no samples.
const sampleInterval = 20 * time.Millisecond

// process is a daemon with a VM's limit of descriptors.
type process struct {
	t       *testing.T
	ip      string // of all its ports
	logPath string
	cmd     *exec.Cmd
	exited  chan struct{}

	mu          sync.Mutex
	resident    int64 // highest resident set, in bytes
	unread      int64 // highest number of bytes received and not yet read
	total       int64 // highest sum of the two at a time
	descriptors int
}

// startProcess starts a daemon whose ports all have the address ip.
func startProcess(t *testing.T, name, ip, settings string) *process {
	t.Helper()
	dir := t.TempDir()
	if keep := os.Getenv("CROWD_DIR"); keep != "" {
		dir = filepath.Join(keep, strings.ReplaceAll(t.Name(), "/", "_"))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, ip: ip, logPath: filepath.Join(dir, name+".log"), exited: make(chan struct{})}
	out, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	limited := fmt.Sprintf("ulimit -n %d; exec %s --settings %s", vmDescriptors, daemonProgram(t), path)
	p.cmd = exec.Command("sh", "-c", limited)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	stop := make(chan struct{})
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		p.sampleUntil(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-sampled
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

func (p *process) sampleUntil(stop <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-p.exited:
			return
		case <-tick.C:
			p.sample()
		}
	}
}

func (p *process) sample() {
	resident, peak := p.residentBytes()
	unread := unreadBytes(p.ip)
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)) // fails once it has exited
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resident = max(p.resident, peak)
	p.unread = max(p.unread, unread)
	p.total = max(p.total, resident+unread, peak)
	p.descriptors = max(p.descriptors, len(files))
}

// residentBytes returns the resident set and its peak, 0 once the process has exited.
func (p *process) residentBytes() (now, peak int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	field := func(name string) int64 {
		_, rest, _ := strings.Cut(string(data), "\n"+name+":")
		kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
		n, _ := strconv.ParseInt(kb, 10, 64) // missing in a zombie
		return n << 10
	}
	return field("VmRSS"), field("VmHWM")
}

// unreadBytes returns the number of bytes that wait in the TCP sockets of an address.
func unreadBytes(ip string) int64 {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	b := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X", b[3], b[2], b[1], b[0])
	const listening = "0A" // whose queue counts connections
	sum := int64(0)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64) // the kernel's format
		sum += n
	}
	return sum
}

// check reports whether the process has ended, and what doesn't fit into the VM.
func (p *process) check() {
	p.t.Helper()
	if !p.alive() {
		p.t.Errorf("%s: the process has ended: %v", filepath.Base(p.logPath), p.cmd.ProcessState)
	}
	p.sample()
	p.checkUsage()
}

// checkUsage reports what didn't fit into the VM.
func (p *process) checkUsage() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	const mb = 1 << 20
	p.t.Logf("%s: %d MB resident, %d MB unread, %d MB together, %d descriptors", filepath.Base(p.logPath), p.resident/mb, p.unread/mb, p.total/mb, p.descriptors)
	if p.total > vmMemory {
		p.t.Errorf("%s: %d MB of memory, the VM has %d MB", filepath.Base(p.logPath), p.total/mb, vmMemory/mb)
	}
	if p.descriptors > vmDescriptors-fileDescriptors {
		p.t.Errorf("%s: %d descriptors, the VM has %d for sockets", filepath.Base(p.logPath), p.descriptors, vmDescriptors-fileDescriptors)
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// eventually polls until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const limit, poll = 30 * time.Second, 20 * time.Millisecond
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for end := time.After(limit); !ok(); {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
