package discovery

import (
	"cmp"
	"slices"

	"github.com/pomelospool/pomelospool/port"
)

// sortByID gives every daemon the same order, whatever its map yields.
func sortByID(list []port.TargetEntry) {
	slices.SortFunc(list, func(a, b port.TargetEntry) int { return cmp.Compare(a.ID, b.ID) })
}
