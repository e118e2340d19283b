package router

import (
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

func (tr *testRouter) counted(name string) int64 {
	if c, ok := tr.router.metrics.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// Guards against take-ups and new requests that are missing from the counters of their steps
// and ends, or are counted as the other kind.
func TestTakeUpsAreCountedByStepAndEnd(t *testing.T) {
	tr := routerStating(t, release.One, 7)
	s := newTakeUpServer(t, eventStream, "p/v1")
	tr.announceVersion(t, "s1", s, backend.Announcement{SoftwareVersion: "v1"})
	takeUpHeader := []string{headerLastEventID, "7", "Resumes", "rt-1-7-1"}
	for kind, header := range map[string][]string{takeUpCounts: takeUpHeader, newRequestCounts: nil} {
		other := map[string]string{takeUpCounts: newRequestCounts, newRequestCounts: takeUpCounts}[kind]
		before := tr.counted(other + "arrived")
		resp, _ := do(t, tr.request(t, http.MethodPost, "/services/p/x", "chat", chatBody(1), header...))
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		resp, _ = do(t, tr.request(t, http.MethodPost, "/services/p/x", "nothing", chatBody(1), header...))
		assert.Equal(t, resp.Header.Get(headerResult), "104")
		tr.waitFor(t, "the ends are counted", func() bool { return tr.counted(kind+"ended") == 1 && tr.counted(kind+"refused.unknown_class") == 1 })
		for step, want := range map[string]int64{"arrived": 2, "granted": 1, "began": 1} {
			assert.Check(t, tr.counted(kind+step) == want, "%s%s: %d", kind, step, tr.counted(kind+step))
		}
		for _, timer := range []string{"time_to_grant", "first_event"} {
			timed, ok := tr.router.metrics.Get(kind + timer).(metrics.Timer)
			assert.Check(t, ok && timed.Count() == 1, "%s%s", kind, timer)
		}
		assert.Equal(t, tr.counted(other+"arrived"), before)
	}
}

// Guards against a stream that breaks off and counts as complete.
func TestCutTakeUpIsCounted(t *testing.T) {
	tr := routerStating(t, release.One, 7)
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + proxy.HeaderRequestID + ": " + r.Header.Get(proxy.HeaderRequestID) + "\r\n" + releaseLine("p/v1") + "Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\ndata: after 7\n\n"))
		_ = c.Close()
	})
	tr.announceVersion(t, "s1", s, backend.Announcement{SoftwareVersion: "v1"})
	tr.takeUp(t, "/services/p/x")
	tr.waitFor(t, "the end is counted", func() bool { return tr.counted("takeups.cut.with_event") == 1 })
	assert.Equal(t, tr.counted("takeups.began"), int64(1))
	assert.Equal(t, tr.counted("takeups.ended"), int64(0))
}

// Guards against ends that are counted under another name than their reason.
func TestRequestEnds(t *testing.T) {
	for _, tc := range []struct {
		want   string
		code   result.Code
		status int
		began  bool
	}{
		{"ended", result.OK, 200, true},
		{"ended", result.StoredAnswer, 0, false},
		{"failed.server_error", result.OK, 500, false},
		{"refused.target_unreachable", result.TargetUnreachable, 0, false},
		{"refused.queue_full", result.QueueFull, 0, false},
		{"refused.rate_limited", result.RateLimited, 0, false},
		{"refused.stream_unknown", result.StreamUnknown, 0, false},
		{"left.waiting", result.CallerLeftWaiting, 0, false},
		{"left.without_event", result.CallerLeft, 200, false},
		{"left.with_event", result.CallerLeft, 200, true},
		{"failed.release_changed", result.ReleaseChanged, 200, false},
		{"cut.with_event", result.ReleaseChanged, 200, true},
	} {
		q := &request{began: tc.began, decision: &Decision{Attempts: []Attempt{{Status: tc.status}}}}
		var e *result.Error
		if tc.code != result.OK {
			e = result.New(tc.code, "test")
		}
		assert.Check(t, requestEnd(q, e) == tc.want, "%v: %s", tc.code, requestEnd(q, e))
	}
}
