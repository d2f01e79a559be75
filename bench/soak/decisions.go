package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// decision is a daemon's decision to send a request once more.
type decision struct {
	at      time.Time
	request string
	class   string // of the failed send
	daemon  int
	charged int // sends taken from the budget
}

// decisionMessage is the message of the log lines that hold decisions.
const decisionMessage = "dispatch: retry decided"

// maxLine is the size of the longest log line, in bytes.
const maxLine = 1 << 20

// readDecisions returns the decisions to retry in a daemon's log.
func readDecisions(path string, daemon int) (out []decision, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(decisionMessage)) {
			continue
		}
		var l struct {
			Timestamp time.Time
			Fields    struct {
				Request, Class string
				Allowed        bool
				Charged        int
			}
		}
		// A process that is killed may leave a part of a line.
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Fields.Allowed {
			out = append(out, decision{at: l.Timestamp, request: l.Fields.Request, class: l.Fields.Class, daemon: daemon, charged: l.Fields.Charged})
		}
	}
	return out, lines.Err()
}

// explain relates the extra sends of a window to the decisions that led to
// them. The n-th extra send of a request is taken to follow its n-th decision.
// Decisions of daemons whose time of day was stepped can't be compared.
func explain(u Use, arrivals []standin.Arrival, decisions []decision) string {
	slices.SortStableFunc(decisions, func(a, b decision) int { return a.at.Compare(b.at) })
	byRequest := make(map[string][]decision)
	for _, d := range decisions {
		for range max(d.charged, 1) {
			byRequest[d.request] = append(byRequest[d.request], d)
		}
	}
	var late, undecided int
	var longest time.Duration
	classes, daemons := make(map[string]int), make(map[int]int)
	nth := make(map[string]int)
	for _, a := range extraSends(arrivals) {
		n := nth[a.ID]
		nth[a.ID]++
		if a.At.Before(u.From) || !slices.Contains(u.Extras, a) {
			continue
		}
		list := byRequest[a.ID]
		if n >= len(list) {
			undecided++
			continue
		}
		d := list[n]
		classes[d.class]++
		daemons[d.daemon]++
		longest = max(longest, a.At.Sub(d.at))
		if d.at.Before(u.From) {
			late++
		}
	}
	return fmt.Sprintf("%d decided before, up to %v before they arrived, %d without a decision, after failures %v, by daemon %v", late, longest.Round(time.Millisecond), undecided, classes, daemons)
}
