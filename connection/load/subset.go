package load

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/version/document"
)

const (
	minPerService = 8    // minimum number of watched targets of a service
	zoneShare     = 0.75 // share of the quota for the own availability zone
)

// subset selects at most quota targets: up to zoneShare of them in the process's
// own availability zone, the rest in others. It uses rendezvous hashing: the rank
// of a target depends only on its name and the process's, so that adding or
// removing a target changes at most one selected target.
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

// quota returns the number of watched targets of a service with own of all
// targets. It divides watch among the services by their number of targets.
func quota(watch, own, all int) int {
	if all <= watch {
		return own
	}
	return max(minPerService, watch*own/all)
}
