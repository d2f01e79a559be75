package pool

import "time"

const (
	sentStep  = 100 * time.Millisecond
	sentSteps = 40
)

// Sent counts requests and their estimated tokens.
type Sent struct {
	Count   int
	Prefill int
	Decode  int
}

// sent keeps the last sentSteps steps of Sent in a ring.
type sent struct {
	steps [sentSteps]Sent
	at    [sentSteps]int64
}

func (s *sent) add(now time.Time, n Sent) {
	step := now.UnixNano() / int64(sentStep)
	i := step % sentSteps
	if s.at[i] != step {
		s.at[i], s.steps[i] = step, Sent{}
	}
	s.steps[i].Count += n.Count
	s.steps[i].Prefill += n.Prefill
	s.steps[i].Decode += n.Decode
}

// since sums the steps that end after from. The step in which from lies
// counts: load is rather seen too high than too low.
func (s *sent) since(from, now time.Time) Sent {
	first := from.UnixNano() / int64(sentStep)
	oldest := now.UnixNano()/int64(sentStep) - sentSteps
	var sum Sent
	for i, n := range s.steps {
		if s.at[i] < first || s.at[i] <= oldest {
			continue
		}
		sum.Count += n.Count
		sum.Prefill += n.Prefill
		sum.Decode += n.Decode
	}
	return sum
}
