// Package settings reads the settings of a daemon from a YAML file.
package settings

import "time"

// Settings are the settings of one daemon, including its addresses and
// availability zone.
type Settings struct {
	VM   string `yaml:"vm"`   // id in the VM list
	Zone string `yaml:"zone"` // availability zone
	// LinkMbps is the bandwidth of the VM's link in Mbit/s, 0 if unknown. The
	// daemons with the widest links aggregate the reports of the others.
	LinkMbps float64 `yaml:"link_mbps,omitempty"`
	// Processor describes the VM's processor. Callers are directed to VMs with
	// faster processors first.
	Processor Processor `yaml:"processor,omitempty"`
	// Bootstrap is set if nothing of the fleet or its targets existed before this
	// start of the process.
	Bootstrap bool     `yaml:"bootstrap,omitempty"`
	Listen    Listen   `yaml:"listen"`
	Platform  Platform `yaml:"platform,omitempty"`
	// Store is set if the platform keeps configuration and targets in one store.
	// It replaces Platform.
	Store   Store   `yaml:"store,omitempty"`
	Duties  Duties  `yaml:"duties,omitempty"`
	Bounds  Bounds  `yaml:"bounds,omitempty"`
	Control Control `yaml:"control,omitempty"`
	Limits  Limits  `yaml:"limits,omitempty"`
	// Scheduling switches on optional decisions under load.
	Scheduling Scheduling `yaml:"scheduling,omitempty"`
	Log        Log        `yaml:"log,omitempty"`
	TLS        TLS        `yaml:"tls,omitempty"`
}

// Processor describes the processing power of a VM.
type Processor struct {
	Share float64 `yaml:"share"` // in cores; 0: unknown
	Speed float64 `yaml:"speed"` // relative to a reference core; 0: 1
}

// Millicores returns the processing power in thousandths of a reference core, 0
// if it is unknown.
func (p *Processor) Millicores() uint32 {
	speed := p.Speed
	if speed == 0 {
		speed = 1
	}
	return uint32(1000 * p.Share * speed)
}

// Listen holds the addresses to listen on, as host:port with an IP address.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
	// Ready and Addresses are used only with a store. The platform probes
	// readiness at Ready, and callers ask at Addresses which address to use.
	Ready     string `yaml:"ready,omitempty"`
	Addresses string `yaml:"addresses,omitempty"`
}

// Store locates the platform's store.
type Store struct {
	Addr string `yaml:"addr"` // host:port
	// WritesPerSecond is the rate of writes that the store accepts from the whole fleet.
	WritesPerSecond float64 `yaml:"writes_per_second,omitempty"`
}

// Duties configures the calls to the platform that one daemon at a time makes
// for the whole fleet. Without an address no such calls are made.
type Duties struct {
	Addr string `yaml:"addr"` // host:port
	// UsageWindow is the length of the windows for which the usage of
	// organisations is reported, 0 for no reports. UsageLate is the time after a
	// window's end by which its report is due.
	UsageWindow time.Duration `yaml:"usage_window,omitempty"`
	UsageLate   time.Duration `yaml:"usage_late,omitempty"`
}

// Bounds are the limits that operators guarantee to the fleet or require of it.
// Without a store, only RetrySlack and RetryWindow apply.
type Bounds struct {
	Grace       time.Duration `yaml:"grace,omitempty"`        // from SIGTERM to SIGKILL; 8s
	Lease       time.Duration `yaml:"lease,omitempty"`        // minimum time before a duty can have a second holder; 3s
	AddressTTL  time.Duration `yaml:"address_ttl,omitempty"`  // maximum time that callers keep addresses; 5s
	RetryRatio  float64       `yaml:"retry_ratio,omitempty"`  // retries per request; 0.2. Without a store, each service's document states it
	RetrySlack  float64       `yaml:"retry_slack,omitempty"`  // additional retries of all daemons in a window, per service; 50
	RetryWindow time.Duration `yaml:"retry_window,omitempty"` // window of the retry budget; 10s
	ApplyConfig time.Duration `yaml:"apply_config,omitempty"` // maximum time until a version is in force; 2s
	Drain       time.Duration `yaml:"drain,omitempty"`        // maximum time until a leaving target gets no new work; 2s
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log     string `yaml:"log"`
	VMs     string `yaml:"vms"`
	Weights string `yaml:"weights"`
}

