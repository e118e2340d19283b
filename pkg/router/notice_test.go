package router

import (
	"bufio"
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// Guards against a router that stops and refuses connections before its balancer has
// noticed: the callers of TestShutdownUnderLoad are connected before the stop.
func TestConnectionsAreAcceptedDuringTheNotice(t *testing.T) {
	t.Parallel()
	s, tr := newService(t, func(c *Config) { c.Drain.Notice = settings.Duration(time.Hour) })
	graceful, stop := context.WithCancel(context.Background())
	hardCtx, abort := context.WithCancel(context.Background())
	defer abort()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, hardCtx) }()
	tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(time.Millisecond)})
	stop()
	tr.waitFor(t, "the router reports not ready", func() bool { return !s.router.Ready() })
	for range 3 {
		c := tr.dialCallers(t)
		_, err := io.WriteString(c, rawChat())
		assert.NilError(t, err)
		readAnswer(t, bufio.NewReader(c), "a request during the notice")
	}
	abort()
	assert.ErrorIs(t, <-ended, errHardStop)
}
