package router

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a mark of a data centre that reaches one router only, and
// against a later router that never learns of it.
func TestMarkReachesTheRoutersOfTheDataCentre(t *testing.T) {
	p := newPair(t)
	give := func(state string) {
		req, err := http.NewRequest(http.MethodPost, p.callers[0].admin.URL+"/v1/admin/datacentre/north/"+state, nil)
		assert.NilError(t, err)
		req.Header.Set(headerOperator, "op")
		req.Header.Set("Authorization", bearer+operatorKey)
		resp, body := do(t, req)
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	}
	same := func() bool {
		a, okA := p.routers[0].marks.get("north", 0)
		b, okB := p.routers[1].marks.get("north", 0)
		return okA && okB && a == b
	}
	give("out")
	p.callers[1].await(t, "the other router has the mark", same)
	assert.Assert(t, p.routers[1].dataCentreOut("north"))
	p.exchanges[0].SetPeers(nil)
	p.exchanges[1].SetPeers(nil)
	p.callers[1].await(t, "the routers are apart", func() bool { return !p.exchanges[0].Connected("rt-2") })
	give("in")
	assert.Assert(t, !same())
	p.connect()
	p.callers[1].await(t, "the other router has the mark that it missed", same)
	assert.Assert(t, !p.routers[1].dataCentreOut("north"))
}
