// Command harness plays the scripted cases of review/. Clients, servers and the
// platform's store are stand-ins within this process; the daemons are separate
// processes, started with the command of deploy/system.toml.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// settingsText is deploy/settings.yaml.tmpl, filled in.
const settingsText = `vm: "%[1]s"
zone: "%[2]s"
link_mbps: 1000.0
processor:
  share: 0.4
  speed: 1
bootstrap: true
listen:
  callers: "%[3]s"
  ready: "%[4]s"
  addresses: "%[5]s"
  peers: "%[6]s"
  operators: "%[7]s"
store:
  addr: "%[8]s"
bounds:
  grace: 8s
  lease: 3000ms
  address_ttl: 5s
  retry_ratio: 0.2
  retry_slack: 52
  retry_window: 10s
  apply_config: 2000ms
  drain: 2000ms
log:
  level: info
  format: json
scheduling:
  fair_shares: true
  engine_speeds: true
`

// zone is the zone of all daemons and servers.
const zone = "suva-a"

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir     string
	record  *recorder
	store   *standin.Store
	addr    string // of the store
	daemons []*daemon
	servers []*server
	engines []*http.Server
	targets []*standin.Target // of engines
	raw     []*rawServer

	ctx    context.Context // ends with the case
	cancel context.CancelFunc
	stop   chan struct{}
	wg     sync.WaitGroup
}

// daemon is one process of the system.
type daemon struct {
	name                          string
	callers, ready, resolve, oper string
	settings, log                 string
	maxFiles                      uint64
	mu                            sync.Mutex
	cmd                           *exec.Cmd
	exited                        chan struct{}
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	w     io.Writer
	begin time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

func newFleet(dir string, record *recorder) (*fleet, error) {
	f := &fleet{dir: dir, record: record, store: standin.NewStore(), stop: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		return nil, err
	}
	f.addr = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }()
	return f, nil
}

// freePort returns a port that is free for TCP and UDP at an address.
func freePort(ip string) (string, error) {
	for range 20 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		u, err := net.ListenPacket("udp4", addr)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port at %s", ip)
}

// addDaemon writes the settings of a daemon. It isn't started yet.
func (f *fleet) addDaemon(maxFiles uint64) (*daemon, error) {
	n := len(f.daemons) + 1
	ip := fmt.Sprintf("127.0.1.%d", n)
	var ports []string
	for range 5 {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports = append(ports, p)
	}
	d := &daemon{
		name: fmt.Sprintf("front-%s-%d", zone, n), callers: ports[0], ready: ports[1], resolve: ports[2], oper: ports[4],
		settings: filepath.Join(f.dir, fmt.Sprintf("local-%d.yaml", n)), log: filepath.Join(f.dir, fmt.Sprintf("daemon-%d.log", n)),
		maxFiles: maxFiles,
	}
	text := fmt.Sprintf(settingsText, d.name, zone, ports[0], ports[1], ports[2], ports[3], ports[4], f.addr)
	f.daemons = append(f.daemons, d)
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the daemon's process with its limit of descriptors.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/pomelospoold", "--settings", d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	if d.maxFiles > 0 {
		limit := unix.Rlimit{Cur: d.maxFiles, Max: d.maxFiles}
		if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			_ = cmd.Process.Kill()
			return err
		}
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// dropBootstrap changes the settings to those of a later start of the daemon.
func (d *daemon) dropBootstrap() error {
	text, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, bytes.Replace(text, []byte("bootstrap: true\n"), nil, 1), 0o600)
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// running reports whether the process hasn't ended.
func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// files returns the number of descriptors that the process has open.
func (d *daemon) files() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// resident returns the memory that the process has in use.
func (d *daemon) resident() string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return "unknown"
	}
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strings.TrimSpace(v)
		}
	}
	return "unknown"
}

// isReady asks the daemon's ready address over a new connection.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + "/pomelospool/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the daemons are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		all := true
		for _, d := range f.daemons {
			all = all && d.isReady()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the daemons aren't ready after %v", limit)
}

// put writes a record of the platform to the store.
func (f *fleet) put(topic, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // maps of strings and numbers can always be encoded
	}
	f.store.Set(topic, key, data)
}

// close ends all that the fleet has started.
func (f *fleet) close() {
	close(f.stop)
	f.cancel()
	for _, d := range f.daemons {
		if d.exited == nil {
			continue
		}
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
	for _, s := range f.servers {
		_ = s.http.Close()
	}
	for _, e := range f.engines {
		_ = e.Close()
	}
	f.wg.Wait()
}
