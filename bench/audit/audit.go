// Package audit compares what callers got with what targets recorded. It
// trusts neither the daemons' counters nor their logs.
//
// Every request ends for its caller in one way, the best over its sendings:
//
//   - answered: whole. A stream's every token was checked, a plain answer's
//     body is the one to this request.
//   - refused, not run: every attempt proved that nothing reached a target.
//   - unknown: a call that may run at most once, and may have run.
//   - failed, told so: an idempotent request that was given up, with a 2xxx
//     code of a daemon; past the deadline only when the deadline had passed.
//   - cut: a stream that ended in the middle for good, told or not; also any
//     answer taken for whole that is shorter than asked.
//   - lost: all else. Nobody gave an answer or a truthful code before the
//     deadline; or the caller has an answer, but no target counted a run.
//
// Doubled is a key that targets ran more than once, or a token that came
// twice. Crossed is anything of another request that reached the caller.
// Untrue is a refusal as not run although a target counted a run. Conflicting
// are orders that an engine got while another one ran, or carried out under a
// fencing number below the highest that it had seen.
package audit

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// Load is the part of a `pomelosctl load --json` summary that is judged.
type Load struct {
	Sent   int `json:"sent"`
	Whole  int `json:"whole"`
	NotRun int `json:"not_run"`
	Failed int `json:"failed"`
	Faults struct {
		Crossed int `json:"crossed"`
		Doubled int `json:"doubled"`
		Lost    int `json:"lost"`
		Wrong   int `json:"wrong"`
	} `json:"faults"`
}

// Plain is what the stand-in of a plain service recorded.
type Plain struct {
	Name     string         `json:"name"`
	Runs     int            `json:"runs"`
	Keys     map[string]int `json:"keys"`     // runs by Idempotency-Key
	Requests map[string]int `json:"requests"` // runs by X-Request-Id
}

// Calls is how the calls that may not be repeated ended for their callers.
type Calls struct {
	Answered map[string]bool // by number of the call
	Unknown  map[string]bool
	Refused  map[string]bool
}

// Exit codes of pomelosctl call.
const (
	exitRefused = "3"
	exitUnknown = "4"
)

// ReadCalls reads lines "N answered" and "N code RC".
func ReadCalls(r io.Reader) (Calls, error) {
	c := Calls{Answered: map[string]bool{}, Unknown: map[string]bool{}, Refused: map[string]bool{}}
	s := bufio.NewScanner(r)
	for s.Scan() {
		f := strings.Fields(s.Text())
		switch {
		case len(f) == 2 && f[1] == "answered":
			c.Answered[f[0]] = true
		case len(f) == 3 && f[2] == exitRefused:
			c.Refused[f[0]] = true
		case len(f) == 3 && f[2] == exitUnknown:
			c.Unknown[f[0]] = true
		default:
			return c, fmt.Errorf("line %q is no outcome of a call", s.Text())
		}
	}
	return c, s.Err()
}

// Verdict counts how calls ended and what must not be.
type Verdict struct {
	Sent, Answered, NotRun, Unknown int
	Lost, Doubled, Crossed, Cut     int
}

// Good tells whether every request was answered at most once and whole.
func (v Verdict) Good() bool { return v.Lost+v.Doubled+v.Crossed+v.Cut == 0 }

// Streams judges the streamed answers. A stream that failed is lost: its
// request is idempotent, so the system had every chance to answer it.
func Streams(l Load) Verdict {
	return Verdict{
		Sent:     l.Sent,
		Answered: l.Whole,
		NotRun:   l.NotRun,
		Lost:     l.Failed,
		Doubled:  l.Faults.Doubled,
		Crossed:  l.Faults.Crossed + l.Faults.Wrong,
		Cut:      l.Faults.Lost,
	}
}

// Once judges the calls that may not be repeated against the runs that the
// target counted for each key, which is prefix and the call's number.
func Once(c Calls, p Plain, prefix string) Verdict {
	v := Verdict{
		Sent:     len(c.Answered) + len(c.Unknown) + len(c.Refused),
		Answered: len(c.Answered),
		NotRun:   len(c.Refused),
		Unknown:  len(c.Unknown),
	}
	for n := range c.Answered {
		if p.Keys[prefix+n] == 0 {
			v.Lost++
		}
	}
	for n := range c.Refused {
		if p.Keys[prefix+n] > 0 {
			v.Crossed++ // a refusal that said "not run" was untrue
		}
	}
	for key, runs := range p.Keys {
		if strings.HasPrefix(key, prefix) && runs > 1 {
			v.Doubled++
		}
	}
	return v
}

// Table writes the verdicts as rows under one heading.
func Table(w io.Writer, names []string, vs []Verdict) {
	fmt.Fprintf(w, "%-16s %6s %9s %8s %8s %6s %8s %8s %5s\n",
		"", "SENT", "ANSWERED", "NOT RUN", "UNKNOWN", "LOST", "DOUBLED", "CROSSED", "CUT")
	for i, v := range vs {
		fmt.Fprintf(w, "%-16s %6d %9d %8d %8d %6d %8d %8d %5d\n",
			names[i], v.Sent, v.Answered, v.NotRun, v.Unknown, v.Lost, v.Doubled, v.Crossed, v.Cut)
	}
}
