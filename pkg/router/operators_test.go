package router

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/burn"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// TestDepartedServerThatAnnouncesItselfLaterGetsNoWork checks that a server
// receives no work if operators departed it before the router knew it.
func TestDepartedServerThatAnnouncesItselfLaterGetsNoWork(t *testing.T) {
	tr := newTestRouter(t, nil)
	first := standin.ServerSettings{Name: "s1", Kind: backend.Service, Pool: "p", ProcessingTime: settings.Duration(time.Millisecond)}
	tr.startStandin(t, first)
	departure := catalog.DepartureChange("s2")
	assert.Assert(t, tr.store.ApplyDelta(1, 2, []*apiv1.Change{departure}))
	tr.waitFor(t, "the owner knows the departure", func() bool { return tr.router.Status().Revision == 2 })
	late := tr.postAnnouncement(t, backend.Announcement{Name: "s2", Address: "127.0.0.1:1", Kind: backend.Service}, serverKey)
	assert.Equal(t, late.StatusCode, http.StatusNoContent)
	tr.waitFor(t, "the owner knows that the server has departed", func() bool {
		v, ok := tr.serverView("s2")
		return ok && !v.Usable
	})
}

func (tr *testRouter) serverView(name string) (pool.ServerView, bool) {
	for _, shard := range tr.router.Status().Shards {
		for _, v := range shard.Servers {
			if v.Name == name {
				return v, true
			}
		}
	}
	return pool.ServerView{}, false
}

// TestBurnReportShowsCauseOfMisses checks that the burn report counts each
// request and attributes refusals after a data centre went out of service to
// that change.
func TestBurnReportShowsCauseOfMisses(t *testing.T) {
	tr := newTestRouter(t, nil)
	tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Service, Pool: "stock", ProcessingTime: settings.Duration(time.Millisecond)})
	resp, body := do(t, tr.request(t, http.MethodGet, "/services/stock/items/7", "order", ""))
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	out := catalog.DataCentreChange(datacentre.DataCentre{Name: "north", Out: true})
	assert.Assert(t, tr.store.ApplyDelta(1, 2, []*apiv1.Change{out}))
	tr.waitFor(t, "the owner knows that the data centre is out", func() bool {
		v, ok := tr.serverView("s1")
		return ok && !v.Usable
	})
	strict := tr.request(t, http.MethodGet, "/services/stock/items/7", "check", "")
	resp, body = do(t, strict)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, body)

	resp, body = do(t, tr.adminRequest(t, "/v1/admin/burn"))
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var report burn.Report
	assert.NilError(t, json.Unmarshal([]byte(body), &report))
	rows := report.ByClass()
	assert.Equal(t, len(rows), 2, body)
	assert.Equal(t, rows[0].Class, "check")
	assert.Equal(t, rows[0].Counts[0].MainCause(), burn.CauseDataCentreChange)
	assert.Equal(t, rows[1].Counts[0].Total, 1.0)
	assert.Equal(t, rows[1].Counts[0].MissedTotal(), 0.0)
}

func (tr *testRouter) adminRequest(t *testing.T, path string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, tr.admin.URL+path, nil)
	assert.NilError(t, err)
	return req
}
