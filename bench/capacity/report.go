package capacity

import (
	"fmt"
	"time"
)

// Report is a whole run of the measurements.
type Report struct {
	Control    Control
	Plan       Slope
	PlanMemory Slope
	Route      Slope
	Request    Slope
	Orgs       Slope
	Burn       Slope
	Once       Slope
	LoadPoll   Poll
	LogPoll    Poll
	Membership Membership
}

// Sizes at which each slope is measured.
var (
	itemSizes   = []int{10, 100, 1000}
	engineSizes = []int{12, 100, 710}
	tokenSizes  = []int{1, 64, 256}
	orgSizes    = []int{1000, 10_000, targetOrgs}
	burnSizes   = []int{1, 5, 10}
	keySizes    = []int{1000, 10_000, 50_000}
	fleetSizes  = []int{8, 32, 96, targetDaemons}
)

// Run measures everything; it takes about six minutes, most of it for heartbeats.
func Run(say func(string)) (*Report, error) {
	r := &Report{}
	var err error
	say("fold of the control stream")
	r.Control = MeasureControl(itemSizes)
	say("planner and routing")
	r.Plan, r.PlanMemory = MeasurePlan(engineSizes)
	r.Route = MeasureRoute([]int{assumedWatched, 100, targetServers})
	say("requests")
	if r.Request, err = MeasureRequest(tokenSizes); err != nil {
		return nil, err
	}
	say("fair shares, burn report, keys")
	r.Orgs = MeasureOrgs(orgSizes)
	r.Burn = MeasureBurn(burnSizes)
	r.Once = MeasureOnce(keySizes)
	if r.LoadPoll, err = MeasureLoadPoll(); err != nil {
		return nil, err
	}
	if r.LogPoll, err = MeasureLogPoll(); err != nil {
		return nil, err
	}
	r.Membership, err = MeasureMembership(fleetSizes, membershipTime, say)
	return r, err
}

// membershipTime is how long heartbeats are measured at each size.
const membershipTime = 30 * time.Second

// percent returns the percent of a core for so many calls a second.
func percent(each time.Duration, aSecond float64) float64 { return 100 * each.Seconds() * aSecond }

func micro(us float64) time.Duration { return time.Duration(us * 1e3) }

// Rows works out what each role costs one daemon at the target.
func (r *Report) Rows() []Row {
	return []Row{r.membershipRow(), r.readerRow(), r.holderRow(), r.checkpointRow(), r.watcherRow(), r.plannerRow(), r.burnRow(), r.onceRow(), r.sharesRow()}
}

func (r *Report) membershipRow() Row {
	return Row{
		Role:      "membership",
		State:     fmt.Sprintf("%d members", targetDaemons),
		Messages:  fmt.Sprintf("a heartbeat sent and one answered every %v", heartbeat),
		Bytes:     2 * r.Membership.Bytes.At(targetDaemons),
		CPU:       r.Membership.CPU.At(targetDaemons),
		Memory:    r.Membership.Memory.At(targetDaemons),
		Mechanism: "probes of 8 neighbours on hash rings, relayed probes, news of changes only",
	}
}

// recordsADay is how many records the control stream gets.
func recordsADay() float64 {
	claims := (failuresADay + restartsADay) * assumedGroups / targetDaemons
	return changesADay*(1+assumedVerdicts) + 2*assumedOrders + 2*claims
}

// controlBytes is what the control stream's records weigh a second on the way
// to one reader: the log's JSON carries them in base64.
func (r *Report) controlBytes() float64 {
	const small = 500
	documents := changesADay * documentBytes
	rest := (recordsADay() - changesADay) * small
	return jsonShare * (documents + rest) / day
}

// stateBytes is the encoded size of a checkpoint.
func (r *Report) stateBytes() float64 {
	return assumedServices*documentBytes + r.Control.Leases.At(assumedGroups) + r.Control.Orders.At(targetServers/10)
}

func (r *Report) readerRow() Row {
	polls := 1 / idlePoll.Seconds()
	applies := recordsADay() / day
	return Row{
		Role:      "log reader",
		State:     fmt.Sprintf("%d services of %d KiB, %d leases, open orders", assumedServices, documentBytes>>10, assumedGroups),
		Messages:  fmt.Sprintf("a long poll every %v, %.2f records a second", idlePoll, applies),
		Bytes:     polls*r.LogPoll.Bytes + r.controlBytes() + jsonShare*r.stateBytes()*recordsADay()/checkpointRecords/day,
		CPU:       percent(r.LogPoll.CPU, polls) + percent(micro(r.Control.Apply.At(assumedServices)), applies),
		Memory:    2 * r.Control.Memory.At(assumedServices),
		Mechanism: "fold of one stream in log order; heartbeats carry the offset, peers give records when the log is out of reach",
	}
}

