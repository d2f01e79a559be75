package scale

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
)

// Guards against a service whose targets aren't ordered any more, or in absurd numbers,
// since another writer has replaced its stored capacity.
func TestOddCapacityIsTakenAnew(t *testing.T) {
	for name, odd := range map[string]string{
		"nonsense": "\xff", "too large": `{"capacity":9223372036854775807}`, "over 64 bits": `{"capacity":1e40}`, "negative": `{"capacity":-9}`, "none": `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			withPlatform(t, func(t *testing.T, p *fakePlatform, steady clock.Clock) {
				if _, err := p.PutAt(t.Context(), port.TopicScale, "llm", []byte(odd), 0); err != nil {
					t.Fatal(err)
				}
				p.startScaler(t, "vm-1", steady, true)
				time.Sleep(3 * time.Minute)
				if c := p.count().total(); c.OnDemand+c.Spot < 3*47 || c.OnDemand+c.Spot > 2*3*47 || c.Spot == 0 {
					t.Errorf("%+v", c)
				}
			})
		})
	}
}
