package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/limiter"
)

// settleGrant ends a grant: it charges the actual cost, updates the estimates
// and averages after a success, returns the slot and deletes the grant.
func (o *Owner) settleGrant(g *grant, s Settle) {
	cost := s.CostUnits
	if !mayHaveReachedServer(s.Outcome) {
		cost = 0
		o.refundTakeUp(g.flow, g.takeUpUnits)
	}
	o.ledger.Settle(g.flow.Account(), g.estimateUnits, cost)
	o.queue.RecordEnd(o.now, g.flow)
	if s.Outcome == OutcomeOK {
		o.costs.Observe(g.flow.Name, g.class.Name, g.hintUnits, g.promptUnits, cost)
		o.stats.observe(o.now.Sub(g.granted), cost, &g.class, s.FirstToken)
	}
	if g.loan != nil {
		o.returnBorrowedSlot(g.loan, s)
	}
	if g.server != nil {
		if g.rateCharged && !mayHaveReachedServer(s.Outcome) && g.message.BootID == g.server.announcement.BootID {
			o.returnRequest(g.server)
		}
		o.settleGrantSlot(g, s)
	}
	o.deleteGrant(g)
}

// deleteGrant removes a grant from the tables and recycles its memory.
func (o *Owner) deleteGrant(g *grant) {
	delete(o.grants, g.key)
	delete(o.granted, g.request)
	*g = grant{}
	o.freeGrants = append(o.freeGrants, g)
}

// mayHaveReachedServer reports whether a byte of the request may have reached
// the server.
func mayHaveReachedServer(outcome Outcome) bool {
	return outcome != OutcomeUnused && outcome != OutcomeConnectFailed
}

// limiterSample converts a settle into a sample for the limiter. target is the
// token interval target of the class, 0 if there is none.
func limiterSample(s Settle, granted time.Time, target time.Duration) limiter.Sample {
	return limiter.Sample{
		Result:         limiterResult(s.Outcome),
		GrantedAt:      granted,
		FirstToken:     s.FirstToken,
		TokenInterval:  s.TokenInterval,
		IntervalTarget: target,
	}
}

func limiterResult(outcome Outcome) limiter.Result {
	switch outcome {
	case OutcomeOK:
		return limiter.Success
	case OutcomeConnectFailed, OutcomeBroken:
		return limiter.ConnectionFailed
	case OutcomeSilent:
		return limiter.Silent
	default:
		return limiter.Inconclusive
	}
}

// stats holds the exponentially weighted moving averages over successful
// requests that wait predictions use. They are 0 before the first one.
type stats struct {
	slotTime   time.Duration // grant to settle, the time that a request uses a slot
	cost       float64       // service units of a request
	firstToken time.Duration // dispatch to first token
}

// statsWeight is the weight of the newest request in the moving averages,
// which so cover about the last 20 requests.
const statsWeight = 0.05

// observe adds a successful request. If its class has no first token target, its
// whole slot time counts as the time to the first token.
func (t *stats) observe(slotTime time.Duration, cost uint64, c *class.Class, firstToken time.Duration) {
	if t.slotTime == 0 {
		t.slotTime, t.cost = slotTime, float64(cost)
	}
	t.slotTime += time.Duration(statsWeight * float64(slotTime-t.slotTime))
	t.cost += statsWeight * (float64(cost) - t.cost)
	if c.FirstToken == 0 {
		firstToken = slotTime
	}
	if t.firstToken == 0 {
		t.firstToken = firstToken
	}
	t.firstToken += time.Duration(statsWeight * float64(firstToken-t.firstToken))
}

// expectedFirstToken returns the expected time from dispatch to the first
// token, at most half the target of the class, so that a slow phase does not
// cause the refusal of all its requests.
func (t *stats) expectedFirstToken(c *class.Class) time.Duration {
	return min(t.firstToken, c.ResponseTarget()/2)
}
