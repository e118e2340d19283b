package router

import (
	"context"
	"io"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Guards against heads that net/http refuses, or that come too slowly, on a router
// without a record.
func TestUnhandledHeadsAreRecorded(t *testing.T) {
	t.Parallel()
	s, tr := newService(t, func(c *Config) { c.Limits.HeaderTimeout = settings.Duration(testTimeout / 40) })
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	for _, c := range []struct{ sent, answer, metric string }{
		{"hello\r\n\r\n", "HTTP/1.1 400", "callers.closed.head_invalid"},
		{"GET / HTTP/1.1\r\n", "HTTP/1.1 408", "callers.closed.head_timeout"},
		{"", "HTTP/1.1 408", "callers.closed.unused"},
	} {
		conn := tr.dialCallers(t)
		_, err := io.WriteString(conn, c.sent)
		assert.NilError(t, err)
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Equal(t, string(answer[:min(len(answer), len("HTTP/1.1 400"))]), c.answer)
		closed := metrics.GetOrRegisterCounter(c.metric, s.router.metrics)
		tr.waitFor(t, c.metric, func() bool { return closed.Count() == 1 })
	}
	stop()
	assert.NilError(t, <-ended)
}
