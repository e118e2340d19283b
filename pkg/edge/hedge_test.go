package edge

import (
	"net/http"
	"net/http/httptest"
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

// Guards against a place at a server that is never returned, and against an attempt
// beyond maxAttempts: the first server falls silent again while a second one is at work.
func TestSecondSilenceBeginsNoThirdAttempt(t *testing.T) {
	var sent sync.WaitGroup
	arrived := make(chan struct{}, 4)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(silent.Close)
	now := time.Now()
	d := dispatch.New("edge", "z", now)
	var servers []dispatch.ServerInfo
	for _, id := range []string{"a", "b", "c"} {
		servers = append(servers, dispatch.ServerInfo{ID: id, Service: "s", DataCentre: "z", Address: silent.Listener.Addr().String(), Slots: 6, Ready: true, Heard: now})
	}
	d.SetServers(now, servers)
	s := &Server{config: Config{Dialect: silentDialect{}}, transport: proxy.NewTransport(), dispatcher: d, retryBudget: newRetryBudget(RetryBudget{Extra: 50}), quarantine: quarantine.New(1)}
	r := &dispatch.Request{ID: "r", Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute)}
	x := &proxiedRequest{s: s, in: &Request{ID: "r", Target: "/x", Method: http.MethodGet, Header: http.Header{}}, route: &routing.Route{Stream: true, RetryPolicy: routing.Resumable, MaxAttempts: 2}, dispatchReq: r, callerCtx: t.Context(), deadline: r.Deadline}
	h := x.newHedge(x.newExchange(d.Admit(now, r), r))
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
	own := 0
	for _, report := range d.Report(time.Now()).Servers {
		own += report.OwnRequests
	}
	assert.Check(t, own == 1, "%d places are taken after the end of the second attempt, 1 by the first", own)
}
