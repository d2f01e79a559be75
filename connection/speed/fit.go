package speed

import "time"

const (
	// promptDecay is the factor by which each prompt reduces the weights of the earlier
	// ones. About the last 150 prompts count, so that the fit follows a change of the
	// engines within that many.
	promptDecay = 1 - 1.0/150
	// queuedPenalty reduces the weight of prompts that waited, in proportion to the
	// wait relative to the prefill time. Their prefill time is uncertain, since the
	// wait is only predicted.
	queuedPenalty = 2.0
	// outlierFactor bounds the time of a prompt to a multiple of the prediction. Work
	// that other daemons haven't reported yet makes single prompts much slower.
	outlierFactor = 1.7
	// ridge regularizes fits of nearly identical samples, as a share of the weights.
	ridge = 1e-4
)

// termCount is the number of regressors: a constant, thousands of tokens, and
// millions of pairs.
const termCount = 3

// fit is a least-squares fit of the time of prompts over their missing tokens and
// pairs, with exponentially decaying weights. Terms with negative coefficients are
// left out, since no work takes a negative time.
type fit struct {
	xx    [termCount][termCount]float64
	xy    [termCount]float64
	n     int
	coeff [termCount]float64 // milliseconds
}

func regressors(p Sample) [termCount]float64 {
	return [termCount]float64{1, float64(p.Missing) / 1e3, pairs(p.Prompt, p.Missing) / 1e3}
}

func (f *fit) add(p Sample) {
	x := regressors(p)
	predicted := f.coeff[0] + f.coeff[1]*x[1] + f.coeff[2]*x[2]
	y := max(float64(p.Duration-p.PredictedWait)/float64(time.Millisecond), 0)
	y = p.atService(y, f.coeff[0])
	weight := 1.0
	if f.n >= minPrompts && predicted > 0 {
		y = min(y, outlierFactor*predicted)
		weight = 1 / (1 + queuedPenalty*p.PredictedWait.Seconds()*1e3/predicted)
	}
	for i := range termCount {
		for j := range termCount {
			f.xx[i][j] = promptDecay*f.xx[i][j] + weight*x[i]*x[j]
		}
		f.xy[i] = promptDecay*f.xy[i] + weight*x[i]*y
	}
	f.n++
	f.solve()
}

// solve fits all terms, and repeats the fit without negative ones.
func (f *fit) solve() {
	use := [termCount]bool{true, true, true}
	for range termCount {
		c := f.solveWith(use)
		worst := -1
		for i := range termCount {
			if use[i] && c[i] < 0 && (worst < 0 || c[i] < c[worst]) {
				worst = i
			}
		}
		f.coeff = c
		if worst < 0 {
			return
		}
		use[worst], f.coeff[worst] = false, 0
	}
}

// solveWith solves the normal equations for the terms in use, by Gaussian
// elimination.
func (f *fit) solveWith(use [termCount]bool) (c [termCount]float64) {
	a, b := f.xx, f.xy
	for i := range termCount {
		a[i][i] += ridge * (a[i][i] + 1e-9)
		if use[i] {
			continue
		}
		for j := range termCount {
			a[i][j], a[j][i] = 0, 0
		}
		a[i][i], b[i] = 1, 0
	}
	for i := range termCount {
		for r := i + 1; r < termCount; r++ {
			m := a[r][i] / a[i][i]
			for j := i; j < termCount; j++ {
				a[r][j] -= m * a[i][j]
			}
			b[r] -= m * b[i]
		}
	}
	for i := termCount - 1; i >= 0; i-- {
		c[i] = b[i]
		for j := i + 1; j < termCount; j++ {
			c[i] -= a[i][j] * c[j]
		}
		c[i] /= a[i][i]
	}
	return c
}

func (f *fit) estimates() Estimates {
	const perMs = float64(time.Millisecond)
	return Estimates{
		PerToken:       f.coeff[1] * perMs / 1e3,
		PerPair:        f.coeff[2] * perMs / 1e3,
		PromptOverhead: time.Duration(f.coeff[0] * perMs),
		Prompts:        f.n,
	}
}
