package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/follow"
	"github.com/pomelospool/pomelospool/process/planner"
	"github.com/pomelospool/pomelospool/process/record"
	"github.com/pomelospool/pomelospool/standin/logsvc"
	"github.com/pomelospool/pomelospool/version/document"
)

// documentBytes is the size of a service document in the measurements: one
// with about 60 targets.
const documentBytes = 8 << 10

// Control is what the fold of the control stream costs every daemon.
type Control struct {
	Apply   Slope // time of one record over the services in the state
	Memory  Slope // of the folded state over the services
	Leases  Slope // encoded bytes over the leases
	Orders  Slope // encoded bytes over the open orders
	Recover Slope // time to start over the records since the checkpoint
}

// folder appends records to a state.
type folder struct {
	s *fold.State
}

func (f *folder) add(id string, kind record.Kind, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	data, err := json.Marshal(record.Envelope{ID: id, Kind: kind, Writer: "vm-000", Body: raw})
	if err != nil {
		panic(err)
	}
	_ = f.s.Apply(f.s.Applied+1, data)
}

func (f *folder) service(i int) {
	name := fmt.Sprintf("service-%04d", i)
	yaml := name + strings.Repeat("x", documentBytes)
	f.add("d"+name, record.KindDocument, record.Document{Service: name, YAML: yaml})
	f.add("v"+name, record.KindVerdict, record.Verdict{Service: name, Version: f.s.Applied, Accept: true})
}

func (f *folder) lease(i int) {
	f.add(fmt.Sprint("c", i), record.KindClaim, record.Claim{
		Group:  fmt.Sprintf("service-%04d/zg-dubrava/0", i),
		Holder: "vm-000/11111111-2222-3333-4444-555555555555",
		Addr:   "127.127.127.127:7001",
	})
}

func (f *folder) order(i int, claim int64) {
	f.add(fmt.Sprintf("order-11111111-2222-3333-4444-%012d", i), record.KindOrder, record.Order{
		Group: "g", Claim: claim, Engine: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256), Addr: "127.127.127.127:8000",
		Spec: port.EngineSpec{Role: port.RolePrefill, Model: "model-name", Version: "2026-12-01"}, Reason: "engine differs",
	})
}

// MeasureControl measures the fold at each number of items.
func MeasureControl(sizes []int) Control {
	var apply, memory, leases, orders, recover []Point
	for _, n := range sizes {
		x := float64(n)
		before := heap()
		f := &folder{s: fold.New()}
		for i := range n {
			f.service(i)
		}
		memory = append(memory, Point{x, heap() - before})
		apply = append(apply, Point{x, applyTime(f)})
		leases = append(leases, Point{x, encoded(func(f *folder) {
			for i := range n {
				f.lease(i)
			}
		})})
		orders = append(orders, Point{x, encoded(func(f *folder) {
			f.add("c", record.KindClaim, record.Claim{Group: "g", Holder: "vm"})
			for i := range n {
				f.order(i, 1)
			}
		})})
		recover = append(recover, Point{x, recoverTime(n)})
		runtime.KeepAlive(f)
	}
	return Control{
		Apply:   Fit("fold of one record", "services", "µs", apply...),
		Memory:  Fit("memory of the folded state", "services of 8 KiB", "B", memory...),
		Leases:  Fit("encoded leases", "groups", "B", leases...),
		Orders:  Fit("encoded open orders", "orders", "B", orders...),
		Recover: Fit("start from the log", "records since the checkpoint", "ms", recover...),
	}
}

// applyTime returns the microseconds of folding one record of 8 KiB.
func applyTime(f *folder) float64 {
	i := 0
	took := perOp(opTime, func() {
		i++
		f.service(i % 10)
	})
	return float64(took.Nanoseconds()) / 1e3 / 2
}

func encoded(fill func(*folder)) float64 {
	f := &folder{s: fold.New()}
	fill(f)
	data, err := f.s.Encode()
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// recoverTime returns the milliseconds in which a daemon that starts reads
// and folds n records of 8 KiB.
func recoverTime(n int) float64 {
	l := logsvc.New(logsvc.Options{})
	ctx := context.Background()
	for i := range n {
		body, _ := json.Marshal(record.Document{Service: "s", Base: int64(i), YAML: strings.Repeat("x", documentBytes)})
		data, _ := json.Marshal(record.Envelope{ID: fmt.Sprint(i), Kind: record.KindDocument, Writer: "vm", Body: body})
		if _, err := l.Append(ctx, record.Control, data); err != nil {
			panic(err)
		}
	}
	took := perOp(opTime, func() {
		if _, err := follow.Recover(ctx, l); err != nil {
			panic(err)
		}
	})
	return float64(took.Nanoseconds()) / 1e6
}

// MeasurePlan returns the time in microseconds of one plan over engines, and
// the bytes that its state keeps.
func MeasurePlan(sizes []int) (cpu, memory Slope) {
	var times, bytes []Point
	doc := planDocument()
	for _, n := range sizes {
		obs := observation(n)
		before := heap()
		state, now := planner.State{}, time.Duration(0)
		for range 60 {
			now += time.Second
			step(&obs)
			state, _ = planner.Plan(now, obs, doc, state)
		}
		bytes = append(bytes, Point{float64(n), max(heap()-before, 0)})
		took := perOp(opTime, func() {
			now += time.Second
			step(&obs)
			state, _ = planner.Plan(now, obs, doc, state)
		})
		times = append(times, Point{float64(n), float64(took.Nanoseconds()) / 1e3})
		runtime.KeepAlive(state)
	}
	return Fit("one plan", "engines of a model", "µs", times...), Fit("memory of the planner", "engines of a model", "B", bytes...)
}

func planDocument() *document.Document {
	return &document.Document{
		Service:    "s",
		Kind:       document.KindModel,
		Models:     []document.Model{{Name: "m", Version: "1", MaxTokens: 32768}},
		Objectives: document.Objectives{FirstToken: 1600 * time.Millisecond, BetweenTokens: 36 * time.Millisecond, Answer: 30 * time.Second, Target: 0.95},
		Roles:      document.Roles{GoodputWeight: 0.9, MinPrefill: 1, MinDecode: 1, MaxChanging: 1, ChangeTime: 8 * time.Second, MinDwell: time.Minute},
	}
}

var roles = []port.Role{port.RolePrefill, port.RoleDecode, port.RoleMixed}

func observation(n int) planner.Observation {
	var obs planner.Observation
	for i := range n {
		obs.Engines = append(obs.Engines, planner.Engine{
			Name: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256), Group: "g", Incarnation: "1", Role: roles[i%len(roles)], Live: true,
			Load: port.Load{Running: 8, QueuedPrefill: 2000, DecodeRemaining: 900, KVUsed: 40000, KVCapacity: 131072, PrefillRate: 9000, DecodeRate: 400},
		})
	}
	return obs
}

// step lets a second's demand arrive, about what the engines carry.
func step(obs *planner.Observation) {
	n := float64(len(obs.Engines))
	obs.Requests += 4.5 * n
	obs.Prefill += 3000 * n
	obs.Decode += 1000 * n
}
