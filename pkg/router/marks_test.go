package router

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMarkReachesTheRoutersOfTheDataCentre checks that a mark reaches the
// connected routers at once and other routers when they connect.
func TestMarkReachesTheRoutersOfTheDataCentre(t *testing.T) {
	p := newRouterPair(t)
	setMark := func(state string) {
		req, err := http.NewRequest(http.MethodPost, p.callers[0].admin.URL+"/v1/admin/datacentre/north/"+state, nil)
		assert.NilError(t, err)
		req.Header.Set(headerOperator, "op")
		req.Header.Set("Authorization", bearerPrefix+operatorKey)
		resp, body := do(t, req)
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	}
	marksEqual := func() bool {
		a, okA := p.routers[0].marks.current("north", 0)
		b, okB := p.routers[1].marks.current("north", 0)
		return okA && okB && a == b
	}
	setMark("out")
	p.callers[1].waitFor(t, "the other router has the mark", marksEqual)
	assert.Assert(t, p.routers[1].dataCentreOut("north"))
	p.exchanges[0].SetPeers(nil)
	p.exchanges[1].SetPeers(nil)
	p.callers[1].waitFor(t, "the routers are disconnected", func() bool { return !p.exchanges[0].Connected("rt-2") })
	setMark("in")
	assert.Assert(t, !marksEqual())
	p.connect()
	p.callers[1].waitFor(t, "the other router has the mark that it missed", marksEqual)
	assert.Assert(t, !p.routers[1].dataCentreOut("north"))
}
