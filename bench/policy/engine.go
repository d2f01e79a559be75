package policy

import (
	"container/heap"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/routing"
)

// job is the state of one request.
type job struct {
	arrival          // from the trace
	router       int // index of the process that routes it
	decodeAt     *engine
	prompt       int // tokens still to compute; after a crash they include the output so far
	remaining    int // output tokens still to compute
	endStep      int64
	firstTokenAt float64  // time of the first token, 0 before
	tried        []string // engines that were down when the job was sent
	prefillAt    *engine
	expected     routing.Decision // the decision of the last attempt
	sentAt       float64
}

// engine simulates one model engine. In each step it computes one token of every
// running stream and a chunk of the queued prompts.
type engine struct {
	m               *Model
	name            string
	zone            string
	role            port.Role
	speed           float64
	now             float64
	steps           int64
	prompts         []*job // in order of arrival
	queuedTokens    int    // prompt tokens in prompts
	incoming        []transfer
	waiting         []*job // streams that wait for a slot in the batch
	running         streams
	reservedKV      int // KV tokens
	expectedStreams int // streams that prefill engines will still hand over
	cache           cache

	nextRole     port.Role // role that it is to change to, or empty
	changingRole bool      // the last downtime is due to a role change, not to a crash
	worked       float64   // engine-seconds of work done
	downUntil    float64   // end of the last downtime
	crashes      int
	withdrawn    bool

	prefillRate, decodeRate, streamsSeen float64
}

// transfer is a stream whose KV cache arrives at the given time.
type transfer struct {
	j  *job
	at float64
}

// streams is a heap ordered by the step in which a stream ends.
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

// rateWeight is the weight of the newest step in the moving averages of the
// engine's rates.
const rateWeight = 0.1

func (e *engine) live() bool { return e.downUntil <= e.now && !e.withdrawn }

// submit queues the prompt of a request. Cached tokens aren't computed again.
func (e *engine) submit(j *job, now float64) {
	cached := e.cache.lookup(j.group, now)
	j.prompt = max(j.prompt-min(cached, j.sharedPrefix), 1)
	j.prefillAt = e
	e.prompts = append(e.prompts, j)
	e.queuedTokens += j.prompt
}

// advance simulates the engine until the given time. It calls done for jobs that
// ended, and handOver for those whose decoding is to continue on another engine.
func (e *engine) advance(till float64, done func(*job, float64), handOver func(*job, float64)) {
	for e.now < till {
		if e.downUntil > e.now {
			e.now = min(e.downUntil, till)
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
		next = min(next, max(t.at, e.now+minIdleStep))
	}
	return next
}

const minIdleStep = 0.001

// finishChange starts the downtime of a pending role change once the last stream
// has ended. It reports whether it did.
func (e *engine) finishChange() bool {
	idle := e.expectedStreams == 0 && len(e.incoming) == 0 && len(e.waiting) == 0
	if e.nextRole == "" || !idle {
		return false
	}
	e.role, e.nextRole = e.nextRole, ""
	e.downUntil = e.now + e.m.ChangeTime
	e.changingRole = true
	e.cache.clear()
	e.prefillRate, e.decodeRate, e.streamsSeen = 0, 0, 0
	return true
}

// admit adds streams whose KV cache has arrived to the batch while there are free
// slots and memory.
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
		need := j.arrival.prompt + j.output
		if e.reservedKV+need > e.m.KVCapacity && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.reservedKV += need
		j.endStep = e.steps + int64(j.remaining)
		heap.Push(&e.running, j)
	}
}

// chunk returns the maximum number of prompt tokens that the next step computes.
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
	tokens := min(e.chunk(), e.queuedTokens)
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
		e.reservedKV -= j.arrival.prompt + j.output
		done(j, e.now)
	}
	e.queuedTokens -= tokens
	for tokens > 0 {
		j := e.prompts[0]
		used := min(tokens, j.prompt)
		j.prompt -= used
		tokens -= used
		if j.prompt > 0 {
			return
		}
		e.prompts = e.prompts[1:]
		e.cache.add(j.group, j.sharedPrefix, e.now)
		e.prefilled(j, done, handOver)
	}
}

// prefilled ends the prefill of a job, which produces its first token.
func (e *engine) prefilled(j *job, done func(*job, float64), handOver func(*job, float64)) {
	if j.firstTokenAt == 0 {
		j.firstTokenAt = e.now
	}
	j.remaining--
	if j.remaining <= 0 {
		done(j, e.now)
		return
	}
	if j.decodeAt != e {
		handOver(j, e.now+e.m.KVTransferDelay+float64(j.arrival.prompt)/e.m.KVTransferRate)
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

// load returns the load that the engine reports.
func (e *engine) load() port.Load {
	remaining := 0
	for _, j := range e.running {
		remaining += int(j.endStep - e.steps)
	}
	return port.Load{
		Engine:          e.name,
		Running:         len(e.running),
		Waiting:         len(e.prompts) + len(e.waiting),
		QueuedPrefill:   e.queuedTokens,
		DecodeRemaining: remaining,
		KVUsed:          e.reservedKV,
		KVCapacity:      e.m.KVCapacity,
		PrefillRate:     e.prefillRate,
		DecodeRate:      e.decodeRate,
	}
}

// crash drops all jobs and the cache and restarts the engine in its current
// role. It returns the lost jobs.
func (e *engine) crash() []*job {
	var lost []*job
	lost = append(lost, e.prompts...)
	lost = append(lost, e.waiting...)
	for _, j := range e.running {
		j.remaining = int(j.endStep - e.steps)
		lost = append(lost, j)
	}
	for _, t := range e.incoming {
		lost = append(lost, t.j)
	}
	e.prompts, e.waiting, e.running, e.incoming = nil, nil, nil, nil
	e.queuedTokens, e.reservedKV, e.nextRole = 0, 0, ""
	e.crashes++
	e.downUntil = e.now + e.m.RestartTime
	e.changingRole = false
	e.cache.clear()
	e.prefillRate, e.decodeRate = 0, 0
	return lost
}

func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
