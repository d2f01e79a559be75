package relay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/topic"
)

// leavingFleet is a daemon with two readers in its zone and two daemons in other
// zones that read the store.
type leavingFleet struct {
	bound   time.Duration
	daemons int
	store   *sharedStore
	net     stallingTransport
	now     func() time.Duration
	all     []*follower
}

// addReader adds a daemon that reads the store itself.
func (f *leavingFleet) addReader(vm string) { f.add(vm, nil, nil) }

func (f *leavingFleet) add(vm string, readers, peers []string) *follower {
	out := &follower{known: make(map[string]bool)}
	cache := NewTopicCache(out, nil)
	cache.now = f.now
	s := NewStore(vmStore{s: f.store, vm: vm}, func() []string { return readers }, func() []string { return nil }, port.TopicTargets)
	s.now, s.client = f.now, &http.Client{Transport: f.net}
	s.PeersWithStore = func() []string { return append([]string(nil), peers...) }
	configureTiming(s, f.bound, f.daemons)
	out.store = s
	f.net.memoryTransport[vm] = Handler(map[port.Topic]*TopicCache{port.TopicTargets: cache})
	out.Follower = topic.New(topic.Options{
		Store: s, Topic: port.TopicTargets, Name: vm, Sink: cache,
		Wait:         func() time.Duration { return ReadWait(f.bound, 1) },
		ReadInterval: func() time.Duration { return ReadInterval(f.bound) },
		OnCurrent:    func(next int64) { cache.Confirm(s.AsOf(port.TopicTargets), s.AvailableSince(port.TopicTargets), next) },
	})
	f.all = append(f.all, out)
	return out
}

// stall makes daemons accept requests of others without an answer.
func (f *leavingFleet) stall(vms ...string) {
	for _, vm := range vms {
		f.net.stalled.Store(vm, true)
	}
}

// stallingTransport carries requests to daemons, of which some don't answer.
type stallingTransport struct {
	memoryTransport
	stalled *sync.Map // by VM
}

func (s stallingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := s.memoryTransport.RoundTrip(req)
	if _, stalled := s.stalled.Load(req.URL.Host); stalled {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	return resp, err
}

func (f *leavingFleet) silence(vms ...string) {
	for _, vm := range vms {
		f.store.stopAnswering(vm)
	}
}

// stallDelays are the times between a daemon's loss of the store and the end of its
// answers to other daemons, as shares of the bound.
var stallDelays = []float64{0, 0.2, 0.4, 0.5, 0.7}

// lossOf returns cases in which daemons lose the store and then don't answer either.
func lossOf(lost ...string) map[string]func(f *leavingFleet) {
	out := map[string]func(f *leavingFleet){
		"": func(f *leavingFleet) { f.silence(lost...) },
	}
	for _, share := range stallDelays {
		out[fmt.Sprintf(", silent to daemons after %v of the bound", share)] = func(f *leavingFleet) {
			f.silence(lost...)
			time.AfterFunc(time.Duration(share*float64(f.bound)), func() { f.stall(lost...) })
		}
	}
	return out
}

// Guards against requests to a target that left more than its bound ago: each way by
// which a daemon learns of it must leave a fifth of the bound to spare, whatever its
// readers do.
func TestEachWayToLearnOfALeavingTargetFitsTheBound(t *testing.T) {
	ways := map[string]map[string]func(f *leavingFleet){
		"all sound":                               {"": func(*leavingFleet) {}},
		"reader without the store":                lossOf("first"),
		"both readers without the store":          lossOf("first", "second"),
		"all but one other daemon without it":     lossOf("first", "second", "elsewhere-1"),
		"no other daemon with the store":          lossOf("first", "second", "elsewhere-1", "elsewhere-2"),
		"reader stalls, the other one without it": {"": func(f *leavingFleet) { f.stall("first"); f.silence("second") }},
	}
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		for _, daemons := range []int{18, 90, 985} {
			for way, cases := range ways {
				if daemons > maxCallersInTime && way == "no other daemon with the store" {
					continue // see TestSampleOfALargeFleetCallsTheStoreInTime
				}
				for name, fail := range cases {
					for _, interval := range []time.Duration{50 * time.Millisecond, time.Hour} {
						t.Run(fmt.Sprintf("%v/%d/%s%s/%v", bound, daemons, way, name, interval), func(t *testing.T) {
							t.Parallel()
							for phase := range 4 {
								learnsInTime(t, bound, daemons, interval, phase, fail)
							}
						})
					}
				}
			}
		}
	}
}

