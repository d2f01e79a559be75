package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// The program and the template of the deploy file, relative to the repository's root.
const (
	daemonProgram = "target/pomelospoold"
	template      = "deploy/settings.yaml.tmpl"
)

// world is a small deployment on loopback addresses: the store, servers and daemons.
type world struct {
	dir     string
	network string // first three numbers of the loopback addresses of this run
	begun   time.Time
	store   *standin.Store
	address string // of the store
	cloud   string // address of the cloud API; empty for none

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	closers []func()
	nextIP  int
}

// daemon is one process of the system.
type daemon struct {
	name, ip, callers, ready, addresses string
	settings                            string
	cmd                                 *exec.Cmd
	done                                chan struct{} // closed when the process has ended
	stopped                             bool          // by the case
}

func newWorld(recordFile string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, record: f, begun: time.Now(), store: standin.NewStore(),
		network: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250)),
	}
	w.address, err = w.serve(w.store)
	return w, err
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.begun).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

func (w *world) newIP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextIP++
	return fmt.Sprint(w.network, w.nextIP)
}

// serve serves a handler on an address of its own.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", w.newIP()+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	w.closers = append(w.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// bounds are those of the small deployment in SYSTEM.md.
var bounds = map[string]string{
	"bounds.grace_s": "8", "bounds.lease_ms": "3000", "bounds.ttl_max_s": "5", "bounds.retry_budget_ratio": "0.2",
	"bounds.retry_budget_slack": "52", "bounds.budget_window_s": "10", "bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000",
}

// addDaemon starts a daemon with the command and the template of the deploy file.
func (w *world) addDaemon(zone string) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, len(w.daemons)+1), ip: w.newIP()}
	var ports [4]string
	for i := range ports {
		p, err := freePort(d.ip)
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	d.callers, d.ready, d.addresses = d.ip+":"+ports[0], d.ip+":"+ports[1], d.ip+":"+ports[2]
	values := map[string]string{
		"node_name": d.name, "zone": zone, "ip": d.ip, "port_range.0": ports[3],
		"listen.front": d.callers, "listen.ready": d.ready, "listen.directory": d.addresses,
		"limits.link_mbps": "1000", "limits.cpu_share": "0.4", "limits.cores": "1", "limits.memory_mb": "284",
		"bootstrap": "true", "platform.address": w.address, "cloud_api.address": w.cloud,
	}
	if w.cloud != "" {
		values["bounds.report_window_s"], values["bounds.usage_late_s"] = "5", "10"
	}
	for k, v := range bounds {
		values[k] = v
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	d.settings = filepath.Join(w.dir, d.name+".yaml")
	if err := os.WriteFile(d.settings, []byte(fill(string(text), values)), 0o600); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	return d, w.start(d)
}

func (w *world) start(d *daemon) error {
	out, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	d.cmd = exec.Command(daemonProgram, "--settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.done, d.stopped = make(chan struct{}), false
	if err := d.cmd.Start(); err != nil {
		return err
	}
	w.log("daemon %s starts", d.name)
	cmd, done := d.cmd, d.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// restart starts a daemon again. The system as a whole has started before.
func (w *world) restart(d *daemon) error {
	data, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.settings, []byte(strings.Replace(string(data), "bootstrap: true\n", "", 1)), 0o600); err != nil {
		return err
	}
	return w.start(d)
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + d.ready + standin.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", d.name)
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.stopped = true
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	for _, f := range w.closers {
		f()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// freePort returns a port that is free for TCP and UDP.
func freePort(ip string) (string, error) {
	for range 20 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		_, port, _ := net.SplitHostPort(l.Addr().String())
		u, err := net.ListenPacket("udp", ip+":"+port)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port, nil
		}
	}
	return "", fmt.Errorf("no free port on %s", ip)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills the template as the platform does, as far as it is used here.
func fill(text string, values map[string]string) string {
	for {
		m := section.FindStringSubmatchIndex(text)
		if m == nil {
			break
		}
		name := text[m[2]:m[3]]
		ending := "{{/" + name + "}}"
		end := m[1] + strings.Index(text[m[1]:], ending)
		inner := ""
		if values[name] != "" {
			inner = text[m[1]:end]
		}
		text = text[:m[0]] + inner + strings.TrimPrefix(text[end+len(ending):], "\n")
	}
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[p[2:len(p)-2]] })
}

// setConfig writes a configuration as the operator does.
func (w *world) setConfig(c map[string]any) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // maps of texts and numbers can always be encoded
	}
	w.store.Set("keyed.op", "config", data)
	w.log("operator writes configuration %v", c["version"])
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

// do sends one request of a client.
func do(ctx context.Context, c *http.Client, addr, method, path, host, id string, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("X-Pomelospool-Request-Id", id)
	req.Header.Set("X-Pomelospool-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("X-Pomelospool-Response-Stamp"), body: string(data), err: err}
}
