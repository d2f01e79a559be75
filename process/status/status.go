// Package status defines a daemon's answer to GET /status on its operators'
// port. It also combines such answers to a view of the fleet.
package status

import (
	"fmt"
	"sort"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
)

// Path is the path at which daemons serve a Status in JSON.
const Path = "/status"

// StateLive is the state of a functioning member or target.
const StateLive = "live"

// Status is one daemon's own view.
type Status struct {
	Daemon      string    `json:"daemon"` // VM id
	Zone        string    `json:"zone"`
	Incarnation string    `json:"incarnation"`
	Callers     string    `json:"callers"` // address for callers
	State       string    `json:"state"`   // serving, isolated, draining, starting
	Code        code.Code `json:"code"`    // why new requests are refused, 0 if they are accepted
	Applied     int64     `json:"applied"` // offset of the newest applied control record
	LogAgeMs    int64     `json:"log_age_ms"`
	Services    []Service `json:"services"`
	Members     []Member  `json:"members"`
	Leases      []Lease   `json:"leases"` // held by this daemon
	Targets     []Target  `json:"targets"`
}

// Service is a service with the version in force.
type Service struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Version int64  `json:"version"`
}

// Member is another daemon in the view of this one.
type Member struct {
	Daemon      string `json:"daemon"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"` // live, suspect, dead, leaving
	Applied     int64  `json:"applied"`
}

// Lease is a lease that the daemon holds.
type Lease struct {
	Group  string `json:"group"`
	Fence  int64  `json:"fence"`   // offset of the claim
	LeftMs int64  `json:"left_ms"` // how long the holder may act without another read of the log
}

// Target is a target in the view of this daemon.
type Target struct {
	Service  string    `json:"service"`
	Name     string    `json:"name"`
	Addr     string    `json:"addr"`
	Zone     string    `json:"zone"`
	Role     port.Role `json:"role,omitempty"`
	State    string    `json:"state"` // live, changing, suspect, leaving, unreachable
	InFlight int       `json:"in_flight"`
	LoadAge  int64     `json:"load_age_ms"` // -1 if no load was ever read
}

// Fleet is the combined view of all queried daemons.
type Fleet struct {
	Queried  int        `json:"asked"`
	Answered int        `json:"answered"`
	Daemons  []Answer   `json:"daemons"` // in the order of the queried addresses
	Services []Coverage `json:"services"`
}

// Answer is the answer of one daemon, or the reason why there is none.
type Answer struct {
	Addr   string    `json:"addr"` // address of the operators' port
	Status *Status   `json:"status,omitempty"`
	Code   code.Code `json:"code"` // code.DaemonUnreachable without an answer
	Error  string    `json:"error,omitempty"`
}

// Coverage is the number of daemons on which the newest version of a service is
// in force. A daemon that didn't answer counts as queried only.
type Coverage struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	InForce int    `json:"on"`
	Queried int    `json:"of"`
}

// NewFleet combines the answers.
func NewFleet(answers []Answer) Fleet {
	f := Fleet{Queried: len(answers), Daemons: answers}
	versions := make(map[string]map[int64]int)
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		f.Answered++
		for _, s := range a.Status.Services {
			if versions[s.Name] == nil {
				versions[s.Name] = make(map[int64]int)
			}
			versions[s.Name][s.Version]++
		}
	}
	for name, on := range versions {
		newest := int64(0)
		for v := range on {
			newest = max(newest, v)
		}
		f.Services = append(f.Services, Coverage{Name: name, Version: newest, InForce: on[newest], Queried: len(answers)})
	}
	sort.Slice(f.Services, func(i, j int) bool { return f.Services[i].Name < f.Services[j].Name })
	return f
}

// Version returns the newest version of a service in force on any daemon, 0 for
// none.
func (f Fleet) Version(service string) int64 {
	for _, c := range f.Services {
		if c.Name == service {
			return c.Version
		}
	}
	return 0
}

// VersionOf returns the version of a service in force on this daemon, 0 for
// none.
func (s *Status) VersionOf(service string) int64 {
	for _, svc := range s.Services {
		if svc.Name == service {
			return svc.Version
		}
	}
	return 0
}

// MemberCount returns the share of live members in a form like 3/4.
func (s *Status) MemberCount() string {
	live := 0
	for _, m := range s.Members {
		if m.State == StateLive {
			live++
		}
	}
	return fmt.Sprintf("%d/%d", live, len(s.Members))
}

// TargetCount returns the share of live targets in a form like 11/12.
func (s *Status) TargetCount() string {
	live := 0
	for _, t := range s.Targets {
		if t.State == StateLive {
			live++
		}
	}
	return fmt.Sprintf("%d/%d", live, len(s.Targets))
}