func (r *Report) holderRow() Row {
	const engines = 16
	polls := 1/holderPoll.Seconds() - 1/idlePoll.Seconds()
	looks := engines / look.Seconds()
	return Row{
		Role:      "lease holder (one daemon in four)",
		State:     "1 lease, up to 16 engines",
		Messages:  fmt.Sprintf("a long poll every %v instead; a look at each engine every %v", holderPoll, look),
		Bytes:     polls*r.LogPoll.Bytes + looks*r.LoadPoll.Bytes,
		CPU:       percent(r.LogPoll.CPU, polls) + percent(r.LoadPoll.CPU, looks),
		Memory:    1e6,
		Mechanism: "reads of the log's tail renew the lease; no append for it. A candidate costs nothing until it claims",
	}
}

func (r *Report) checkpointRow() Row {
	aDay := recordsADay() / checkpointRecords
	return Row{
		Role:      "checkpoint writer (one daemon at a time)",
		State:     "none of its own",
		Messages:  fmt.Sprintf("%.0f records of %.0f KB a day in the whole fleet", aDay, jsonShare*r.stateBytes()/1e3),
		Bytes:     jsonShare * r.stateBytes() * aDay / day,
		CPU:       percent(20*time.Millisecond, aDay/day),
		Memory:    2 * jsonShare * r.stateBytes(),
		Mechanism: "the lowest rank writes, others wait their stagger; a reader trusts the newest that the log still continues",
	}
}

func (r *Report) watcherRow() Row {
	return Row{
		Role:      "load watcher",
		State:     fmt.Sprintf("%d targets with load and cached prefixes", assumedWatched),
		Messages:  fmt.Sprintf("%.0f read of a load a second; the rest rides on answers", loadPollsASecond),
		Bytes:     loadPollsASecond * r.LoadPoll.Bytes,
		CPU:       percent(r.LoadPoll.CPU, loadPollsASecond),
		Memory:    assumedWatched * 200e3,
		Mechanism: "own availability zone first, then a hashed few; load corrected by what was sent since",
	}
}

func (r *Report) plannerRow() Row {
	engines := float64(targetServers) / targetModels
	return Row{
		Role:      "role planner",
		State:     fmt.Sprintf("%d models of %.0f engines", targetModels, engines),
		Messages:  "none of its own",
		CPU:       percent(micro(r.Plan.At(engines)), 2*targetModels),
		Memory:    targetModels * r.PlanMemory.At(engines),
		Mechanism: "a pure function over what the watcher holds, twice a second",
	}
}

func (r *Report) burnRow() Row {
	const record, every = 16 << 10, 600.0
	return Row{
		Role:      "burn report",
		State:     fmt.Sprintf("%d services", assumedServices),
		Messages:  "a record of at most 16 KiB every 10 minutes",
		Bytes:     jsonShare * record / every,
		CPU:       percent(time.Microsecond, targetRequests/targetDaemons),
		Memory:    r.Burn.At(assumedServices),
		Mechanism: "histograms that merge exactly; a stream of its own for each daemon, which nobody else reads",
	}
}

func (r *Report) onceRow() Row {
	perSecond := targetRequests * assumedOnceShare
	keys := perSecond * time.Hour.Seconds() / onceShards
	return Row{
		Role:      "at-most-once batcher (16 daemons)",
		State:     fmt.Sprintf("%.0f keys of the last hour of one shard", keys),
		Messages:  fmt.Sprintf("%.1f intents and results a second, at most %.0f appends a second", 2*perSecond/onceShards, batchedASecond),
		Bytes:     2 * perSecond / onceShards * (400 + headerBytes) * 3,
		CPU:       percent(r.LogPoll.CPU, 2*batchedASecond),
		Memory:    r.Once.At(keys),
		Mechanism: "the first intent in log order wins; batches of one shard go through one daemon, which need not be agreed",
	}
}

func (r *Report) sharesRow() Row {
	return Row{
		Role:      "fair shares and limits",
		State:     fmt.Sprintf("%d organisations", targetOrgs),
		Messages:  "none",
		CPU:       0,
		Memory:    r.Orgs.At(targetOrgs),
		Mechanism: "a table of bounded size, emptied as use decays",
	}
}

// Appends is the budget of the log at the target.
func (r *Report) Appends() []Append {
	claims := (failuresADay + restartsADay) * assumedGroups / targetDaemons
	return []Append{
		{"documents", changesADay / day, "operators' changes"},
		{"verdicts", assumedVerdicts * changesADay / day, "at most one a daemon that offers its own before it sees another"},
		{"claims and releases", 2 * claims / day, "a failed or restarted daemon in four holds a lease"},
		{"orders and their ends", 2 * assumedOrders / day, "two role changes an engine a day"},
		{"checkpoints", recordsADay() / checkpointRecords / day, "one every 500 records"},
		{"burn reports", targetDaemons / 600.0, "one a daemon every 10 minutes"},
		{"at-most-once batches", onceShards * batchedASecond, "the bound; needed are fewer, since batches grow with the load"},
	}
}
