package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// silentDialect sends the headers of the caller unchanged.
type silentDialect struct{ headerDialect }

func (silentDialect) WriteHeaders(http.Header, RequestMetadata) {}

// newSilentHedge returns the hedge of a request at a silent server. The other servers
// are silent as well; arrived tells when a request reaches one of them.
func newSilentHedge(t *testing.T) (h *hedge, d *dispatch.Dispatcher, arrived chan struct{}) {
	arrived = make(chan struct{}, 4)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(silent.Close)
	now := time.Now()
	d = dispatch.New("edge", "z", now)
	var servers []dispatch.ServerInfo
	for _, id := range []string{"a", "b", "c"} {
		servers = append(servers, dispatch.ServerInfo{ID: id, Service: "s", DataCentre: "z", Address: silent.Listener.Addr().String(), Slots: 6, Ready: true, Heard: now})
	}
	d.SetServers(now, servers)
	s := &Server{config: Config{Dialect: silentDialect{}}, transport: proxy.NewTransport(), dispatcher: d, retryBudget: newRetryBudget(RetryBudget{Extra: 50}), quarantine: quarantine.New(1)}
	r := &dispatch.Request{ID: "r", Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute)}
	x := &proxiedRequest{s: s, in: &Request{ID: "r", Target: "/x", Method: http.MethodGet, Header: http.Header{}}, route: &routing.Route{Stream: true, RetryPolicy: routing.Resumable, MaxAttempts: 2}, dispatchReq: r, callerCtx: t.Context(), deadline: r.Deadline}
	return x.newHedge(x.newExchange(d.Admit(now, r), r)), d, arrived
}

// placesTaken returns the number of requests that this host has at servers.
func placesTaken(d *dispatch.Dispatcher) int {
	own := 0
	for _, report := range d.Report(time.Now()).Servers {
		own += report.OwnRequests
	}
	return own
}

// Guards against a request that waits for a silent second server beyond its deadline, or
// beyond the end of the grace period of a planned stop, after its first server has failed.
func TestWaitForSecondAttemptEnds(t *testing.T) {
	for _, cause := range []error{errDeadlinePassed, errHostStopping} {
		h, d, arrived := newSilentHedge(t)
		var sent sync.WaitGroup
		sent.Go(func() { h.tryReplace() })
		<-arrived
		waited := make(chan attemptResult, 1)
		go func() {
			waited <- h.awaitSecond(attemptResult{sent: true, outcome: dispatch.ServerError})
		}()
		h.first.cancel(cause)
		select {
		case a := <-waited:
			assert.Equal(t, a.err, cause)
		case <-time.After(10 * time.Second):
			t.Fatal("the request still waits for the second server")
		}
		h.close(false)
		sent.Wait()
		assert.Assert(t, h.x.replacement == nil)
		assert.Equal(t, placesTaken(d), 1, "the first server has its place until its outcome is recorded")
	}
}

// Guards against a place at a server that is never returned, and against an attempt
// beyond maxAttempts: the first server falls silent again while a second one is at work.
func TestSecondSilenceBeginsNoThirdAttempt(t *testing.T) {
	h, d, arrived := newSilentHedge(t)
	var sent sync.WaitGroup
	sent.Go(func() { h.tryReplace() })
	<-arrived
	// The timer fires again: forwardStream resets it for each event of the first server.
	third := make(chan struct{})
	sent.Go(func() { h.tryReplace(); close(third) })
	select {
	case <-arrived:
		t.Error("a third attempt of two was sent")
	case <-third:
	}
	h.close(false)
	own := placesTaken(d)
	assert.Check(t, own == 1, "%d places are taken after the end of the second attempt, 1 by the first", own)
}

// Guards against memory for buffered responses that is never returned: of a second answer
// that was read beside the first server and is not used.
func TestUnusedSecondAnswerReturnsItsMemory(t *testing.T) {
	h, _, _ := newSilentHedge(t)
	m := newResponseMemory(0)
	free := m.freeBytes
	e := h.x.newExchange(dispatch.Decision{}, &dispatch.Request{Service: "s"})
	var err error
	e.body, e.releaseBody, err = m.read(strings.NewReader(strings.Repeat("b", 1<<20)))
	assert.NilError(t, err)
	assert.Assert(t, m.freeBytes < free)
	h.x.s.endHedge(e, dispatch.CallerDisconnected)
	assert.Equal(t, m.freeBytes, free)

	e.body, e.releaseBody, err = m.read(strings.NewReader(strings.Repeat("b", 1<<20)))
	assert.NilError(t, err)
	_, release, err := e.readBody(m, nil)
	assert.NilError(t, err)
	e.dropBody() // the request that took it over returns it
	assert.Assert(t, m.freeBytes < free)
	release()
	assert.Equal(t, m.freeBytes, free)
}
