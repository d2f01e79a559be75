package policy

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
	LostEach    float64 `json:"lost_each"` // engine-seconds of work for each change

	offered, onTime, tokens, lost float64
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

func (r *Result) finish(t *Trace) {
	r.Trace, r.Seed = t.Name, t.Seed
	r.Goodput = r.onTime / t.Length
	r.Tokens = r.tokens / t.Length
	if r.Changes > 0 {
		r.LostEach = r.lost / float64(r.Changes)
	}
}
