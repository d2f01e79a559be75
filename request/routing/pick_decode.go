package routing

import "github.com/pomelospool/pomelospool/port"

// pickDecoder chooses the engine that decodes after a prefill engine, in the
// way of choose. The streams that others start meanwhile are known from those that run:
// in the time that a stream lasts, as many start as run now.
func (p *Policy) pickDecoder(s *scratch, env *environment) *Target {
	if p.opts.KVMoveRate <= 0 {
		return nil
	}
	s.decoders = s.decoders[:0]
	streams := 0
	step := 0.0
	move := env.moveTime(env.r.PromptTokens)
	for i := range s.cands {
		t := s.cands[i].t
		if role(t) == port.RolePrefill {
			continue
		}
		env.decodes = true
		n := requestsAt(t)
		if env.breaksPace(t, n+1, move) {
			continue
		}
		streams += n
		step += env.stepTime(t, n+1)
		s.decoders = append(s.decoders, candidate{t: t, cost: env.decodeCost(t)})
	}
	if len(s.decoders) == 0 {
		return nil
	}
	out := float64(max(env.r.OutputTokens, 1))
	lasts := out * step / float64(len(s.decoders))
	since := env.age + p.opts.Lag.Seconds()
	started := max(float64(streams)*since/lasts, 1) * p.othersShare()
	perStream := 2 * out * p.opts.StepPerStream.Seconds()
	return choose(s, s.decoders, started*perStream, mix(^seedOf(env.r))).t
}
