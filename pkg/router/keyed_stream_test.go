package router

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// newKeyedRouter starts a router whose control keeps the end of one keyed request, and
// returns a function that waits for that end.
func newKeyedRouter(t *testing.T) (*testRouter, func() *apiv1.FinishRequest) {
	var mu sync.Mutex
	var ended *apiv1.FinishRequest
	records := &fakeRecords{finishes: make(chan *apiv1.FinishRequest, 1)}
	records.begin = func() (*apiv1.BeginResponse, error) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case ended == nil:
			return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_STARTED}, nil
		case ended.Unknown:
			return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_UNKNOWN}, nil
		default:
			return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_DONE, Answer: ended.Answer}, nil
		}
	}
	tr := newTestRouter(t, func(_ *Config, d *Dependencies) { d.Records = records })
	return tr, func() *apiv1.FinishRequest {
		in := <-records.finishes
		mu.Lock()
		defer mu.Unlock()
		ended = in
		return in
	}
}

func (tr *testRouter) keyedRequest(t *testing.T, header ...string) *http.Request {
	return tr.request(t, http.MethodPost, "/services/p/x", "order", "{}", append(header, proxy.HeaderIdempotencyKey, "k1")...)
}

// Guards against the rest of a stream that is stored as the whole answer of its key.
func TestRestOfKeyedStreamIsNotStoredAsItsAnswer(t *testing.T) {
	tr, awaitEnd := newKeyedRouter(t)
	s := newTakeUpServer(t, eventStream, "")
	tr.announceVersion(t, "s1", s, backend.Announcement{})
	_, body := do(t, tr.keyedRequest(t, headerLastEventID, "7"))
	assert.Equal(t, body, restOfStream)
	ended := awaitEnd()
	assert.Assert(t, !ended.Unknown)
	assert.Check(t, ended.Answer.Truncated && len(ended.Answer.Body) == 0, "stored: %q", ended.Answer.Body)
	resp, body := do(t, tr.keyedRequest(t))
	assert.Equal(t, resp.Header.Get(headerResult), "303", body)
	assert.Equal(t, s.count.Load(), int64(1), "run again")
}

// Guards against a plain answer that is not stored because of a header that its server
// ignores.
func TestPlainAnswerToKeyedTakeUpIsStored(t *testing.T) {
	tr, awaitEnd := newKeyedRouter(t)
	s := newTakeUpServer(t, "application/json", "")
	tr.announceVersion(t, "s1", s, backend.Announcement{})
	_, first := do(t, tr.keyedRequest(t, headerLastEventID, "7"))
	awaitEnd()
	resp, body := do(t, tr.keyedRequest(t, headerLastEventID, "7"))
	assert.Check(t, resp.Header.Get(headerResult) == "301" && body == first, body)
}

// Guards against a keyed stream that two versions wrote: it broke and was resumed, or it
// was stored and is sent again after the version changed.
func TestKeyedStreamIsNotJoinedFromTwoReleases(t *testing.T) {
	for _, later := range []string{"p/v1", "p/v2"} {
		tr, awaitEnd := newKeyedRouter(t)
		s := newBreakingServer(t, releaseLine("p/v1"), releaseLine(later), closedChannel())
		tr.announceVersion(t, "s1", s, backend.Announcement{SoftwareVersion: "v1"})
		_, first := do(t, tr.keyedRequest(t))
		ended := awaitEnd()
		tr.announceVersion(t, "s1", s, backend.Announcement{BootID: 2, SoftwareVersion: "v2"})
		resp, again := do(t, tr.keyedRequest(t))
		assert.Equal(t, s.count.Load(), int64(2), "run again")
		if later == "p/v1" {
			assert.Equal(t, first, wholeStream)
			assert.Check(t, resp.Header.Get(headerResult) == "301" && again == wholeStream, again)
			continue
		}
		assert.Check(t, strings.Contains(first, `{"code":207,`) && !strings.Contains(first, "two"), "joined: %s", first)
		assert.Check(t, ended.Unknown && resp.Header.Get(headerResult) == "201", again)
	}
}

// Guards against a stream that two versions wrote because the owner of its pool changed
// while it ran.
func TestStreamAcrossHandoverIsNotJoinedFromTwoReleases(t *testing.T) {
	for _, later := range []string{"p/v1", "p/v2"} {
		p := newRouterPair(t)
		p.moveTo(0)
		cut := make(chan struct{})
		s := newBreakingServer(t, releaseLine("p/v1"), releaseLine(later), cut)
		p.callers[0].announceVersion(t, "s1", s, backend.Announcement{SoftwareVersion: "v1"})
		p.awaitPool(t)
		entry := p.callers[1]
		resp, err := http.DefaultClient.Do(entry.request(t, http.MethodPost, "/services/p/x", "chat", "{}"))
		assert.NilError(t, err)
		first := make([]byte, len("data: one\n\n"))
		_, err = io.ReadFull(resp.Body, first)
		assert.NilError(t, err)
		p.moveTo(1)
		entry.waitFor(t, "the other router owns the pool", func() bool {
			return len(p.routers[1].ownedShards()) > 0 && len(p.routers[0].ownedShards()) == 0
		})
		close(cut)
		rest, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		resp.Body.Close()
		if body := string(first) + string(rest); later == "p/v1" {
			assert.Equal(t, body, wholeStream)
		} else {
			assert.Check(t, strings.Contains(body, `{"code":207,`) && !strings.Contains(body, "two"), "joined: %s", body)
		}
		assert.Equal(t, entry.router.versions("p"), release.Several)
	}
}
