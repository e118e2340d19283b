package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

const generous = 20 * time.Second

func start(t *testing.T, cfg ServerSettings) (s *Server, executions string) {
	t.Helper()
	cfg.Name, cfg.DataCentre, cfg.Pool, cfg.Listen = "s1", "dc1", "m", "127.0.0.1:0"
	cfg.TokenInterval = settings.Duration(time.Millisecond)
	assert.NilError(t, cfg.complete())
	executions = filepath.Join(t.TempDir(), "executions")
	log, err := OpenExecutionLog(executions)
	assert.NilError(t, err)
	s, err = NewServer(cfg, log)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})
	return s, executions
}

func post(t *testing.T, s *Server, path, id, offset, body string) (*http.Response, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.Address()+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set(RequestIDHeader, id)
	if offset != "" {
		r.Header.Set(ResumeOffsetHeader, offset)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer, string(text), err
}

func waitForLines(t *testing.T, path string, count int) []Execution {
	t.Helper()
	var found []Execution
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		found, err = ReadExecutions(path)
		if err == nil && len(found) >= count {
			return poll.Success()
		}
		return poll.Continue("%d executions, %v", len(found), err)
	}, poll.WithTimeout(generous))
	return found
}

func chat(tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"an apron"}]}`, tokens)
}

// Guards against a stand-in whose streams cannot be compared: the stream, its
// resumed rest and the recorded sum must agree, and a resume runs nothing.
func TestStreamResumeAndExecutionAgree(t *testing.T) {
	s, executions := start(t, ServerSettings{Kind: backend.Engine, StartWarm: true})
	answer, whole, err := post(t, s, "/v1/chat/completions", "a", "", chat(20))
	assert.NilError(t, err)
	assert.Equal(t, answer.Header.Get(RequestIDHeader), "a")
	assert.Assert(t, strings.HasSuffix(whole, "data: [DONE]\n\n"))
	resumed, rest, err := post(t, s, "/v1/chat/completions", "a", "100", chat(20))
	assert.NilError(t, err)
	assert.Equal(t, resumed.Header.Get(ResumeOffsetHeader), "100")
	assert.Equal(t, resumed.Header.Get(RequestIDHeader), "a")
	assert.Equal(t, rest, whole[100:])
	lines := waitForLines(t, executions, 1)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].AnswerSHA256, sum([]byte(whole)))
	assert.Equal(t, lines[0].Cost, uint64(4+4*20)) // "user\nan apron\n" is 14 bytes, 4 tokens
}

// Guards against a cold server that bears more than it says, which would hide
// an overload by a router.
func TestColdServerFailsUnderLoad(t *testing.T) {
	s, executions := start(t, ServerSettings{Kind: backend.Engine, ColdSlots: 2})
	boot := s.boot
	for i := range 3 {
		go post(t, s, "/v1/chat/completions", fmt.Sprint(i), "", chat(maxTokens))
	}
	for _, e := range waitForLines(t, executions, 3) {
		assert.Equal(t, e.Outcome, OutcomeBroken)
	}
	a, _ := s.announcement(time.Now())
	assert.Assert(t, a.BootID != boot)
}

func TestFaultsSpoilTheNextAnswer(t *testing.T) {
	s, executions := start(t, ServerSettings{Kind: backend.Service, StartWarm: true})
	_, first, err := post(t, s, "/orders", "a", "", "x")
	assert.NilError(t, err)
	assert.Assert(t, s.setFault(Fault{Kind: FaultOutOfOrder}))
	answer, second, err := post(t, s, "/orders", "b", "", "y")
	assert.NilError(t, err)
	assert.Equal(t, answer.Header.Get(RequestIDHeader), "a")
	assert.Equal(t, second, first)
	assert.Assert(t, s.setFault(Fault{Kind: FaultReset}))
	_, _, err = post(t, s, "/orders", "c", "", "z")
	assert.Assert(t, err != nil)
	assert.Equal(t, len(waitForLines(t, executions, 3)), 3)
}

// Guards against an engine that obeys an order with an old fencing number.
func TestOrdersCheckFence(t *testing.T) {
	s, _ := start(t, ServerSettings{Kind: backend.Engine, CheckFence: true})
	for _, c := range []struct{ order, status string }{
		{`{"action":"load","model":"x","fence":5}`, "200 OK"},
		{`{"action":"unload","model":"x","fence":4}`, "409 Conflict"},
	} {
		answer, _, err := post(t, s, "/v1/orders", "", "", c.order)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, c.status)
	}
	a, _ := s.announcement(time.Now())
	assert.Assert(t, a.Serves("x"))
}

// Guards against a refusal that a router takes for the answer to another
// request, because it does not repeat the id.
func TestRefusalWhileStartingCarriesTheRequestID(t *testing.T) {
	s, _ := start(t, ServerSettings{Kind: backend.Engine, StartWarm: true, Loadable: []string{"other"}, LoadTime: settings.Duration(time.Minute)})
	_, _, err := post(t, s, "/v1/orders", "", "", `{"action":"load","model":"other","fence":1}`)
	assert.NilError(t, err)
	answer, _, err := post(t, s, "/v1/chat/completions", "early", "", chat(1))
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, answer.Header.Get(RequestIDHeader), "early")
}

// Guards against a load that the order waits for, one that begins again while
// the server loads, and a server that serves the other pool before its time or
// as a warm one.
func TestLoadMovesServerToAnotherPool(t *testing.T) {
	s, _ := start(t, ServerSettings{Kind: backend.Engine, StartWarm: true, Loadable: []string{"other"}, LoadTime: settings.Duration(time.Second)})
	before, _ := s.announcement(time.Now())
	assert.DeepEqual(t, before.Loadable, []string{"other"})
	for _, status := range []string{"200 OK", "409 Conflict"} {
		answer, _, err := post(t, s, "/v1/orders", "", "", `{"action":"load","model":"other","fence":1}`)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, status)
		a, _ := s.announcement(time.Now())
		assert.Equal(t, a.State, backend.Starting)
		assert.Equal(t, a.Pool, before.Pool)
	}
	deadline := time.Now().Add(10 * time.Second)
	a, _ := s.announcement(time.Now())
	for a.State == backend.Starting && time.Now().Before(deadline) {
		<-time.After(5 * time.Millisecond)
		a, _ = s.announcement(time.Now())
	}
	assert.Equal(t, a.State, backend.Ready)
	assert.Equal(t, a.Pool, "other")
	assert.Assert(t, a.BootID != before.BootID && !s.warm)
}
