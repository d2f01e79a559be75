package roles

import (
	"testing"

	"github.com/pomelospool/pomelospool/connection/demand"
)

// A fleet's first seconds ask for twice the streams of the rest of the day, since
// nothing is kept and answers wait. Its plan keeps engines for them that nobody
// asks for again, and prompts are late. A mix that turns asks again and is
// planned for; the crowd counts for no more than the tenth of the time that it
// lasted, or a quarter of what a mix that turns is given.
func TestOneCrowdIsNoTurn(t *testing.T) {
	const live, slots, now = 240, 64, 40
	day := func(streams func(look int) float64) int {
		var d Demand
		for look := range kept {
			d = append(d, demand.Load{Reading: 170, Weighty: 35, Streams: streams(look), Moving: 6})
		}
		return d.best(live, slots, now)
	}
	const usual, crowd = 590.0, 1700.0
	steady := day(func(int) float64 { return usual })
	once := day(func(look int) float64 {
		if look < 3*looksPerSecond {
			return crowd
		}
		return usual
	})
	turning := day(func(look int) float64 {
		if look%(8*looksPerSecond) < 3*looksPerSecond {
			return crowd
		}
		return usual
	})
	if 4*(once-steady) > turning-steady || turning <= steady {
		t.Errorf("%d engines decode on a steady day, %d after one crowd, %d with one every 8 s", steady, once, turning)
	}
}
