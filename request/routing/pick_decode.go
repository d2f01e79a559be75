package routing

import "github.com/pomelospool/pomelospool/port"

// pickDecoder chooses the engine that decodes after a prefill engine, by the
// same method as choose. It estimates the streams that other processes start
// meanwhile from the running ones, assuming a steady state: during the lifetime
// of one stream as many streams start as are running now.
func (p *Policy) pickDecoder(s *scratch, env *environment) *Target {
	if p.opts.KVTransferRate <= 0 {
		return nil
	}
	s.decoders = s.decoders[:0]
	streams := 0
	step := 0.0
	move := env.transferTime(env.req.PromptTokens)
	for i := range s.cands {
		t := s.cands[i].target
		if role(t) == port.RolePrefill {
			continue
		}
		env.hasDecoder = true
		n := requestsAt(t)
		if env.missesObjective(t, n+1, move) {
			continue
		}
		streams += n
		step += env.stepTime(t, n+1)
		s.decoders = append(s.decoders, candidate{target: t, cost: env.decodeCost(t)})
	}
	if len(s.decoders) == 0 {
		return nil
	}
	out := float64(max(env.req.OutputTokens, 1))
	lifetime := out * step / float64(len(s.decoders))
	since := env.reportAge + p.opts.ReportLag.Seconds()
	started := max(float64(streams)*since/lifetime, 1) * p.peerShare()
	perStream := 2 * out * p.opts.StepPerStream.Seconds()
	return choose(s, s.decoders, started*perStream, splitmix64(^seedOf(env.req))).target
}