// Control holds the parameters of the control state.
type Control struct {
	Lease               time.Duration `yaml:"lease,omitempty"`        // T: how long a holder may act after the start of a tail read; 3s
	Drift               time.Duration `yaml:"drift,omitempty"`        // allowance for clock drift on top of T; 1s
	Heartbeat           time.Duration `yaml:"heartbeat,omitempty"`    // interval between probes; 500ms
	DeadAfter           time.Duration `yaml:"dead_after,omitempty"`   // time without contact until a peer counts as dead; 3s
	Isolation           time.Duration `yaml:"isolation,omitempty"`    // time without log and peers until new work is refused; 5s
	Checkpoint          int           `yaml:"checkpoint,omitempty"`   // records between checkpoints; 500
	AddressTTL          time.Duration `yaml:"address_ttl,omitempty"`  // how long callers keep addresses; 5s
	DrainLimit          time.Duration `yaml:"drain_limit,omitempty"`  // maximum wait for open streams at a stop; 60s
	LoadPoll            time.Duration `yaml:"load_poll,omitempty"`    // interval between load reads of one engine; 250ms
	EngineCheckInterval time.Duration `yaml:"look,omitempty"`         // interval between a lease holder's checks of an engine; 1s
	WatchedTargets      int           `yaml:"watch,omitempty"`        // approximate maximum number of targets watched; 64
	LoadReadRate        float64       `yaml:"load_reads,omitempty"`   // load reads a second, over all engines; 250
	OnceAppendRate      float64       `yaml:"once_appends,omitempty"` // at-most-once appends a second of this daemon; 30
}

// Scheduling switches on decisions under load that are off by default. See
// docs/design/18-hard-load.md.
type Scheduling struct {
	// FairShares rejects calls of organisations over their fair share first when
	// calls wait. It needs a configuration that names organisations.
	FairShares bool `yaml:"fair_shares,omitempty"`
	// ShedEarly rejects calls whose first event would come after their callers
	// have left, and reserves engines for short prompts while long ones wait.
	ShedEarly bool `yaml:"shed_early,omitempty"`
	// SpreadLoad allows for the work that other daemons have sent since their
	// last reports.
	SpreadLoad bool `yaml:"spread_load,omitempty"`
	// EngineSpeeds estimates the speed of each engine over all daemons.
	EngineSpeeds bool `yaml:"engine_speeds,omitempty"`
}

// Limits bound the requests that the daemon accepts from callers.
type Limits struct {
	HeaderBytes int           `yaml:"header_bytes,omitempty"` // 32768
	BodyBytes   int64         `yaml:"body_bytes,omitempty"`   // 8388608
	Connections int           `yaml:"connections,omitempty"`  // 4096
	ReadHeader  time.Duration `yaml:"read_header,omitempty"`  // 5s
	ReadBody    time.Duration `yaml:"read_body,omitempty"`    // 30s
	BufferBytes int           `yaml:"buffer_bytes,omitempty"` // buffered for one slow caller; 262144
	Streams     int           `yaml:"streams,omitempty"`      // open on one connection with HTTP/2; 100
	// MemoryMB is the memory of the VM in MB; 0: as the system says.
	MemoryMB float64 `yaml:"memory_mb,omitempty"`
	// CallersMemoryMB is the memory in MB that the connections to all ports, and their
	// requests, may hold at a time; 0: 25% of the VM's.
	CallersMemoryMB float64 `yaml:"callers_memory_mb,omitempty"`
}

// Log configures the daemon's log.
type Log struct {
	Level  string `yaml:"level,omitempty"`  // debug, info, warn, error; info
	Format string `yaml:"format,omitempty"` // text, json; text
}

// TLS names the key files. Without them the daemon uses plain TCP.
type TLS struct {
	Cert          string `yaml:"cert,omitempty"`
	Key           string `yaml:"key,omitempty"`
	CA            string `yaml:"ca,omitempty"`             // for mutual TLS between daemons
	OperatorToken string `yaml:"operator_token,omitempty"` // file with the operators' token
}
