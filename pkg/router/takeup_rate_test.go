package router

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Guards against a take-up that is refused as rate_limited for the new requests of its
// workspace.
func TestTakeUpBeyondTheRequestRateGoesOn(t *testing.T) {
	tr := routerStating(t, release.One, 7)
	s := newTakeUpServer(t, eventStream, "p/v1")
	tr.announceVersion(t, "s1", s, backend.Announcement{SoftwareVersion: "v1"})
	send := func(header ...string) *http.Response {
		req := tr.request(t, http.MethodPost, "/services/p/x", "chat", chatBody(1), header...)
		req.Header.Set(proxy.HeaderWorkspace, "slow") // one request at once, then one each 1,000 s
		resp, _ := do(t, req)
		return resp
	}
	assert.Equal(t, send().StatusCode, http.StatusOK)
	assert.Equal(t, send().Header.Get(headerResult), "109")
	resp := send(headerLastEventID, "7", "Resumes", "rt-1-7-1")
	assert.Equal(t, resp.StatusCode, http.StatusOK, "result %s", resp.Header.Get(headerResult))
	assert.Equal(t, send(headerLastEventID, "").Header.Get(headerResult), "109", "a new request that names no event")
}

// Guards against take-ups beyond the request rate that are not charged or not bounded, and
// against new requests of their workspace, or none, that are refused for it.
func TestTakeUpsAreChargedToTheRequestRate(t *testing.T) {
	const perSecond = 10
	l := newWorkspaceRateLimiters()
	now := time.Unix(1_700_000_000, 0)
	for range perSecond {
		_, ok := l.allow(now, "w", perSecond, false)
		assert.Assert(t, ok)
	}
	_, ok := l.allow(now, "w", perSecond, false)
	assert.Assert(t, !ok)
	for n := range perSecond * takeUpDebtSeconds {
		_, ok := l.allow(now, "w", perSecond, true)
		assert.Assert(t, ok, "take-up %d", n)
	}
	wait, ok := l.allow(now, "w", perSecond, true)
	assert.Assert(t, !ok && wait == time.Second/perSecond, "a take-up beyond the bound: %v, %v", ok, wait)
	wait, ok = l.allow(now, "w", perSecond, false)
	assert.Assert(t, !ok && wait == takeUpDebtSeconds*time.Second+time.Second/perSecond, "a new request: %v, %v", ok, wait)
	_, ok = l.allow(now, "v", perSecond, false)
	assert.Assert(t, ok, "a new request of another workspace")

	took := 0 // in the long run take-ups have no more than the rate
	for range 100 {
		now = now.Add(time.Second)
		for range 100 {
			if _, ok := l.allow(now, "w", perSecond, true); ok {
				took++
			}
		}
	}
	assert.Assert(t, took >= 99*perSecond && took <= 101*perSecond, "%d in 100 s", took)
}
