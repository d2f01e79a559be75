package capacity

import "time"

// The target's sizes, from the users' first letter.
const (
	targetDaemons  = 360
	targetServers  = 710
	targetZones    = 5
	targetOrgs     = 47_000
	targetModels   = 5
	targetRequests = 3200.0    // a second
	targetTokens   = 720_000.0 // a second
	changesADay    = 2000.0
	failuresADay   = 19.0
	restartsADay   = 210.0
	limitCPU       = 3.7      // percent of a core for control
	limitMemory    = 256e6    // bytes
	limitBytes     = 3 * 1024 // bytes a second for control
	day            = 86400.0  // seconds
)

// What the letter leaves open and this page assumes.
const (
	assumedServices   = 50   // documents, of documentBytes each
	assumedGroups     = 100  // leases: at most 16 engines of one service and availability zone each
	assumedOrders     = 1500 // a day: every engine changes its role twice, and loads at restarts
	assumedVerdicts   = 3    // records a document, when several daemons offer theirs at once
	assumedOnceShare  = 0.02 // of all requests may not be repeated
	assumedWatched    = 16   // targets that one daemon watches
	loadPollsASecond  = 1.0  // of one daemon: load_reads
	onceShards        = 16
	batchedASecond    = 18.0  // appends of one shard's batcher
	checkpointRecords = 500.0 // records between two checkpoints
	logBudget         = 300.0 // appends a second: "several hundred"
	jsonShare         = 4.0 / 3
)

// Times of a daemon with the settings of examples/pomelospoold-large.yaml.
const (
	heartbeat  = time.Second
	deadAfter  = 6 * time.Second
	idlePoll   = 3 * time.Second
	holderPoll = 1500 * time.Millisecond
	look       = 30 * time.Second
)

// Row is one role's share of a daemon's control budget at the target.
type Row struct {
	Role      string
	State     string
	Messages  string
	Bytes     float64 // a second, sent and received
	CPU       float64 // percent of a core
	Memory    float64 // bytes
	Mechanism string
}

// Append is one kind of record and how often the whole fleet appends it.
type Append struct {
	Kind   string
	Second float64
	Why    string
}
