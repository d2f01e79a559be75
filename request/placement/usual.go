package placement

import (
	"sync"
	"time"
)

const (
	// newestWeight is the weight of the newest prompt in what is usual: the
	// last 50.
	newestWeight = 0.02
	// longQueuePrompts is the number of usual prompts ahead from which on a queue is
	// more than chance.
	longQueuePrompts = 3
	// errorMargin is how many times the usual error of prediction a wait in a long
	// queue counts longer. A queue at the bound makes half of its requests late,
	// one that is shorter by the error keeps the engines as busy. In short
	// queues it refuses what would be on time: with it there a site where
	// reading binds earned 0.642 on its days with trouble, 0.659 without.
	errorMargin = 1.5
	// minYield is the least part of the queue that a prompt may wait in:
	// large prompts are served half as often as others at least.
	minYield = 0.5
)

// PromptStats is what prompts of a service usually take to be read, and how many
// tokens are answered for it. It is safe for concurrent use.
//
// The load that it answers: more prompts than the engines can read. Which of
// them are refused decides how many are served: one that needs twice the
// engine's time for each of its tokens, since nothing of it is kept, takes the
// place of two. Means of three plays of a quiet day with prompts at twice what
// can be read: 8.9 in 100 requests end refused, 9.8 without.
type PromptStats struct {
	mu        sync.Mutex
	meanRead  float64 // nanoseconds
	meanYield float64 // tokens for each nanosecond
}

// Record takes a prompt in, whether it is taken or refused.
func (u *PromptStats) Record(tokens int, read time.Duration) {
	if read <= 0 {
		return
	}
	yield := float64(tokens) / float64(read)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.meanRead == 0 {
		u.meanRead, u.meanYield = float64(read), yield
		return
	}
	u.meanRead += newestWeight * (float64(read) - u.meanRead)
	u.meanYield += newestWeight * (yield - u.meanYield)
}

// EffectiveWait is how long a wait counts for a prompt in the decision whether it is
// taken: in a long queue longer, by the usual error of prediction and the less
// the prompt yields for its time. off is that error.
func (u *PromptStats) EffectiveWait(wait time.Duration, tokens int, read, off time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	over := wait - time.Duration(longQueuePrompts*u.meanRead)
	if over <= 0 || read <= 0 || u.meanYield <= 0 {
		return wait
	}
	yield := float64(tokens) / float64(read) / u.meanYield
	part := min(max(yield, minYield), 1)
	margin := min(over, time.Duration(errorMargin*float64(off)))
	return wait + margin + time.Duration(float64(over)*(1/part-1))
}
