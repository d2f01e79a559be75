package policy

import (
	"container/heap"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/routing"
)

// job is one request on its way.
type job struct {
	arrival       // what the trace asks for
	decider   int // process that routed it
	decodeAt  *engine
	prompt    int // tokens still to compute; more than the trace's after a crash
	left      int // output tokens still to make
	endStep   int64
	first     float64 // when the first token came, 0 before
	tried     []string
	prefillAt *engine
	expected  routing.Decision // what routing expected at the last attempt
	sentAt    float64
}

// engine is one model engine. It works step by step: each step gives every
// running stream a token and takes in a chunk of the prompts that wait.
type engine struct {
	m        *Model
	name     string
	zone     string
	role     port.Role
	speed    float64
	now      float64
	steps    int64
	prompts  []*job // in order of arrival
	queued   int    // prompt tokens in prompts
	incoming []transfer
	waiting  []*job // for a place in the batch
	running  streams
	reserved int // KV tokens
	expected int // streams that prefill engines will still hand over
	cache    cache

	to       port.Role // role it changes to, or empty
	inChange bool      // away for a change, not for a crash
	worked   float64   // engine-seconds of work done
	awayTill float64   // while > now, the engine does nothing
	crashes  int
	leaving  bool

	prefillRate, decodeRate, streamsSeen float64
}

// transfer is a stream whose KV cache arrives at a time.
type transfer struct {
	j  *job
	at float64
}

// streams is a heap by the step in which they end.
type streams []*job

func (s streams) Len() int           { return len(s) }
func (s streams) Less(i, j int) bool { return s[i].endStep < s[j].endStep }
func (s streams) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *streams) Push(x any)        { *s = append(*s, x.(*job)) }
func (s *streams) Pop() any {
	old := *s
	j := old[len(old)-1]
	*s = old[:len(old)-1]
	return j
}

// rateWeight is that of the newest step in the engine's measured rates.
const rateWeight = 0.1

func (e *engine) live() bool { return e.awayTill <= e.now && !e.leaving }

// submit queues a request's prompt. What is cached needn't be computed.
func (e *engine) submit(j *job, now float64) {
	cached := e.cache.lookup(j.group, now)
	j.prompt = max(j.prompt-min(cached, j.shared), 1)
	j.prefillAt = e
	e.prompts = append(e.prompts, j)
	e.queued += j.prompt
}

// advance works until the given time and reports jobs that ended.
func (e *engine) advance(till float64, done func(*job, float64), handOver func(*job, float64)) {
	for e.now < till {
		if e.awayTill > e.now {
			e.now = min(e.awayTill, till)
			continue
		}
		e.admit()
		if len(e.running) == 0 && len(e.prompts) == 0 {
			if e.finishChange() {
				continue
			}
			e.now = e.nextIncoming(till)
			continue
		}
		e.step(done, handOver)
	}
}

func (e *engine) nextIncoming(till float64) float64 {
	next := till
	for _, t := range e.incoming {
		next = min(next, max(t.at, e.now+minIdle))
	}
	return next
}

const minIdle = 0.001

// finishChange starts the seconds away once the last stream has ended.
func (e *engine) finishChange() bool {
	idle := e.expected == 0 && len(e.incoming) == 0 && len(e.waiting) == 0
	if e.to == "" || !idle {
		return false
	}
	e.role, e.to = e.to, ""
	e.awayTill = e.now + e.m.ChangeTime
	e.inChange = true
	e.cache.clear()
	e.prefillRate, e.decodeRate, e.streamsSeen = 0, 0, 0
	return true
}

// admit moves streams whose KV cache has come into the batch, as far as there
// is place and memory.
func (e *engine) admit() {
	rest := e.incoming[:0]
	for _, t := range e.incoming {
		if t.at > e.now {
			rest = append(rest, t)
			continue
		}
		e.waiting = append(e.waiting, t.j)
	}
	e.incoming = rest
	for len(e.waiting) > 0 && len(e.running) < e.m.Streams[e.role] {
		j := e.waiting[0]
		need := j.arrival.prompt + j.out
		if e.reserved+need > e.m.KVCapacity && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.reserved += need
		j.endStep = e.steps + int64(j.left)
		heap.Push(&e.running, j)
	}
}

