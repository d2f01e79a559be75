package capacity

import (
	"fmt"
	"os"
	"strings"
)

// Marks around each generated block of the page; NAME stands for the block.
const (
	beginMark = "<!-- begin NAME, written by make capacity -->\n"
	endMark   = "<!-- end NAME -->\n"
)

// Blocks renders the page's generated parts by name.
func (r *Report) Blocks() map[string]string {
	return map[string]string{
		"slopes":  r.slopes(),
		"roles":   r.roles(),
		"appends": r.appends(),
		"traffic": r.traffic(),
		"settled": r.settled(),
	}
}

// WritePage replaces the generated blocks of the page in the file.
func (r *Report) WritePage(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	page := string(data)
	for name, text := range r.Blocks() {
		if page, err = replaceBlock(page, name, text); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return os.WriteFile(file, []byte(page), 0o644)
}

func replaceBlock(page, name, text string) (string, error) {
	begin := strings.ReplaceAll(beginMark, "NAME", name)
	end := strings.ReplaceAll(endMark, "NAME", name)
	from := strings.Index(page, begin)
	to := strings.Index(page, end)
	if from < 0 || to < from {
		return "", fmt.Errorf("no block %q", name)
	}
	return page[:from+len(begin)] + "\n" + text + "\n" + page[to:], nil
}

func (r *Report) slopes() string {
	var b strings.Builder
	b.WriteString("| quantity | size counts | measured | line | worst deviation |\n|---|---|---|---|---|\n")
	for _, s := range []Slope{
		r.Control.Apply, r.Control.Memory, r.Control.Leases, r.Control.Orders, r.Control.Recover,
		r.Membership.Bytes, r.Membership.CPU, r.Membership.Memory,
		r.Route, r.Plan, r.PlanMemory, r.Request, r.Orgs, r.Burn, r.Once,
	} {
		b.WriteString(s.Row() + "\n")
	}
	fmt.Fprintf(&b, "\nOne read of an engine's load takes %s B both ways and %s µs of processor time on both sides together; one read of the log without news %s B and %s µs.\n",
		number(r.LoadPoll.Bytes), number(float64(r.LoadPoll.CPU.Microseconds())),
		number(r.LogPoll.Bytes), number(float64(r.LogPoll.CPU.Microseconds())))
	return b.String()
}

func (r *Report) roles() string {
	var b strings.Builder
	b.WriteString("| role | state | messages | B/s | % of a core | memory | mechanism |\n|---|---|---|---|---|---|---|\n")
	var all Row
	for _, row := range r.Rows() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s MB | %s |\n", row.Role, row.State, row.Messages,
			number(row.Bytes), number(row.CPU), number(row.Memory/1e6), row.Mechanism)
		all.Bytes += row.Bytes
		all.CPU += row.CPU
		all.Memory += row.Memory
	}
	fmt.Fprintf(&b, "| **all on one daemon** | | | **%s** | **%s** | **%s MB** | limits: %s B/s, %s %%, %s MB |\n",
		number(all.Bytes), number(all.CPU), number(all.Memory/1e6), number(limitBytes), number(limitCPU), number(limitMemory/1e6))
	every := r.everyDaemon()
	fmt.Fprintf(&b, "| **a daemon without the special roles** | | | **%s** | **%s** | **%s MB** | |\n",
		number(every.Bytes), number(every.CPU), number(every.Memory/1e6))
	return b.String()
}

// everyDaemon adds up the roles that every daemon has.
func (r *Report) everyDaemon() Row {
	var sum Row
	for _, row := range []Row{r.membershipRow(), r.readerRow(), r.watcherRow(), r.plannerRow(), r.burnRow(), r.sharesRow()} {
		sum.Bytes += row.Bytes
		sum.CPU += row.CPU
		sum.Memory += row.Memory
	}
	return sum
}

func (r *Report) appends() string {
	var b strings.Builder
	b.WriteString("| records | a second, whole fleet | why |\n|---|---|---|\n")
	sum := 0.0
	for _, a := range r.Appends() {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", a.Kind, number(a.Second), a.Why)
		sum += a.Second
	}
	fmt.Fprintf(&b, "| **all** | **%s** | of about %s |\n", number(sum), number(logBudget))
	return b.String()
}

func (r *Report) traffic() string {
	const daemons, few = float64(targetDaemons), 8.0
	perRequest := targetTokens / targetRequests
	cpu := r.Request.At(perRequest)
	var b strings.Builder
	b.WriteString("| | requests/s | tokens/s | % of a core | requests open at once |\n|---|---|---|---|---|\n")
	for _, n := range []float64{daemons, few} {
		fmt.Fprintf(&b, "| one of %s daemons | %s | %s | %s | %s |\n", number(n), number(targetRequests/n), number(targetTokens/n),
			number(cpu/1e4*targetRequests/n), number(targetRequests/n*perRequest*betweenTokens))
	}
	fmt.Fprintf(&b, "\nA request of %s tokens takes %s µs of processor time in the daemon, a routing decision over %d targets %s µs of it, over %d targets %s µs.\n",
		number(perRequest), number(cpu), assumedWatched, number(r.Route.At(assumedWatched)), targetServers, number(r.Route.At(targetServers)))
	return b.String()
}

// betweenTokens is the target's time between tokens, in seconds.
const betweenTokens = 0.036

func (r *Report) settled() string {
	var parts []string
	for _, p := range r.Membership.Settled {
		parts = append(parts, fmt.Sprintf("%s daemons %.1f s", number(p.X), p.Y))
	}
	return "Started all at once, every member saw all others live after: " + strings.Join(parts, ", ") + ".\n"
}
