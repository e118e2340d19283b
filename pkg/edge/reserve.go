package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

const (
	// reserveTimeout bounds the call for a slot, a round trip of a few
	// milliseconds and a new connection at most.
	reserveTimeout = connectTimeout + 20*time.Millisecond
	// reserveTTL is how long a reservation lasts without its request, which
	// follows at once.
	reserveTTL = 300 * time.Millisecond
	// slowCalls is the mean time of calls for a slot from which they cost more
	// than the wait for a slot at an engine that they avoid: the link or the
	// processor of this host is used up. They are tried again after retryCalls.
	slowCalls  = 25 * time.Millisecond
	retryCalls = time.Second
	// callGain is the weight of the newest call in the mean.
	callGain = 0.2
)

// callTime is the mean time of calls for a slot. The zero value is ready to
// use.
type callTime struct {
	mu   sync.Mutex
	mean time.Duration
	last time.Time
}

func (c *callTime) add(now time.Time, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mean += time.Duration(callGain * float64(took-c.mean))
	c.last = now
}

// slow reports whether calls are left out for now. One caller after each pause
// tries again.
func (c *callTime) slow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mean < slowCalls {
		return false
	}
	if now.Sub(c.last) >= retryCalls {
		c.last = now
		return false
	}
	return true
}

// reserve asks the engine of a verdict for a slot. Without one the request is
// decided on anew.
func (x *exchangeState) reserve(v dispatch.Verdict) bool {
	begun := time.Now()
	if x.s.calls.slow(begun) {
		x.s.reserved(x.work)
		return true
	}
	defer func() { x.s.calls.add(time.Now(), time.Since(begun)) }()
	ctx, cancel := context.WithTimeout(x.caller, reserveTimeout)
	defer cancel()
	path, body := x.s.config.Dialect.Reserve(x.work.PromptTokens+x.work.OutputTokens, reserveTTL)
	req, err := http.NewRequest(http.MethodPost, "http://"+v.Address+path, nil)
	if err != nil {
		x.s.log.WithError(err).WithField("server", v.Server).Warn("the call for a slot cannot be made")
		return x.withoutSlot(dispatch.ConnectFailed)
	}
	req.Header["Content-Type"] = []string{"application/json"}
	req.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	resp, sent, err := x.s.transport.Open(ctx, req, nil, body)
	if err != nil {
		if x.s.refusals.Allow() {
			x.s.log.WithFields(logrus.Fields{"id": x.in.ID, "server": v.Server, "error": err}).Info("no answer to the call for a slot")
		}
		return x.withoutSlot(outcomeOfCall(err, sent(), x.caller.Err() != nil))
	}
	defer resp.Body.Close()
	if x.slot, err = x.s.config.Dialect.ReadSlot(resp); err != nil {
		x.s.log.WithFields(logrus.Fields{"id": x.in.ID, "server": v.Server, "error": err}).Warn("the answer to the call for a slot cannot be read")
	}
	if x.slot == "" {
		return x.withoutSlot(dispatch.NoSlot)
	}
	x.s.reserved(x.work)
	return true
}

// outcomeOfCall explains a call without an answer. One that was sent may only
// be late because this host is busy, and one whose caller left was broken off
// here: both say nothing of the server.
func outcomeOfCall(err error, sent, callerLeft bool) dispatch.Outcome {
	switch {
	case callerLeft:
		return dispatch.Unused
	case sent:
		return dispatch.NoSlot
	case isTimeout(err):
		return dispatch.ConnectTimeout
	}
	return dispatch.ConnectFailed
}

// withoutSlot tells the decisions that the request was not sent.
func (x *exchangeState) withoutSlot(o dispatch.Outcome) bool {
	x.outcomes = append(x.outcomes, o.String())
	x.s.ended(x.work, o)
	if o != dispatch.NoSlot {
		x.work.Avoid = append(x.work.Avoid, x.verdict.Server)
	}
	return false
}

func (s *Server) reserved(r *dispatch.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Reserved(time.Now(), r)
}
