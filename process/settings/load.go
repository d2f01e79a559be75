package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/yamlcheck"
)

// MaxBytes is the maximum size of a settings file.
const MaxBytes = 64 << 10

// Bounds of values.
const (
	minTime        = time.Millisecond
	maxTime        = time.Hour
	minCheckpoint  = 10
	maxCheckpoint  = 100_000
	minWatch       = 1
	maxWatch       = 10_000
	minLoadReads   = 0.1
	maxLoadReads   = 100_000.0
	minOnceAppends = 0.1
	maxOnceAppends = 1000.0
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 256 << 20
	maxConnections = 1 << 20
	minBufferBytes = 4 << 10
	maxBufferBytes = 64 << 20
	maxStreams     = 1 << 16
	maxMemoryMB    = 16 << 20
	maxLinkMbps    = 1_000_000.0
	maxCores       = 10_000.0
)

// minHeartbeatsToDead is the minimum number of heartbeats within dead_after, so
// that a single lost probe doesn't make a peer count as dead.
const minHeartbeatsToDead = 2

// Default returns settings with every optional key at its default and the
// required keys empty.
func Default() *Settings {
	return &Settings{
		Control: Control{
			Lease:               3 * time.Second,
			Drift:               time.Second,
			Heartbeat:           500 * time.Millisecond,
			DeadAfter:           3 * time.Second,
			Isolation:           5 * time.Second,
			Checkpoint:          500,
			AddressTTL:          5 * time.Second,
			DrainLimit:          time.Minute,
			LoadPoll:            250 * time.Millisecond,
			EngineCheckInterval: time.Second,
			WatchedTargets:      64,
			LoadReadRate:        250,
			OnceAppendRate:      30,
		},
		Limits: Limits{
			HeaderBytes: 32 << 10,
			BodyBytes:   8 << 20,
			Connections: 4096,
			ReadHeader:  5 * time.Second,
			ReadBody:    30 * time.Second,
			BufferBytes: 256 << 10,
			Streams:     100,
		},
		Store: Store{WritesPerSecond: 400},
		Bounds: Bounds{
			Grace:       8 * time.Second,
			Lease:       3 * time.Second,
			AddressTTL:  5 * time.Second,
			RetryRatio:  0.2,
			RetrySlack:  50,
			RetryWindow: 10 * time.Second,
			ApplyConfig: 2 * time.Second,
			Drain:       2 * time.Second,
		},
		Log: Log{Level: "info", Format: "text"},
	}
}

// Load reads and checks the settings file at path. The error lists every
// problem of the file, one per line, and code.Of returns the code of the first.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, problems := Parse(path, data)
	if err := yamlcheck.AsError(problems); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse checks the settings in data. It returns either complete settings with
// defaults filled in, or nil and all problems.
func Parse(file string, data []byte) (*Settings, []*yamlcheck.Problem) {
	s := Default()
	f := yamlcheck.Decode(file, data, MaxBytes, s)
	if !f.Failed() {
		check(f, s)
	}
	if f.Failed() {
		return nil, f.Problems()
	}
	return s, nil
}

func check(f *yamlcheck.File, s *Settings) {
	f.Required("vm", "zone", "listen")
	if f.Has("store") {
		checkStore(f, s)
	} else {
		f.Required("platform")
		checkBounds(f, s.Bounds)
	}
	if f.Has("vm") {
		f.Name("vm", s.VM, false)
	}
	if f.Has("zone") {
		f.Name("zone", s.Zone, false)
	}
	yamlcheck.Range(f, "link_mbps", s.LinkMbps, 0, maxLinkMbps)
	yamlcheck.Range(f, "processor.share", s.Processor.Share, 0, maxCores)
	yamlcheck.Range(f, "processor.speed", s.Processor.Speed, 0, maxCores)
	if f.Has("listen") {
		checkListen(f, s.Listen)
	}
	if f.Has("platform") {
		checkPlatform(f, s.Platform)
	}
	checkControl(f, s.Control)
	checkLimits(f, s.Limits)
	f.OneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	f.OneOf("log.format", s.Log.Format, "text", "json")
	checkTLS(f, s.TLS)
}

func checkListen(f *yamlcheck.File, l Listen) {
	paths := []string{"listen.callers", "listen.peers", "listen.operators"}
	addrs := []string{l.Callers, l.Peers, l.Operators}
	f.Required(paths...)
	var fixed, fixedPaths []string
	for i, path := range paths {
		if !f.Has(path) {
			continue
		}
		f.Addr(path, addrs[i], true)
		if !anyPort(addrs[i]) {
			fixed, fixedPaths = append(fixed, addrs[i]), append(fixedPaths, path)
		}
	}
	f.Unique(fixed, func(i int) string { return fixedPaths[i] })
}