// learnsInTime starts a fleet, makes it fail, and has targets leave at several moments
// of the failure. Targets that change write records at the given interval.
func learnsInTime(t *testing.T, bound time.Duration, daemons int, interval time.Duration, phase int, fail func(f *leavingFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &leavingFleet{
			bound: bound, daemons: daemons, net: stallingTransport{memoryTransport: memoryTransport{}, stalled: &sync.Map{}}, now: clock.NewRuntime().Now,
			store: &sharedStore{changed: make(chan struct{}), silent: make(map[string]bool)},
		}
		for _, vm := range []string{"first", "second", "elsewhere-1", "elsewhere-2"} {
			f.addReader(vm)
		}
		own := f.add("own", []string{"first", "second"}, []string{"elsewhere-1", "elsewhere-2"})
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for pause.For(ctx, interval) == nil {
				f.store.add("stays")
			}
		}()
		for _, d := range f.all {
			d.Start()
		}
		_ = pause.For(ctx, 5*time.Second+time.Duration(phase)*ReadWait(bound, 1)/4)
		fail(f)
		limit := bound * 4 / 5
		for n := range 12 {
			key := fmt.Sprint("leaves ", n)
			f.store.add(key)
			at := f.now()
			time.AfterFunc(limit, func() {
				if !own.hasKey(key) {
					t.Errorf("phase %d: target %d, which leaves at %v, isn't known after %v; the data is %v old",
						phase, n, at, limit, f.now()-own.store.AsOf(port.TopicTargets))
				}
			})
			_ = pause.For(ctx, bound/10)
		}
		_ = pause.For(ctx, limit)
		stop()
		for _, d := range f.all {
			_ = d.Stop()
		}
	})
}

// Guards against a large fleet whose readers all lose the store and in which nobody
// calls it in time: a sample of the daemons must, and the others read from them.
func TestSampleOfALargeFleetCallsTheStoreInTime(t *testing.T) {
	const bound, daemons = 3 * time.Second, 985
	synctest.Test(t, func(t *testing.T) {
		f := &leavingFleet{
			bound: bound, daemons: daemons, net: stallingTransport{memoryTransport: memoryTransport{}, stalled: &sync.Map{}}, now: clock.NewRuntime().Now,
			store: &sharedStore{changed: make(chan struct{}), silent: make(map[string]bool)},
		}
		f.addReader("first")
		f.addReader("second")
		sampled := f.add("sampled", []string{"first", "second"}, nil)
		own := f.add("own", []string{"first", "second"}, []string{"sampled"})
		sampled.store.callerRank, own.store.callerRank = 0.1, 0.2
		for _, d := range f.all {
			d.Start()
		}
		_ = pause.For(t.Context(), 5*time.Second)
		f.silence("first", "second", "own")
		f.store.add("leaves")
		_ = pause.For(t.Context(), bound*4/5)
		if !sampled.hasKey("leaves") || !own.hasKey("leaves") {
			t.Errorf("known to the sampled daemon: %v, to the other one: %v", sampled.hasKey("leaves"), own.hasKey("leaves"))
		}
		for _, d := range f.all {
			_ = d.Stop()
		}
	})
}

// Guards against a removed target that is kept as if its entry had lapsed in an outage,
// and gets requests for seconds: a daemon that alone can read the store, and calls it
// only as its data gets too old, must know that the store was available meanwhile.
func TestOwnCallShowsThatTheStoreWasAvailable(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &leavingFleet{
					bound: bound, daemons: 90, net: stallingTransport{memoryTransport: memoryTransport{}, stalled: &sync.Map{}}, now: clock.NewRuntime().Now,
					store: &sharedStore{changed: make(chan struct{}), silent: make(map[string]bool)},
				}
				f.addReader("first")
				own := f.add("own", []string{"first"}, nil)
				for _, d := range f.all {
					d.Start()
				}
				_ = pause.For(t.Context(), 5*time.Second)
				lost := f.now()
				f.silence("first")
				f.store.add("leaves")
				_ = pause.For(t.Context(), bound*4/5)
				if since := own.store.AvailableSince(port.TopicTargets); !own.hasKey("leaves") || since >= lost {
					t.Errorf("known: %v; the store counts as available since %v, the reader lost it at %v", own.hasKey("leaves"), since, lost)
				}
				for _, d := range f.all {
					_ = d.Stop()
				}
			})
		})
	}
}

// Guards against more calls to a store that is away: a call before its turn must take the
// place of the next one.
func TestCallInTimeTakesThePlaceOfTheNext(t *testing.T) {
	const turn, delay = 3 * time.Second, 2 * time.Second
	for called, want := range map[time.Duration]time.Duration{time.Second: turn + delay, 2 * turn: 2*turn + delay} {
		s := NewStore(nil, nil, nil, port.TopicTargets)
		s.now = func() time.Duration { return called }
		s.RetryDelay = func(bool) time.Duration { return delay }
		s.nextStoreCall = turn
		s.deferStoreCalls(true)
		if s.nextStoreCall != want {
			t.Errorf("after a failed call at %v the next one is at %v, want %v", called, s.nextStoreCall, want)
		}
	}
}

func configureTiming(s *Store, bound time.Duration, daemons int) {
	s.Bound = func(port.Topic) time.Duration { return bound }
	s.Daemons = func() int { return daemons }
	s.RetryDelay = func(readersAnswer bool) time.Duration {
		if readersAnswer {
			return FleetInterval(daemons)
		}
		return DirectInterval(bound, daemons)
	}
}
