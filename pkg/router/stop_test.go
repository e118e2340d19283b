package router

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// Guards against requests that end without an answer when a router stops before they
// have ended: waiting ones and streams that run.
func TestStopAnswersOpenRequests(t *testing.T) {
	t.Parallel()
	for _, hardStop := range []bool{false, true} {
		s, tr := newService(t, func(c *Config) { c.Drain.Longest = settings.Duration(100 * time.Millisecond) })
		graceful, stop := context.WithCancel(context.Background())
		hardCtx, abort := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(graceful, hardCtx) }()
		tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(100 * time.Millisecond)})
		const requests = 60
		type answer struct {
			status int
			body   string
		}
		answers := make(chan answer, requests)
		for range requests {
			go func() {
				resp, body := tryDo(tr.request(t, http.MethodPost, chatPath, "chat", chatBody(600)))
				if resp == nil {
					answers <- answer{0, body}
					return
				}
				answers <- answer{resp.StatusCode, body}
			}()
		}
		tr.waitFor(t, "requests run and wait", func() bool {
			waiting, held := s.router.askTable.counts()
			return held > 0 && waiting > 0 && waiting+held == requests
		})
		stop()
		if hardStop {
			abort()
		}
		assert.Assert(t, <-ended != nil)
		abort()
		for range requests {
			a := <-answers
			switch {
			case a.status == http.StatusServiceUnavailable || a.status == http.StatusBadGateway:
			case a.status == http.StatusOK && strings.Contains(a.body, "event: error"):
			default:
				t.Errorf("hard stop %v: no answer and no error: status %d, body %q", hardStop, a.status, a.body)
			}
		}
	}
}
