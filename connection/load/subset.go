package load

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/version/document"
)

const (
	minPerService = 8 // targets of a service that are watched at least
	zoneShare     = 0.75
)

// subset picks at most quota of targets: those of the process's own
// availability zone first, up to zoneShare, then a stable hashed few of the
// others. The choice depends on the process's name and on each target alone,
// so one target more or less changes one place only.
func subset(targets []document.Target, zone, process string, quota int) []document.Target {
	if len(targets) <= quota {
		return targets
	}
	ranked := slices.Clone(targets)
	slices.SortFunc(ranked, func(a, b document.Target) int {
		return cmp.Compare(rank(process, a), rank(process, b))
	})
	var own, others []document.Target
	for _, t := range ranked {
		if t.Zone == zone {
			own = append(own, t)
		} else {
			others = append(others, t)
		}
	}
	nOwn := min(len(own), int(float64(quota)*zoneShare))
	nOthers := min(len(others), quota-nOwn)
	nOwn = min(len(own), quota-nOthers)
	return append(own[:nOwn:nOwn], others[:nOthers]...)
}

func rank(process string, t document.Target) uint64 {
	return xxhash.Sum64String(process + "\x00" + t.Name)
}

// quota shares watch places among services by their number of targets.
func quota(watch, own, all int) int {
	if all <= watch {
		return own
	}
	return max(minPerService, watch*own/all)
}
