// Package settings holds the settings of one daemon, read once at its start
// from a YAML file.
package settings

import "time"

// Settings of one daemon. A process learns its addresses and availability
// zone from here.
type Settings struct {
	VM   string `yaml:"vm"`   // id in the VM list
	Zone string `yaml:"zone"` // availability zone
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0: not known. The
	// daemons with the widest links sum up what the others report.
	LinkMbps float64 `yaml:"link_mbps,omitempty"`
	// Processor is the VM's processor. Callers are sent to fast ones first.
	Processor Processor `yaml:"processor,omitempty"`
	Listen    Listen    `yaml:"listen"`
	Platform  Platform  `yaml:"platform,omitempty"`
	// Store is set where the platform keeps configuration and targets in one
	// store; it takes the place of Platform.
	Store   Store   `yaml:"store,omitempty"`
	Duties  Duties  `yaml:"duties,omitempty"`
	Bounds  Bounds  `yaml:"bounds,omitempty"`
	Control Control `yaml:"control,omitempty"`
	Limits  Limits  `yaml:"limits,omitempty"`
	Log     Log     `yaml:"log,omitempty"`
	TLS     TLS     `yaml:"tls,omitempty"`
}

// Processor is what a VM has of processors.
type Processor struct {
	Share float64 `yaml:"share"` // of a core; 0: not known
	Speed float64 `yaml:"speed"` // how many times as fast as a core; 0: 1
}

// Millicores is the processor in thousandths of a core, 0 if it isn't known.
func (p *Processor) Millicores() uint32 {
	speed := p.Speed
	if speed == 0 {
		speed = 1
	}
	return uint32(1000 * p.Share * speed)
}

// Listen holds host:port addresses by IP number.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
	// Only with a store: the platform's question whether the daemon is ready,
	// and callers' question which address to use.
	Ready     string `yaml:"ready,omitempty"`
	Addresses string `yaml:"addresses,omitempty"`
}

// Store is the platform's store.
type Store struct {
	Addr string `yaml:"addr"` // host:port
}

// Duties are calls to the platform that one daemon at a time makes for the whole
// fleet. Without an address there are none.
type Duties struct {
	Addr string `yaml:"addr"` // host:port
	// Usage of the organisations is reported for windows of this length, and due
	// that long after a window's end; 0: it isn't reported.
	UsageWindow time.Duration `yaml:"usage_window,omitempty"`
	UsageLate   time.Duration `yaml:"usage_late,omitempty"`
}

// Bounds are what the operators promise and ask of all daemons together.
type Bounds struct {
	Grace       time.Duration `yaml:"grace,omitempty"`        // from SIGTERM to SIGKILL; 8s
	Lease       time.Duration `yaml:"lease,omitempty"`        // no second holder of a duty within it; 3s
	AddressTTL  time.Duration `yaml:"address_ttl,omitempty"`  // longest that callers keep addresses; 5s
	RetryRatio  float64       `yaml:"retry_ratio,omitempty"`  // extra sends a request; 0.2
	RetrySlack  float64       `yaml:"retry_slack,omitempty"`  // extra sends in a window on top; 50
	RetryWindow time.Duration `yaml:"retry_window,omitempty"` // 10s
	ApplyConfig time.Duration `yaml:"apply_config,omitempty"` // until a version is in force; 2s
	Drain       time.Duration `yaml:"drain,omitempty"`        // until a leaving target gets no new work; 2s
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log     string `yaml:"log"`
	VMs     string `yaml:"vms"`
	Weights string `yaml:"weights"`
}

// Control holds the times of the control state.
type Control struct {
	Lease       time.Duration `yaml:"lease,omitempty"`        // T: how long a begun tail read lets a holder act; 3s
	Drift       time.Duration `yaml:"drift,omitempty"`        // clock drift and guard on top of T; 1s
	Heartbeat   time.Duration `yaml:"heartbeat,omitempty"`    // between probes; 500ms
	DeadAfter   time.Duration `yaml:"dead_after,omitempty"`   // silence until a peer counts as dead; 3s
	Isolation   time.Duration `yaml:"isolation,omitempty"`    // without log and peers until new work is refused; 5s
	Checkpoint  int           `yaml:"checkpoint,omitempty"`   // records between checkpoints; 500
	AddressTTL  time.Duration `yaml:"address_ttl,omitempty"`  // how long callers keep addresses; 5s
	DrainLimit  time.Duration `yaml:"drain_limit,omitempty"`  // longest wait for open streams at a stop; 60s
	LoadPoll    time.Duration `yaml:"load_poll,omitempty"`    // between load reads of one engine; 250ms
	Look        time.Duration `yaml:"look,omitempty"`         // between looks of a lease holder at an engine; 1s
	Watch       int           `yaml:"watch,omitempty"`        // targets watched in all, about; 64
	LoadReads   float64       `yaml:"load_reads,omitempty"`   // calls a second to all engines for their load; 250
	OnceAppends float64       `yaml:"once_appends,omitempty"` // at-most-once appends a second of this daemon; 30
}

// Limits bound what the daemon takes from callers.
type Limits struct {
	HeaderBytes int           `yaml:"header_bytes,omitempty"` // 32768
	BodyBytes   int64         `yaml:"body_bytes,omitempty"`   // 8388608
	Connections int           `yaml:"connections,omitempty"`  // 4096
	ReadHeader  time.Duration `yaml:"read_header,omitempty"`  // 5s
	ReadBody    time.Duration `yaml:"read_body,omitempty"`    // 30s
	BufferBytes int           `yaml:"buffer_bytes,omitempty"` // held for one slow caller; 262144
}

// Log says how the daemon writes its log lines.
type Log struct {
	Level  string `yaml:"level,omitempty"`  // debug, info, warn, error; info
	Format string `yaml:"format,omitempty"` // text, json; text
}

// TLS names key files. Empty means plain TCP.
type TLS struct {
	Cert          string `yaml:"cert,omitempty"`
	Key           string `yaml:"key,omitempty"`
	CA            string `yaml:"ca,omitempty"`             // for mutual TLS between daemons
	OperatorToken string `yaml:"operator_token,omitempty"` // file with the operators' token
}
