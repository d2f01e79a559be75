package policy

import "math"

// Result is the result of one system on one trace. Work is counted in
// engine-seconds on dedicated engines, so that prompts and outputs are weighted
// by their cost.
type Result struct {
	System            string  `json:"system"`
	Trace             string  `json:"trace"`
	Seed              uint64  `json:"seed"`
	Goodput           float64 `json:"goodput"` // work that met all objectives, in engines
	Bound             float64 `json:"bound"`   // upper bound of the goodput, see Bound
	Share             float64 `json:"share"`   // Goodput / Bound
	Tokens            float64 `json:"tokens"`  // output tokens/s within all objectives
	Offered           int     `json:"offered"` // requests
	OnTime            int     `json:"on_time"`
	Refused           int     `json:"refused"`
	LateFirstToken    int     `json:"late_first"`
	LateBetweenTokens int     `json:"late_between"`
	LateAnswer        int     `json:"late_answer"`
	Lost              int     `json:"lost"` // lost their engine in a crash and found no other before the deadline
	Changes           int     `json:"changes"`
	LostPerChange     float64 `json:"lost_each"`    // engine-seconds of work lost per role change
	FirstBias         float64 `json:"first_bias"`   // mean of the first token's time minus the predicted time, in seconds
	FirstError        float64 `json:"first_error"`  // mean absolute error of the predicted time to the first token, in seconds
	FinishRatio       float64 `json:"finish_ratio"` // mean ratio of the time to completion to the predicted one

	offered, onTimeWork, tokens, lostWork float64
	compared                              int
	Points                                []Point `json:"-"`
}

// Point summarises ten seconds of a run.
type Point struct {
	At      float64
	Offered float64 // offered work in engines
	OnTime  float64
	Changes int
	Roles   [3]int // prefill, mixed, decode
}

// comparePrediction adds the errors of the predictions that routing made for a
// job. Jobs for which routing first chose an engine that was down don't count.
func (r *Result) comparePrediction(j *job, at float64) {
	if j.expected.TimeToCompletion <= 0 || len(j.tried) > 0 {
		return
	}
	deviation := j.firstTokenAt - j.sentAt - j.expected.TimeToFirstToken.Seconds()
	r.compared++
	r.FirstBias += deviation
	r.FirstError += math.Abs(deviation)
	r.FinishRatio += (at - j.sentAt) / j.expected.TimeToCompletion.Seconds()
}

func (r *Result) finish(t *Trace) {
	r.Trace, r.Seed = t.Name, t.Seed
	r.Goodput = r.onTimeWork / t.Length
	r.Tokens = r.tokens / t.Length
	if r.compared > 0 {
		r.FirstBias /= float64(r.compared)
		r.FirstError /= float64(r.compared)
		r.FinishRatio /= float64(r.compared)
	}
	if r.Changes > 0 {
		r.LostPerChange = r.lostWork / float64(r.Changes)
	}
}
