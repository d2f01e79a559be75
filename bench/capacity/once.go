package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
	"github.com/pomelospool/pomelospool/request/once"
)

// MeasureOnce returns the memory of one shard's fold over the keys in it,
// each with an intent and a kept answer of 100 bytes.
func MeasureOnce(sizes []int) Slope {
	var points []Point
	for _, n := range sizes {
		before := heap()
		f := once.NewFold(1)
		for i := range n {
			f.Apply(port.Record{Offset: int64(i + 1), Data: onceBatch(i)})
		}
		points = append(points, Point{float64(n), heap() - before})
		runtime.KeepAlive(f)
	}
	return Fit("memory of one at-most-once shard", "keys", "B", points...)
}

func onceBatch(i int) []byte {
	key, attempt := fmt.Sprintf("confirmation-%08d", i), fmt.Sprintf("vm-000/11111111-2222-3333-4444-555555555555#%d", i)
	intent := record.Intent{Service: "halen-application", Key: key, Attempt: attempt, Digest: uint64(i), At: 1}
	result := record.Result{Service: "halen-application", Key: key, Attempt: attempt, Status: 200, Type: "application/json", Body: make([]byte, 100), Kept: true}
	b := record.Batch{Records: []record.Envelope{
		{ID: "i/" + attempt, Kind: record.KindIntent, Writer: "vm-000/11111111-2222-3333-4444-555555555555", Body: raw(intent)},
		{ID: "r/" + attempt, Kind: record.KindResult, Writer: "vm-000/11111111-2222-3333-4444-555555555555", Body: raw(result)},
	}}
	return raw(b)
}

func raw(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
