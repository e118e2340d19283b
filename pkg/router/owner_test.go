package router

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against a request that is dropped, or waits for ever, because the owner of its
// pool does not reply.
func TestRequestWithoutReplyOfTheOwnerIsRefused(t *testing.T) {
	self := pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}
	silent := pool.RouterID{Name: "rt-2", DataCentre: "north", Incarnation: 9}
	tr := newTestRouterAs(t, self, func(_ *Config, deps *Dependencies) {
		deps.Ownership = &fakeOwners{all: []pool.RouterID{self, silent}, epoch: 1, owner: 1}
		quick := class.Class{Name: "quick", Answer: 200 * time.Millisecond}
		deps.Catalog.ApplySnapshot(2, append(configuration(), catalog.ClassChange(quick)))
	})
	s := newRawServer(t, respondOK)
	tr.announceRawServer(t, "s1", s, backend.Abilities{})
	expectRefusal(t, tr.request(t, http.MethodPost, "/services/p/x", "quick", "{}"), result.OwnerUnavailable)
	assert.Equal(t, s.count.Load(), int64(0))
	assert.Equal(t, tr.router.counters.refused.Count(), int64(1))
}