func checkPlatform(f *yamlcheck.File, p Platform) {
	paths := []string{"platform.log", "platform.vms", "platform.weights"}
	f.Required(paths...)
	for i, url := range []string{p.Log, p.VMs, p.Weights} {
		if f.Has(paths[i]) {
			f.URL(paths[i], url)
		}
	}
}

func checkControl(f *yamlcheck.File, c Control) {
	f.Duration("control.lease", c.Lease, minTime, maxTime)
	f.Duration("control.drift", c.Drift, minTime, maxTime)
	f.Duration("control.heartbeat", c.Heartbeat, minTime, maxTime)
	f.Duration("control.dead_after", c.DeadAfter, minTime, maxTime)
	f.Duration("control.isolation", c.Isolation, minTime, maxTime)
	f.Duration("control.address_ttl", c.AddressTTL, minTime, maxTime)
	f.Duration("control.drain_limit", c.DrainLimit, minTime, maxTime)
	f.Duration("control.load_poll", c.LoadPoll, minTime, maxTime)
	yamlcheck.Range(f, "control.checkpoint", c.Checkpoint, minCheckpoint, maxCheckpoint)
	f.Duration("control.look", c.EngineCheckInterval, minTime, maxTime)
	yamlcheck.Range(f, "control.watch", c.WatchedTargets, minWatch, maxWatch)
	yamlcheck.Range(f, "control.load_reads", c.LoadReadRate, minLoadReads, maxLoadReads)
	yamlcheck.Range(f, "control.once_appends", c.OnceAppendRate, minOnceAppends, maxOnceAppends)
	if c.DeadAfter < minHeartbeatsToDead*c.Heartbeat {
		f.Report("control.dead_after", code.DocInconsistent,
			fmt.Sprintf("%v holds fewer than %d heartbeats of %v", c.DeadAfter, minHeartbeatsToDead, c.Heartbeat),
			fmt.Sprintf("at least %v", minHeartbeatsToDead*c.Heartbeat))
	}
	if c.DrainLimit < c.AddressTTL {
		// Callers keep using an address for as long as they cache it, so a stop
		// that ends earlier would refuse or cut their requests.
		f.Report("control.drain_limit", code.DocInconsistent,
			fmt.Sprintf("%v is shorter than control.address_ttl, %v", c.DrainLimit, c.AddressTTL), "give a longer time")
	}
}

func checkLimits(f *yamlcheck.File, l Limits) {
	yamlcheck.Range(f, "limits.header_bytes", l.HeaderBytes, minHeaderBytes, maxHeaderBytes)
	yamlcheck.Range(f, "limits.body_bytes", l.BodyBytes, 1, maxBodyBytes)
	yamlcheck.Range(f, "limits.connections", l.Connections, 1, maxConnections)
	f.Duration("limits.read_header", l.ReadHeader, minTime, maxTime)
	f.Duration("limits.read_body", l.ReadBody, minTime, maxTime)
	yamlcheck.Range(f, "limits.buffer_bytes", l.BufferBytes, minBufferBytes, maxBufferBytes)
	yamlcheck.Range(f, "limits.streams", l.Streams, 1, maxStreams)
	yamlcheck.Range(f, "limits.memory_mb", l.MemoryMB, 0, maxMemoryMB)
	yamlcheck.Range(f, "limits.callers_memory_mb", l.CallersMemoryMB, 0, maxMemoryMB)
	if l.MemoryMB > 0 && l.CallersMemoryMB > l.MemoryMB {
		f.Report("limits.callers_memory_mb", code.DocInconsistent,
			fmt.Sprintf("%v is more than limits.memory_mb, %v", l.CallersMemoryMB, l.MemoryMB), "give less than the VM has")
	}
}

func checkTLS(f *yamlcheck.File, t TLS) {
	paths := []string{"tls.cert", "tls.key", "tls.ca", "tls.operator_token"}
	for i, v := range []string{t.Cert, t.Key, t.CA, t.OperatorToken} {
		if f.Has(paths[i]) {
			f.Text(paths[i], v)
		}
	}
	if t.Cert != "" && t.Key == "" {
		f.Report("tls.key", code.DocMissing, "is missing, but tls.cert is set", "name the file of the certificate's key")
	}
	if t.Key != "" && t.Cert == "" {
		f.Report("tls.cert", code.DocMissing, "is missing, but tls.key is set", "name the file of the certificate")
	}
	if t.CA != "" && t.Cert == "" {
		f.Report("tls.ca", code.DocInconsistent, "a CA without tls.cert", "set tls.cert and tls.key too")
	}
}

// anyPort reports whether addr has port 0, with which the system chooses a free
// port, as tests do.
func anyPort(addr string) bool {
	_, port, err := net.SplitHostPort(addr)
	return err == nil && port == "0"
}
