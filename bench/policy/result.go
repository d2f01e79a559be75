package policy

import "math"

// Result is what one system did on one trace. Work is counted in
// engine-seconds on dedicated engines, so that a long prompt and a long output
// weigh what they cost.
type Result struct {
	System      string  `json:"system"`
	Trace       string  `json:"trace"`
	Seed        uint64  `json:"seed"`
	Goodput     float64 `json:"goodput"` // engines' worth of work finished within all objectives
	Bound       float64 `json:"bound"`   // of the plan in hindsight
	Share       float64 `json:"share"`   // Goodput / Bound
	Tokens      float64 `json:"tokens"`  // output tokens/s within all objectives
	Offered     int     `json:"offered"` // requests
	OnTime      int     `json:"on_time"`
	Refused     int     `json:"refused"`
	LateFirst   int     `json:"late_first"`
	LateBetween int     `json:"late_between"`
	LateAnswer  int     `json:"late_answer"`
	Lost        int     `json:"lost"` // in crashes, with no engine to go on
	Changes     int     `json:"changes"`
	LostEach    float64 `json:"lost_each"`    // engine-seconds of work for each change
	FirstBias   float64 `json:"first_bias"`   // mean seconds by which the first token came later than expected
	FirstError  float64 `json:"first_error"`  // mean seconds off, either way
	FinishRatio float64 `json:"finish_ratio"` // mean time to the end over the expected one

	offered, onTime, tokens, lost float64
	ended                         int
	Points                        []Point `json:"-"`
}

// Point is ten seconds of a run.
type Point struct {
	At      float64
	Offered float64 // engines' worth of work
	OnTime  float64
	Changes int
	Roles   [3]int // prefill, mixed, decode
}

// compare sums how far routing's estimates were off.
func (r *Result) compare(j *job, at float64) {
	if j.expected.TimeToCompletion <= 0 || len(j.tried) > 0 {
		return
	}
	off := j.first - j.sentAt - j.expected.TimeToFirstToken.Seconds()
	r.ended++
	r.FirstBias += off
	r.FirstError += math.Abs(off)
	r.FinishRatio += (at - j.sentAt) / j.expected.TimeToCompletion.Seconds()
}

func (r *Result) finish(t *Trace) {
	r.Trace, r.Seed = t.Name, t.Seed
	r.Goodput = r.onTime / t.Length
	r.Tokens = r.tokens / t.Length
	if r.ended > 0 {
		r.FirstBias /= float64(r.ended)
		r.FirstError /= float64(r.ended)
		r.FinishRatio /= float64(r.ended)
	}
	if r.Changes > 0 {
		r.LostEach = r.lost / float64(r.Changes)
	}
}