// chunk is how many prompt tokens the next step takes in.
func (e *engine) chunk() int {
	n := len(e.running)
	if n == 0 {
		return e.m.PrefillChunk
	}
	switch e.role {
	case port.RolePrefill:
		return e.m.PrefillChunk
	case port.RoleDecode:
		return e.m.SpillChunk
	}
	free := e.m.StepTarget*e.speed - e.m.StepBase - float64(n)*e.m.StepPerStream
	return max(int(free*e.m.PrefillRate), e.m.MinChunk)
}

func (e *engine) step(done func(*job, float64), handOver func(*job, float64)) {
	n := len(e.running)
	tokens := min(e.chunk(), e.queued)
	compute := float64(tokens) / e.m.PrefillRate
	if n > 0 {
		compute *= 1 - e.m.Overlap
	}
	took := (e.m.StepBase + float64(n)*e.m.StepPerStream + compute) / e.speed
	e.now += took
	e.steps++
	e.worked += e.m.work(float64(tokens), float64(n))
	e.measure(n, tokens, took)
	for n > 0 && len(e.running) > 0 && e.running[0].endStep <= e.steps {
		j := heap.Pop(&e.running).(*job)
		e.reserved -= j.arrival.prompt + j.out
		done(j, e.now)
	}
	e.queued -= tokens
	for tokens > 0 {
		j := e.prompts[0]
		used := min(tokens, j.prompt)
		j.prompt -= used
		tokens -= used
		if j.prompt > 0 {
			return
		}
		e.prompts = e.prompts[1:]
		e.cache.add(j.group, j.shared, e.now)
		e.prefilled(j, done, handOver)
	}
}

// prefilled ends the prompt's phase, which gives the first token.
func (e *engine) prefilled(j *job, done func(*job, float64), handOver func(*job, float64)) {
	if j.first == 0 {
		j.first = e.now
	}
	j.left--
	if j.left <= 0 {
		done(j, e.now)
		return
	}
	if j.decodeAt != e {
		handOver(j, e.now+e.m.KVMoveDelay+float64(j.arrival.prompt)/e.m.KVMoveRate)
		return
	}
	e.waiting = append(e.waiting, j)
}

func (e *engine) measure(n, tokens int, took float64) {
	if tokens > 0 {
		blend(&e.prefillRate, float64(tokens)/took)
	}
	if n > 0 {
		blend(&e.decodeRate, float64(n)/took)
	}
}

func blend(f *float64, v float64) {
	if *f == 0 {
		*f = v
	}
	*f += rateWeight * (v - *f)
}

// load is the engine's report.
func (e *engine) load() port.Load {
	left := 0
	for _, j := range e.running {
		left += int(j.endStep - e.steps)
	}
	return port.Load{
		Engine:          e.name,
		Running:         len(e.running),
		Waiting:         len(e.prompts) + len(e.waiting),
		QueuedPrefill:   e.queued,
		DecodeRemaining: left,
		KVUsed:          e.reserved,
		KVCapacity:      e.m.KVCapacity,
		PrefillRate:     e.prefillRate,
		DecodeRate:      e.decodeRate,
	}
}

// crash loses all work and memory; the engine restarts in the role it had.
func (e *engine) crash() []*job {
	var lost []*job
	lost = append(lost, e.prompts...)
	lost = append(lost, e.waiting...)
	for _, j := range e.running {
		j.left = int(j.endStep - e.steps)
		lost = append(lost, j)
	}
	for _, t := range e.incoming {
		lost = append(lost, t.j)
	}
	e.prompts, e.waiting, e.running, e.incoming = nil, nil, nil, nil
	e.queued, e.reserved, e.to = 0, 0, ""
	e.crashes++
	e.awayTill = e.now + e.m.RestartTime
	e.inChange = false
	e.cache.clear()
	e.prefillRate, e.decodeRate = 0, 0
	return lost
}

func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
