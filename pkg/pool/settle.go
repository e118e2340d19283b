package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/limiter"
)

// finish settles a grant: the slot, the cost, and what the latencies tell.
func (o *Owner) finish(g *grant, s Settle) {
	cost := s.CostUnits
	if !sent(s.Outcome) {
		cost = 0
	}
	o.ledger.Settle(g.flow.Account(), g.estimate, cost)
	o.queue.Ended(o.now, g.flow)
	if s.Outcome == OutcomeOK {
		o.costs.Learn(g.flow.Name, g.class.Name, g.hint, g.prompt, cost)
		o.stats.learn(o.now.Sub(g.granted), cost, &g.class, s.FirstToken)
	}
	if g.loan != nil {
		o.returnUsed(g.loan, s)
	}
	if g.server != nil {
		o.vacate(g, s)
	}
	o.forget(g)
}

func (o *Owner) forget(g *grant) {
	delete(o.grants, g.key)
	delete(o.granted, g.request)
	*g = grant{}
	o.freeGrant = append(o.freeGrant, g)
}

// sent reports whether a byte of the request may have reached the server.
func sent(outcome Outcome) bool {
	return outcome != OutcomeUnused && outcome != OutcomeConnectFailed
}

// sampleOf translates an outcome for the limiter.
func sampleOf(s Settle, granted time.Time, target time.Duration) limiter.Sample {
	return limiter.Sample{
		Result:         resultOf(s.Outcome),
		Granted:        granted,
		FirstToken:     s.FirstToken,
		TokenInterval:  s.TokenInterval,
		IntervalTarget: target,
	}
}

func resultOf(outcome Outcome) limiter.Result {
	switch outcome {
	case OutcomeOK:
		return limiter.Success
	case OutcomeConnectFailed, OutcomeBroken:
		return limiter.Dropped
	case OutcomeSilent:
		return limiter.Stalled
	default:
		return limiter.Neutral
	}
}

// stats are the means that predictions use.
type stats struct {
	hold  time.Duration // grant to settle
	cost  float64       // service units of a request
	first time.Duration // dispatch to first token
}

// statsGain is the weight of the newest request, about the last 20 requests.
const statsGain = 0.05

func (t *stats) learn(hold time.Duration, cost uint64, c *class.Class, first time.Duration) {
	if t.hold == 0 {
		t.hold, t.cost = hold, float64(cost)
	}
	t.hold += time.Duration(statsGain * float64(hold-t.hold))
	t.cost += statsGain * (float64(cost) - t.cost)
	if c.FirstToken == 0 {
		first = hold
	}
	if t.first == 0 {
		t.first = first
	}
	t.first += time.Duration(statsGain * float64(first-t.first))
}

// answerTime returns the time from dispatch to the first token, at most half
// the target, so that a slow phase cannot refuse a whole class.
func (t *stats) answerTime(c *class.Class) time.Duration {
	return min(t.first, c.Target()/2)
}
