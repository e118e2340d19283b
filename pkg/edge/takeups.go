package edge

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Take-ups and new streams are counted alike, without a rate limit, so that the share of
// each that goes on and the time to the first event can be compared. The steps of a take-up
// are logged when they happen: a host that loses power writes no line at the end.

const (
	// takeUpLogRate and takeUpLogBurst limit the log lines on the steps of take-ups, of
	// which each has up to four. Counters have no limit.
	takeUpLogRate  = 400 // lines per second
	takeUpLogBurst = 2000
)

// streamKinds holds the prefixes of the metrics of new streams and of take-ups.
var streamKinds = map[bool]string{false: "edge.new_streams.", true: "edge.takeups."}

// Ends of a stream that the names of counters contain. A refusal has the name of its result
// code.
const (
	streamEnded         = "ended"          // completely
	streamCut           = "cut.with_event" // after its first event
	streamCutEarly      = "cut.without_event"
	streamLeftWaiting   = "left.waiting" // the caller left while its request was queued
	streamLeftEarly     = "left.without_event"
	streamLeft          = "left.with_event"
	streamRefusedPrefix = "refused."
	streamFailedPrefix  = "failed."
)

// takeUpLog limits the log lines on take-ups.
type takeUpLog struct {
	limiter  *rate.Limiter
	unlogged atomic.Int64 // steps without a line since the last "beliefs" line
}

// countStream counts a step of a request for a stream.
func (x *proxiedRequest) countStream(step string) {
	metrics.GetOrRegisterCounter(streamKinds[x.isResumption()]+step, x.s.metrics.registry).Inc(1)
}

// recordStreamStep counts a step of a request for a stream, and logs it for a take-up. The
// log drops lines rather than blocks.
func (x *proxiedRequest) recordStreamStep(step string) {
	if !x.route.Stream {
		return
	}
	x.countStream(step)
	if !x.isResumption() {
		return
	}
	if !x.s.metrics.takeUpLog.limiter.Allow() {
		x.s.metrics.takeUpLog.unlogged.Add(1)
		return
	}
	v := x.decision
	x.s.log.WithFields(logrus.Fields{
		"id": x.in.ID, "resumes": limitedID(x.in.Resumes), "workspace": x.dispatchReq.Workspace, "step": step, "ms": time.Since(x.in.Arrived).Milliseconds(),
		"found": x.found, "release": x.dispatchReq.Release.String(), "server": v.Server, "class": v.Class.String(), "queue": v.QueueLength,
		"backlog_ms": v.BacklogTime.Milliseconds(), "uncached": v.UncachedTokens, "prompt": x.dispatchReq.PromptTokens, "reason": v.Reason,
	}).Info("take-up")
}

// limitedID returns the beginning of an id that a caller chose.
func limitedID(id string) string { return id[:min(len(id), 64)] }

// recordStreamBegan records the first event of a stream that is forwarded.
func (x *proxiedRequest) recordStreamBegan() {
	if x.route.Stream {
		metrics.GetOrRegisterTimer(streamKinds[x.isResumption()]+"first_event", x.s.metrics.registry).Update(x.timeToFirst)
	}
	x.recordStreamStep("began")
}

// recordStreamEnd records how a request for a stream ended.
func (x *proxiedRequest) recordStreamEnd() { x.recordStreamStep(x.streamEnd()) }

// streamEnd returns how a request for a stream ended.
func (x *proxiedRequest) streamEnd() string {
	began := x.sseParser.count > 0
	left := x.closeReason == closeCallerLeft || x.closeReason == closeCallerConnected || x.callerCtx.Err() != nil
	switch {
	case left && x.decision.Server == "":
		return streamLeftWaiting
	case left && began:
		return streamLeft
	case left:
		return streamLeftEarly
	case x.closeReason != "" && began:
		return streamCut
	case x.closeReason != "":
		return streamCutEarly
	case x.errorCode == result.OK && x.status >= http.StatusInternalServerError: // passed on from a server
		return streamFailedPrefix + codeName(result.ServerError)
	case x.errorCode == result.OK:
		return streamEnded
	case x.errorCode.Executed() == result.ExecutedNo:
		return streamRefusedPrefix + codeName(x.errorCode)
	}
	return streamFailedPrefix + codeName(x.errorCode)
}

// codeName returns the name of a result code without its number.
func codeName(c result.Code) string {
	_, name, _ := strings.Cut(c.String(), " ")
	return name
}
