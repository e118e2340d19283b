package router

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// Guards against a grant that comes back and never ends, because it was settled between the
// list of held grants and its report: the slots of the server ran out.
func TestReportOfHeldGrantsBringsNoSettledOneBack(t *testing.T) {
	tr := newTestRouter(t, nil)
	tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Service, Pool: "p", ProcessingTime: settings.Duration(time.Microsecond)})
	c := startCallers(t, []*testRouter{tr}, 8, func(tr *testRouter) *http.Request {
		return tr.request(t, http.MethodPost, "/services/p/x", "check", "{}")
	})
	shard := tr.router.shardOf("p")
	tr.waitFor(t, "requests are answered", func() bool {
		for range 100 {
			tr.router.reportHeldGrants(shard, tr.router.self)
		}
		return c.whole.Load() >= 500
	})
	c.stop()
	c.wait.Wait()
	tr.waitFor(t, "all grants end", func() bool {
		open := -1
		assert.Assert(t, tr.router.applyIfOwner(shard, func(_ time.Time, o *pool.Owner) { open = o.Snapshot().Grants }))
		return open == 0
	})
}
