package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// Reasons why a request at a silent server got no second attempt, besides
// reasonRetryBudget. The values are fields of request lines; the metrics are in
// secondRefusalMetrics.
const (
	reasonOnce        dispatch.Reason = "the request may run once only"
	reasonAttempts    dispatch.Reason = "the route allows no further attempt"
	reasonUnsent      dispatch.Reason = "too many attempts have reached no server"
	reasonNotResumed  dispatch.Reason = "the stream cannot be resumed"
	reasonRelease     dispatch.Reason = "the release of the stream is not known"
	reasonQuarantined dispatch.Reason = "the request is quarantined"
	reasonTooLate     dispatch.Reason = "the host stops too soon"
	reasonNoPlace     dispatch.Reason = "no other server has a place"
)

// secondRefusalMetrics holds the counter of each reason.
var secondRefusalMetrics = map[dispatch.Reason]string{
	reasonOnce:        "edge.second_refused.once",
	reasonAttempts:    "edge.second_refused.attempts",
	reasonUnsent:      "edge.second_refused.unsent",
	reasonNotResumed:  "edge.second_refused.not_resumed",
	reasonRelease:     "edge.second_refused.release",
	reasonQuarantined: "edge.second_refused.quarantined",
	reasonTooLate:     "edge.second_refused.too_late",
	reasonRetryBudget: "edge.second_refused.budget",
	reasonNoPlace:     "edge.second_refused.no_place",
}

// recordSecondRefusal counts a request at a silent server that got no second attempt.
func (x *proxiedRequest) recordSecondRefusal() {
	if x.secondRefusal != "" {
		metrics.GetOrRegisterCounter(secondRefusalMetrics[x.secondRefusal], x.s.metrics.registry).Inc(1)
	}
}

// refusalByRoute returns why the route allows no second attempt beside the current one,
// "" if it does. The caller must hold mu.
func (h *hedge) refusalByRoute(began bool, lastEventID string) dispatch.Reason {
	switch {
	case !h.mayRepeat:
		return reasonOnce
	case began && (h.x.route.RetryPolicy != routing.Resumable || lastEventID == ""):
		return reasonNotResumed
	case h.x.sentAttempts+h.sent+1 >= h.x.route.MaxAttempts:
		return reasonAttempts
	case h.unsent >= maxUnsentAttempts:
		return reasonUnsent
	}
	return ""
}

// noteSilence sets the reason after a silence on a route that allows no second attempt: no
// timer asks for one then. The caller must hold mu.
func (h *hedge) noteSilence() {
	if h.refusal != "" || h.running != nil || time.Since(h.heardAt) < h.x.silenceLimit(h.began) {
		return
	}
	h.refusal = h.refusalByRoute(h.began, h.lastEventID)
}

// hedgeRefusal returns why no second attempt may begin now, "" if one may. began states
// that events were forwarded, so the release of the stream must be known. The caller must
// hold mu of the Server.
func (x *proxiedRequest) hedgeRefusal(now time.Time, began bool) dispatch.Reason {
	if began && !x.mayGoOnLocked() {
		return reasonRelease
	}
	if action, _ := x.s.quarantine.Check(now, x.suspects); action != quarantine.Allow {
		return reasonQuarantined
	}
	if !began && x.s.isTooLate(x.in) {
		return reasonTooLate
	}
	if !x.s.retryBudget.canSpend(x.dispatchReq.Service) {
		return reasonRetryBudget
	}
	return ""
}
