package edge

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

const (
	// reserveTimeout bounds a reservation request: at most a new connection and a
	// round trip of a few milliseconds.
	reserveTimeout = connectTimeout + 20*time.Millisecond
	// reserveTTL is how long the server keeps a reservation whose request does not
	// arrive. The request normally follows at once.
	reserveTTL = 300 * time.Millisecond
	// maxMeanReserveTime is the mean latency of reservation requests from which they
	// cost more than the wait for a slot at an engine that they avoid. The cause is
	// a saturated link or CPU of this host. After reserveRetryInterval one request
	// tests the latency again.
	maxMeanReserveTime   = 25 * time.Millisecond
	reserveRetryInterval = time.Second
	// reserveMeanWeight is the weight of the newest latency in the moving mean.
	reserveMeanWeight = 0.2
)

// reserveLatency is an exponential moving mean of the latency of reservation
// requests. The zero value is ready to use.
type reserveLatency struct {
	mu       sync.Mutex
	mean     time.Duration
	lastCall time.Time
}

// record adds the latency of one call to the mean.
func (c *reserveLatency) record(now time.Time, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mean += time.Duration(reserveMeanWeight * float64(elapsed-c.mean))
	c.lastCall = now
}

// shouldSkip reports whether to send the request without a reservation because
// reservations are slow. It lets one call through per reserveRetryInterval.
func (c *reserveLatency) shouldSkip(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mean < maxMeanReserveTime {
		return false
	}
	if now.Sub(c.lastCall) >= reserveRetryInterval {
		c.lastCall = now
		return false
	}
	return true
}

// reserve requests a slot from the engine of the decision. It returns true if
// the request may be sent: a slot was reserved, or reservations are too slow
// and were skipped. Otherwise the request needs a new decision.
func (x *proxiedRequest) reserve(v dispatch.Decision) bool {
	startedAt := time.Now()
	if x.s.reservations.shouldSkip(startedAt) {
		x.s.recordReservation(x.dispatchReq)
		return true
	}
	answered := false
	defer func() {
		// A take-up may ask an engine that has died: that says nothing about this host.
		if answered || !v.Overtakes {
			x.s.reservations.record(time.Now(), time.Since(startedAt))
		}
	}()
	ctx, cancel := context.WithTimeout(x.callerCtx, reserveTimeout)
	defer cancel()
	path, body := x.s.config.Dialect.ReservationRequest(x.dispatchReq.PromptTokens+x.dispatchReq.OutputTokens, reserveTTL)
	req, err := http.NewRequest(http.MethodPost, "http://"+v.Address+path, nil)
	if err != nil {
		x.s.log.WithError(err).WithField("server", v.Server).Warn("cannot create slot reservation request")
		return x.recordNoReservation(dispatch.ConnectFailed)
	}
	req.Header["Content-Type"] = []string{"application/json"}
	req.Header["User-Agent"] = []string{""} // prevents net/http from setting its default
	process := &proxy.Identification{Wanted: wantedProcess(v, x.dispatchReq)}
	resp, sent, err := x.s.transport.SendRequest(x.s.identifyProcess(ctx, x.dispatchReq.Service, process), req, nil, body)
	if err != nil {
		x.s.recordOtherProcess(v, err)
		if x.s.refusalLogLimiter.Allow() {
			x.s.log.WithFields(logrus.Fields{"id": x.in.ID, "server": v.Server, "error": err}).Info("slot reservation failed")
		}
		return x.recordNoReservation(reserveOutcome(err, sent(), x.callerCtx.Err() != nil))
	}
	defer resp.Body.Close()
	answered = true
	if x.slotReservation, err = x.s.config.Dialect.ReadReservation(resp); err != nil {
		x.s.log.WithFields(logrus.Fields{"id": x.in.ID, "server": v.Server, "error": err}).Warn("cannot read slot reservation response")
	}
	if x.slotReservation == "" {
		return x.recordNoReservation(dispatch.NoSlot)
	}
	x.s.recordReservation(x.dispatchReq)
	return true
}

// reserveOutcome returns the outcome of a reservation request that got no
// response. Three cases do not count as a failure of the server: this host
// cancelled the request because the caller left, the request was sent and its
// response may be late only because this host is busy, or it needs another process.
func reserveOutcome(err error, sent, callerLeft bool) dispatch.Outcome {
	switch {
	case callerLeft || errors.Is(err, proxy.ErrOtherProcess):
		return dispatch.NotSent
	case sent:
		return dispatch.NoSlot
	case isTimeout(err):
		return dispatch.ConnectTimeout
	}
	return dispatch.ConnectFailed
}

// recordNoReservation reports to the dispatcher that the request was not sent,
// and excludes the server from later decisions unless the outcome is NoSlot. It
// returns false, the result of reserve.
func (x *proxiedRequest) recordNoReservation(o dispatch.Outcome) bool {
	x.outcomes = append(x.outcomes, o.String())
	x.s.recordOutcome(x.dispatchReq, o)
	if o != dispatch.NoSlot {
		x.dispatchReq.ExcludedServers = append(x.dispatchReq.ExcludedServers, x.decision.Server)
	}
	return false
}

// recordReservation reports a reserved slot to the dispatcher.
func (s *Server) recordReservation(r *dispatch.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.ConfirmReservation(time.Now(), r)
}
