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

const testTimeout = 20 * time.Second

func startServer(t *testing.T, cfg ServerSettings) (s *Server, executions string) {
	t.Helper()
	cfg.Name, cfg.DataCentre, cfg.Pool, cfg.Listen = "s1", "dc1", "m", "127.0.0.1:0"
	cfg.TokenInterval = settings.Duration(time.Millisecond)
	assert.NilError(t, cfg.normalize())
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
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.Address()+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set(RequestIDHeader, id)
	if offset != "" {
		r.Header.Set(ResumeOffsetHeader, offset)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func waitForExecutions(t *testing.T, path string, count int) []ExecutionRecord {
	t.Helper()
	var found []ExecutionRecord
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		found, err = ReadExecutions(path)
		if err == nil && len(found) >= count {
			return poll.Success()
		}
		return poll.Continue("%d executions, %v", len(found), err)
	}, poll.WithTimeout(testTimeout))
	return found
}

func chatBody(tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"an apron"}]}`, tokens)
}

// Guards against a resumed stream or a recorded SHA-256 sum that differs from the
// original stream, and against a resume that executes the request again.
func TestStreamResumeAndExecutionAgree(t *testing.T) {
	s, executions := startServer(t, ServerSettings{Kind: backend.Engine, StartWarm: true})
	response, whole, err := post(t, s, "/v1/chat/completions", "a", "", chatBody(20))
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(RequestIDHeader), "a")
	assert.Assert(t, strings.HasSuffix(whole, "data: [DONE]\n\n"))
	resumed, rest, err := post(t, s, "/v1/chat/completions", "a", "100", chatBody(20))
	assert.NilError(t, err)
	assert.Equal(t, resumed.Header.Get(ResumeOffsetHeader), "100")
	assert.Equal(t, resumed.Header.Get(RequestIDHeader), "a")
	assert.Equal(t, rest, whole[100:])
	lines := waitForExecutions(t, executions, 1)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].AnswerSHA256, sha256Hex([]byte(whole)))
	assert.Equal(t, lines[0].Cost, uint64(4+4*20)) // "user\nan apron\n" is 14 bytes, 4 tokens
}

// Guards against a stand-in that does not show which software version wrote an event,
// or states another one in its answer.
func TestKeptStreamGoesOnAtTheNextVersion(t *testing.T) {
	s, executions := startServer(t, ServerSettings{Kind: backend.Engine, StartWarm: true, SoftwareVersion: "v1", KeepStreams: true})
	client := http.Client{Timeout: testTimeout}
	r, err := http.NewRequest("POST", "http://"+s.Address()+"/v1/chat/completions", strings.NewReader(chatBody(2000)))
	assert.NilError(t, err)
	r.Header.Set(RequestIDHeader, "a")
	response, err := client.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	first := make([]byte, 100)
	_, err = io.ReadFull(response.Body, first)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(ReleaseHeader), "m/v1")
	assert.Assert(t, s.setFault(Fault{Kind: FaultRestartCold, DelayMS: -1, Version: "v2"}))
	assert.Assert(t, !s.setFault(Fault{Kind: FaultRestartCold, Version: "v 3"}))
	waitForExecutions(t, executions, 1)
	resumed, rest, err := post(t, s, "/v1/chat/completions", "a", "100", "{}")
	assert.NilError(t, err)
	assert.Equal(t, resumed.Header.Get(ReleaseHeader), "m/v2")
	assert.Assert(t, resumed.Header.Get(ProcessHeader) != response.Header.Get(ProcessHeader))
	assert.Assert(t, strings.Contains(rest, `"system_fingerprint":"v2"`) && strings.HasSuffix(rest, "data: [DONE]\n\n"))
	assert.Equal(t, strings.Count(string(first)+rest, `"content"`), 2000+1, "tokens were lost or repeated") // the last chunk has an empty content
	a, _ := s.buildAnnouncement(time.Now())
	assert.Equal(t, a.SoftwareVersion, backend.Version("v2"))
}

// Guards against a cold server that tolerates more than its capacity, which would
// hide a router that overloads it.
func TestColdServerFailsUnderLoad(t *testing.T) {
	s, executions := startServer(t, ServerSettings{Kind: backend.Engine, ColdSlots: 2})
	bootID := s.bootID
	for i := range 3 {
		go post(t, s, "/v1/chat/completions", fmt.Sprint(i), "", chatBody(maxGeneratedTokens))
	}
	for _, e := range waitForExecutions(t, executions, 3) {
		assert.Equal(t, e.Outcome, OutcomeBroken)
	}
	a, _ := s.buildAnnouncement(time.Now())
	assert.Assert(t, a.BootID != bootID)
}

// Guards against faults that do not change the next response, or that prevent the
// execution of the request.
func TestFaultsAffectTheNextResponse(t *testing.T) {
	s, executions := startServer(t, ServerSettings{Kind: backend.Service, StartWarm: true})
	_, first, err := post(t, s, "/orders", "a", "", "x")
	assert.NilError(t, err)
	assert.Assert(t, s.setFault(Fault{Kind: FaultOutOfOrder}))
	response, second, err := post(t, s, "/orders", "b", "", "y")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(RequestIDHeader), "a")
	assert.Equal(t, second, first)
	assert.Assert(t, s.setFault(Fault{Kind: FaultReset}))
	_, _, err = post(t, s, "/orders", "c", "", "z")
	assert.Assert(t, err != nil)
	assert.Equal(t, len(waitForExecutions(t, executions, 3)), 3)
}

// Guards against an engine that executes an order with an outdated fencing token.
func TestOrdersCheckFence(t *testing.T) {
	s, _ := startServer(t, ServerSettings{Kind: backend.Engine, CheckFence: true})
	for _, c := range []struct{ order, status string }{
		{`{"action":"load","model":"x","fence":5}`, "200 OK"},
		{`{"action":"unload","model":"x","fence":4}`, "409 Conflict"},
	} {
		response, _, err := post(t, s, "/v1/orders", "", "", c.order)
		assert.NilError(t, err)
		assert.Equal(t, response.Status, c.status)
	}
	a, _ := s.buildAnnouncement(time.Now())
	assert.Assert(t, a.ServesModel("x"))
}

// Guards against a refusal without the request id, which a router would treat as
// the response to another request.
func TestRefusalWhileStartingCarriesTheRequestID(t *testing.T) {
	s, _ := startServer(t, ServerSettings{Kind: backend.Engine, StartWarm: true, Loadable: []string{"other"}, LoadTime: settings.Duration(time.Minute)})
	_, _, err := post(t, s, "/v1/orders", "", "", `{"action":"load","model":"other","fence":1}`)
	assert.NilError(t, err)
	response, _, err := post(t, s, "/v1/chat/completions", "early", "", chatBody(1))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(RequestIDHeader), "early")
}

// Guards against an order that blocks until the load ends, a second load during
// the first one, and a server that serves the other pool before the load ends or
// is warm afterwards.
func TestLoadMovesServerToAnotherPool(t *testing.T) {
	s, _ := startServer(t, ServerSettings{Kind: backend.Engine, StartWarm: true, Loadable: []string{"other"}, LoadTime: settings.Duration(time.Second)})
	before, _ := s.buildAnnouncement(time.Now())
	assert.DeepEqual(t, before.Loadable, []string{"other"})
	for _, status := range []string{"200 OK", "409 Conflict"} {
		response, _, err := post(t, s, "/v1/orders", "", "", `{"action":"load","model":"other","fence":1}`)
		assert.NilError(t, err)
		assert.Equal(t, response.Status, status)
		a, _ := s.buildAnnouncement(time.Now())
		assert.Equal(t, a.State, backend.Starting)
		assert.Equal(t, a.Pool, before.Pool)
	}
	deadline := time.Now().Add(10 * time.Second)
	a, _ := s.buildAnnouncement(time.Now())
	for a.State == backend.Starting && time.Now().Before(deadline) {
		<-time.After(5 * time.Millisecond)
		a, _ = s.buildAnnouncement(time.Now())
	}
	assert.Equal(t, a.State, backend.Ready)
	assert.Equal(t, a.Pool, "other")
	assert.Assert(t, a.BootID != before.BootID && !s.warm)
}
