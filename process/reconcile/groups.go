// Package reconcile keeps model engines in the state that their documents and the
// role planner specify. Each change is an order that is appended to the log before
// it is sent.
package reconcile

import (
	"fmt"
	"slices"

	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// MaxGroupSize is the maximum number of engines under one lease.
const MaxGroupSize = 16

// Member is one engine of a group. Engines are identified by their address,
// because names are unique only within one document.
type Member struct {
	Engine string // host:port
	Target document.Target
	Doc    *document.Document
}

// Group is the set of engines that one lease covers. They belong to one service
// and one availability zone, and there are at most MaxGroupSize.
type Group struct {
	Name    string // service/zone/number
	Zone    string
	Engines []Member
}

// Groups returns the groups of all model services, ordered by service, zone and
// number. Engines are split in the order of the document, so that an engine
// appended to the document moves no other. An engine that two documents name
// belongs to the service whose name sorts first, so that two holders can't
// alternately send it orders based on different documents.
func Groups(snap *view.Snapshot) []Group {
	var groups []Group
	taken := make(map[string]bool)
	for _, name := range sortedNames(snap) {
		doc := snap.Services[name].Doc
		if doc.Kind == document.KindModel {
			groups = append(groups, split(doc, taken)...)
		}
	}
	return groups
}

// Names returns the names of the groups.
func Names(groups []Group) []string {
	names := make([]string, len(groups))
	for i, g := range groups {
		names[i] = g.Name
	}
	return names
}

func sortedNames(snap *view.Snapshot) []string {
	names := make([]string, 0, len(snap.Services))
	for name := range snap.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// split returns the groups of one document and marks their engines as taken.
func split(doc *document.Document, taken map[string]bool) []Group {
	zones := make(map[string][]Member)
	for _, t := range doc.Targets {
		if taken[t.Addr] {
			continue
		}
		taken[t.Addr] = true
		zones[t.Zone] = append(zones[t.Zone], Member{Engine: t.Addr, Target: t, Doc: doc})
	}
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, z)
	}
	slices.Sort(names)
	var groups []Group
	for _, z := range names {
		for i, part := range slices.Collect(slices.Chunk(zones[z], MaxGroupSize)) {
			groups = append(groups, Group{Name: fmt.Sprintf("%s/%s/%d", doc.Service, z, i), Zone: z, Engines: part})
		}
	}
	return groups
}
