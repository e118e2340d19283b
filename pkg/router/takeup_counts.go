package router

import (
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Take-ups and other requests are counted alike, so that the share of each that goes on and
// the time until they get a slot can be compared. A router does not know of a new request
// whether its answer is a stream.
const (
	takeUpCounts     = "takeups."
	newRequestCounts = "new_requests."
)

// Steps and ends of a request that the names of counters contain. Refusals and failures have
// the name of their result code.
const (
	stepArrived      = "arrived"
	stepGranted      = "granted" // the first slot
	stepBegan        = "began"   // the first byte of the answer was passed on
	endComplete      = "ended"
	endCut           = "cut.with_event"
	endLeftWaiting   = "left.waiting"
	endLeftEarly     = "left.without_event"
	endLeft          = "left.with_event"
	endRefusedPrefix = "refused."
	endFailedPrefix  = "failed."
)

func countPrefix(q *request) string {
	if q.isTakeUp() {
		return takeUpCounts
	}
	return newRequestCounts
}

func (r *Router) countStep(q *request, step string) {
	metrics.GetOrRegisterCounter(q.counts+step, r.metrics).Inc(1)
}

// countGranted counts the first slot of a request and records how long it took.
func (r *Router) countGranted(q *request) {
	if q.granted {
		return
	}
	q.granted = true
	r.countStep(q, stepGranted)
	metrics.GetOrRegisterTimer(q.counts+"time_to_grant", r.metrics).Update(time.Since(q.arrivedAt))
}

// countBegan counts the first byte of an answer that is passed on and records how long it took.
func (r *Router) countBegan(q *request) {
	if q.began {
		return
	}
	q.began = true
	r.countStep(q, stepBegan)
	metrics.GetOrRegisterTimer(q.counts+"first_event", r.metrics).Update(time.Since(q.arrivedAt))
}

// requestEnd returns how a request ended. The error is nil if the caller received the whole
// answer.
func requestEnd(q *request, e *result.Error) string {
	status := 0
	if n := len(q.decision.Attempts); n > 0 {
		status = q.decision.Attempts[n-1].Status
	}
	switch {
	case e == nil && status >= http.StatusInternalServerError:
		return endFailedPrefix + codeName(result.ServerError)
	case e == nil || e.Code == result.StoredAnswer:
		return endComplete
	case e.Code == result.CallerLeftWaiting:
		return endLeftWaiting
	case e.Code == result.CallerLeft && q.began:
		return endLeft
	case e.Code == result.CallerLeft:
		return endLeftEarly
	case q.began:
		return endCut
	case e.Code.Executed() == result.ExecutedNo:
		return endRefusedPrefix + codeName(e.Code)
	}
	return endFailedPrefix + codeName(e.Code)
}

// codeName returns the name of a result code without its number.
func codeName(c result.Code) string {
	_, name, _ := strings.Cut(c.String(), " ")
	return name
}
