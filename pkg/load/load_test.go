package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

func newTestExperiment(t *testing.T, handler http.HandlerFunc, s Stream) *Experiment {
	t.Helper()
	e := NewExperiment()
	e.Duration = settings.Duration(time.Second)
	e.Workspaces = []Workspace{{Name: "w", Key: "k"}}
	s.Name, s.Class, s.Workspaces, s.Rate = "s", "c", []string{"w"}, 100
	e.Streams = []Stream{s}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	e.Routers = []settings.Address{settings.Address(strings.TrimPrefix(server.URL, "http://"))}
	assert.NilError(t, e.Validate())
	return e
}

// Guards against coordinated omission: the latency of a request that is sent
// late, because the load generator or the fleet stalled, counts from its
// intended send time.
func TestLatencyCountsFromIntendedArrival(t *testing.T) {
	e := newTestExperiment(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, Stream{Service: "x"})
	a := e.arrival(&e.Streams[0], 0, 0)[0]
	a.intendedAt = time.Now().Add(-time.Minute)
	got := e.sendToAvailableRouter(context.Background(), http.DefaultClient, a)
	assert.Assert(t, got.completeResponse)
	assert.Assert(t, got.firstByteLatency >= time.Minute && got.totalLatency >= time.Minute)
}

// Guards against a schedule that differs between two runs or depends on the
// responses.
func TestScheduleIsFixed(t *testing.T) {
	e := newTestExperiment(t, nil, Stream{Service: "x", Keyed: true, Copies: 2})
	first, second := e.schedule(), e.schedule()
	assert.Assert(t, len(first) > 100 && len(first) == len(second))
	for i := range first {
		assert.Assert(t, first[i].intendedAt.Equal(second[i].intendedAt) && first[i].key == second[i].key)
		assert.Assert(t, i == 0 || !first[i].intendedAt.Before(first[i-1].intendedAt))
	}
}

// Guards against truncated or broken responses that are counted as complete.
func TestTruncatedResponsesAreFaults(t *testing.T) {
	for _, body := range []string{"data: {}\n\n", "event: error\ndata: {}\n\ndata: [DONE]\n\n", ""} {
		e := newTestExperiment(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }, Stream{Model: "m", Stream: true})
		r := newReport(e)
		a := e.arrival(&e.Streams[0], 0, 0)[0]
		a.intendedAt = time.Now()
		r.recordSent(a)
		r.recordResponse(a, e.sendToAvailableRouter(context.Background(), http.DefaultClient, a))
		assert.Equal(t, r.classes["c"].truncated+r.classes["c"].broken, 1, body)
		assert.Equal(t, len(r.Faults()), 1)
	}
}

// Guards against a stream of two software versions that is not found.
func TestStreamOfTwoVersionsIsAFault(t *testing.T) {
	event := func(version string) string { return fmt.Sprintf("data: {\"system_fingerprint\":%q}\n\n", version) }
	for _, tc := range []struct {
		body   string
		faults int
	}{
		{event("v1") + event("v1") + "data: [DONE]\n\n", 0},
		{event("v1") + event("v2") + event("v1") + "data: [DONE]\n\n", 1},
		{event("v1") + event("v2") + "event: error\ndata: {}\n\n", 1},
	} {
		e := newTestExperiment(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(tc.body)) }, Stream{Model: "m", Stream: true})
		e.AllowBroken = true
		r := newReport(e)
		a := e.arrival(&e.Streams[0], 0, 0)[0]
		r.recordResponse(a, e.sendToAvailableRouter(context.Background(), http.DefaultClient, a))
		assert.Equal(t, len(r.Faults()), tc.faults, tc.body)
	}
}

// Guards against missing a request that was executed twice, one that was
// executed although it was reported as not executed, and a response that no
// server sent for the request.
func TestResponsesAreCheckedAgainstExecutions(t *testing.T) {
	e := newTestExperiment(t, nil, Stream{Service: "x", Keyed: true, AtMostOnce: true})
	e.ExecutionFile = filepath.Join(t.TempDir(), "executions")
	line := func(number int, response string) string {
		return fmt.Sprintf(`{"answer_sha256":%q,"body_sha256":%q}`, response, sha256Hex(e.Streams[0].serviceBody(e.Seed, number))) + "\n"
	}
	assert.NilError(t, os.WriteFile(e.ExecutionFile, []byte(line(0, "aa")+line(0, "aa")+line(1, "bb")+line(2, "cc")), 0o600))
	r := newReport(e)
	r.completeResponses[completeResponse{sha256Hex(e.Streams[0].serviceBody(e.Seed, 0)), "aa"}] = "c"
	r.completeResponses[completeResponse{sha256Hex(e.Streams[0].serviceBody(e.Seed, 1)), "aa"}] = "c" // the response to another request
	for number, executed := range []result.Executed{result.ExecutedYes, result.ExecutedNo, result.ExecutedMaybe} {
		r.recordReportedExecution(e.arrival(&e.Streams[0], number, 0)[0], response{executed: executed})
	}
	assert.NilError(t, r.checkExecutions())
	got := r.Faults()
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{
		"a request of class c ran 2 times",
		"a request of class c ran and was reported as not run",
		"an answer of class c is not what a server sent for its request",
	})
}
