package usage

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/port"
)

// writeOdd writes a record into the topic of the usage as another writer would.
func (f *fleet) writeOdd(key string, value []byte) {
	f.t.Helper()
	page, err := f.store.Newest(f.t.Context(), port.TopicUsage, "")
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.store.PutAt(f.t.Context(), port.TopicUsage, key, value, page.End); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against usage that isn't reported any more, since another writer has left one odd
// record among the counts.
func TestReportsGoOnAfterAnOddRecord(t *testing.T) {
	marshal := func(v any) []byte {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	row := func(window int64) []byte {
		return marshal(rowsRecord{Orgs: []string{"o9"}, Rows: []storedRow{{VM: "vm-9", First: window, Window: window, Total: 1, Counts: [][2]uint32{{0, 1}}}}})
	}
	for name, odd := range map[string]struct {
		key   string
		value []byte
	}{
		"final no CBOR":          {keyFinal, []byte("\xff{")},
		"final a text":           {keyFinal, marshal("x")},
		"final of a later age":   {keyFinal, marshal(finalRecord{Window: math.MaxInt64})},
		"rows no CBOR":           {keyRows, []byte("{")},
		"rows nested":            {keyRows, bytes.Repeat([]byte("\x81"), 40)},
		"rows of an earlier age": {keyRows, row(math.MinInt64 + 5)},
		"rows of a later age":    {keyRows, row(math.MaxInt64)},
		"another key":            {"odd", []byte("\xff")},
	} {
		for when, early := range map[string]bool{"at the start": true, "while it leads": false} {
			t.Run(name+" "+when, func(t *testing.T) {
				withFleet(t, 3, func(f *fleet) {
					want := 0
					if !early {
						want += f.run(2 * period)
					}
					f.writeOdd(odd.key, odd.value)
					want += f.run(3 * period)
					time.Sleep(2 * period)
					f.check()
					if got := f.duties.total(); got != want {
						f.t.Errorf("reported %d of %d", got, want)
					}
				})
			})
		}
	}
}
