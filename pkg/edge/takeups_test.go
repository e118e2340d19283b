package edge

import (
	"context"
	"net/http"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against take-ups that leave no trace when their host ends, or that no counter
// shows because their log lines are limited, and against log lines without a bound.
func TestStepsOfTakeUpsAreCountedWithoutLimit(t *testing.T) {
	const steps = 10 * takeUpLogBurst
	logger, hook := logtest.NewNullLogger()
	x := newStreamTest()
	x.s.log = logger.WithField("component", "edge")
	x.in.Resumes, x.in.LastEventID, x.found = "first", "4", "recorded"
	for range steps {
		x.recordStreamStep("arrived")
	}
	assert.Equal(t, x.s.count("edge.takeups.arrived"), int64(steps))
	lines := len(hook.AllEntries())
	assert.Assert(t, lines >= takeUpLogBurst && lines < steps, "%d lines", lines)
	assert.Equal(t, x.s.metrics.takeUpLog.unlogged.Load(), int64(steps-lines))
	first := hook.AllEntries()[0].Data
	assert.Equal(t, first["step"], "arrived")
	assert.Equal(t, first["resumes"], "first")
	assert.Equal(t, first["found"], "recorded")

	hook.Reset()
	x.in.Resumes, x.in.LastEventID = "", ""
	x.recordStreamStep("arrived")
	assert.Equal(t, x.s.count("edge.new_streams.arrived"), int64(1))
	assert.Equal(t, len(hook.AllEntries()), 0, "new streams have no lines of their own")
}

// Guards against outcomes of take-ups that cannot be told apart.
func TestEndsOfStreamsAreTold(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	for want, prepare := range map[string]func(x *proxiedRequest){
		"ended":                func(x *proxiedRequest) { x.sseParser.count = 1 },
		"cut.with_event":       func(x *proxiedRequest) { x.sseParser.count, x.closeReason = 1, closeTruncated },
		"cut.without_event":    func(x *proxiedRequest) { x.closeReason = closeHostStopped },
		"left.waiting":         func(x *proxiedRequest) { x.callerCtx, x.decision = left, dispatch.Decision{} },
		"left.without_event":   func(x *proxiedRequest) { x.callerCtx = left },
		"left.with_event":      func(x *proxiedRequest) { x.sseParser.count, x.closeReason = 1, closeCallerLeft },
		"refused.rate_limited": func(x *proxiedRequest) { x.errorCode = result.RateLimited },
		"refused.release_full": func(x *proxiedRequest) { x.errorCode = result.ReleaseFull },
		"failed.server_error":  func(x *proxiedRequest) { x.status = http.StatusInternalServerError },
		"failed.server_silent": func(x *proxiedRequest) { x.errorCode = result.ServerSilent },
	} {
		x := newStreamTest()
		x.decision.Server = "first"
		prepare(x)
		assert.Equal(t, x.streamEnd(), want)
	}
}
