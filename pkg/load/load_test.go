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

func experiment(t *testing.T, handler http.HandlerFunc, s Stream) *Experiment {
	t.Helper()
	e := New()
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

// Guards against coordinated omission: a request that is sent late because
// the tool or the fleet stalled counts from its intended arrival.
func TestLatencyCountsFromIntendedArrival(t *testing.T) {
	e := experiment(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, Stream{Service: "x"})
	a := e.arrival(&e.Streams[0], 0, 0)[0]
	a.at = time.Now().Add(-time.Minute)
	got := e.send(context.Background(), http.DefaultClient, a)
	assert.Assert(t, got.whole)
	assert.Assert(t, got.firstByte >= time.Minute && got.total >= time.Minute)
}

// Guards against a schedule that differs between two runs or follows answers.
func TestScheduleIsFixed(t *testing.T) {
	e := experiment(t, nil, Stream{Service: "x", Keyed: true, Copies: 2})
	first, second := e.schedule(), e.schedule()
	assert.Assert(t, len(first) > 100 && len(first) == len(second))
	for i := range first {
		assert.Assert(t, first[i].at.Equal(second[i].at) && first[i].key == second[i].key)
		assert.Assert(t, i == 0 || !first[i].at.Before(first[i-1].at))
	}
}

// Guards against cut answers that are counted as whole.
func TestCutAnswersAreFaults(t *testing.T) {
	for _, body := range []string{"data: {}\n\n", "event: error\ndata: {}\n\ndata: [DONE]\n\n", ""} {
		e := experiment(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }, Stream{Model: "m", Stream: true})
		r := newReport(e)
		a := e.arrival(&e.Streams[0], 0, 0)[0]
		a.at = time.Now()
		r.begin(a)
		r.end(a, e.send(context.Background(), http.DefaultClient, a))
		assert.Equal(t, r.classes["c"].cut+r.classes["c"].broken, 1, body)
		assert.Equal(t, len(r.Faults()), 1)
	}
}

// Guards against a request that ran twice, one that ran although it was
// refused, and an answer of no server, that go unnoticed.
func TestExecutionsAreChecked(t *testing.T) {
	e := experiment(t, nil, Stream{Service: "x", Keyed: true, Once: true})
	e.Executions = filepath.Join(t.TempDir(), "executions")
	line := func(number int, answer string) string {
		return fmt.Sprintf(`{"answer_sha256":%q,"body_sha256":%q}`, answer, sum(e.Streams[0].serviceBody(e.Seed, number))) + "\n"
	}
	assert.NilError(t, os.WriteFile(e.Executions, []byte(line(0, "aa")+line(0, "aa")+line(1, "bb")+line(2, "cc")), 0o600))
	r := newReport(e)
	r.wholes[whole{sum(e.Streams[0].serviceBody(e.Seed, 0)), "aa"}] = "c"
	r.wholes[whole{sum(e.Streams[0].serviceBody(e.Seed, 1)), "aa"}] = "c" // the answer of another request
	for number, executed := range []result.Executed{result.ExecutedYes, result.ExecutedNo, result.ExecutedMaybe} {
		r.note(e.arrival(&e.Streams[0], number, 0)[0], answer{executed: executed})
	}
	assert.NilError(t, r.readExecutions())
	got := r.Faults()
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{
		"a request of class c ran 2 times",
		"a request of class c ran and was reported as not run",
		"an answer of class c is not what a server sent for its request",
	})
}
