package router

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/ownership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Guards against a take-up that a router passes on right after its start, because it has
// not heard yet what the servers state, and against one that is refused for longer or
// although operators state one version.
func TestTakeUpIsRefusedUntilServersAreHeard(t *testing.T) {
	for _, operators := range []release.Versions{release.Unstated, release.One} {
		tr := routerStating(t, operators, 7)
		s := newTakeUpServer(t, eventStream, "")
		tr.announceVersion(t, "s1", s, backend.Announcement{})
		tr.router.serversHeard.Store(false)
		if operators == release.Unstated {
			tr.assertTakeUpRefused(t, "/services/p/x", s)
			resp, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "chat", "{}"))
			assert.Check(t, resp.StatusCode == http.StatusOK, "a stream from its beginning: %s", body)
			tr.waitFor(t, "the servers are heard", tr.router.serversHeard.Load)
			tr.announceVersion(t, "s1", s, backend.Announcement{})
		}
		_, body := tr.takeUp(t, "/services/p/x")
		assert.Equal(t, body, restOfStream, operators.String())
	}
}

// fakePeers is the connections of a router, by name of the other one.
type fakePeers map[string]bool

func (p fakePeers) Send(string, *apiv1.Envelope) bool { return true }
func (p fakePeers) Connected(name string) bool        { return p[name] }

// Guards against a router that counts the servers as heard while a live router of its
// data centre, which may know more, has no connection to it, and against one that doubts
// them again after it has heard them.
func TestServersAreHeardFromAllRouters(t *testing.T) {
	id := func(name, dataCentre string) pool.RouterID { return pool.RouterID{Name: name, DataCentre: dataCentre} }
	self := id("rt-1", "north")
	owners := &fakeOwners{all: []pool.RouterID{self, id("rt-2", "north"), id("rt-3", "south")}}
	store := catalog.NewStore()
	store.ApplySnapshot(1, configuration())
	r := New(NewConfig(), self, Dependencies{Catalog: store, Ownership: owners, Pool: pool.DefaultConfig()})
	peers := fakePeers{}
	r.SetPeers(peers)
	now := time.Now()
	for _, step := range []struct {
		after            time.Duration
		connected, heard bool
	}{
		{0, false, false}, {time.Minute, false, false}, {0, true, false}, {backend.AnnouncementTimeout - 1, true, false},
		{0, false, false}, {time.Minute, true, false}, {backend.AnnouncementTimeout - 1, true, false}, {1, true, true}, {time.Minute, false, true},
		{time.Minute, false, true},
	} {
		for end := now.Add(step.after); now.Before(end); {
			now = now.Add(min(reconcileInterval, end.Sub(now))) // as Run does
			if now.Before(end) {
				r.trackServersHeard(now)
			}
		}
		peers["rt-2"] = step.connected
		r.trackServersHeard(now)
		assert.Equal(t, r.serversHeard.Load(), step.heard, "%+v", step)
	}
}

// Guards against a router that counts the servers as heard before it has joined the
// others, when it knows no other live router and so lacks no connection.
func TestServersAreNotHeardBeforeJoin(t *testing.T) {
	self := pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}
	members := []membership.Member{{Name: "rt-1", DataCentre: "north", Role: ownership.RoleRouter, Incarnation: 7}}
	owners := ownership.NewConcurrentTracker(self, true)
	owners.Update(members)
	store := catalog.NewStore()
	store.ApplySnapshot(1, configuration())
	r := New(NewConfig(), self, Dependencies{Catalog: store, Ownership: owners, Pool: pool.DefaultConfig()})
	peers := fakePeers{}
	r.SetPeers(peers)
	now := time.Now()
	assertHeard := func(heard bool, state string) {
		t.Helper()
		r.trackServersHeard(now)
		now = now.Add(backend.AnnouncementTimeout)
		r.trackServersHeard(now)
		assert.Equal(t, r.serversHeard.Load(), heard, state)
	}
	assertHeard(false, "not joined")
	owners.Update(append(members, membership.Member{Name: "rt-2", DataCentre: "north", Role: ownership.RoleRouter, Incarnation: 9}))
	assertHeard(false, "joined, not connected")
	peers["rt-2"] = true
	assertHeard(true, "joined and connected")
}

// Guards against a router that counts the servers as heard while it refuses each of their
// announcements, because it has no configuration.
func TestServersAreNotHeardWithoutConfiguration(t *testing.T) {
	self := pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}
	store := catalog.NewStore()
	r := New(NewConfig(), self, Dependencies{Catalog: store, Ownership: NewStaticOwnership(self), Pool: pool.DefaultConfig()})
	now := time.Now()
	for _, step := range []struct {
		after             time.Duration
		configured, heard bool
	}{
		{0, false, false}, {backend.AnnouncementTimeout, false, false},
		{0, true, false}, {backend.AnnouncementTimeout - 1, true, false}, {1, true, true},
	} {
		now = now.Add(step.after)
		if step.configured {
			store.ApplySnapshot(1, configuration())
		}
		r.trackServersHeard(now)
		assert.Equal(t, r.serversHeard.Load(), step.heard, "%+v", step)
	}
}

// Guards against a router that trusts, after its process was suspended, what it heard
// before, although its servers may have said more meanwhile and what they said is
// forgotten.
func TestServersAreHeardAgainAfterSuspension(t *testing.T) {
	self := pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}
	store := catalog.NewStore()
	store.ApplySnapshot(1, configuration())
	r := New(NewConfig(), self, Dependencies{Catalog: store, Ownership: NewStaticOwnership(self), Pool: pool.DefaultConfig()})
	now := time.Now()
	for _, step := range []struct {
		after time.Duration
		heard bool
	}{
		{0, false}, {backend.AnnouncementTimeout, true}, {backend.AnnouncementTimeout, true}, {statementRetention, false},
		{backend.AnnouncementTimeout - 1, false}, {1, true},
		{backend.AnnouncementTimeout + 1, false}, {backend.AnnouncementTimeout + 1, false}, {backend.AnnouncementTimeout, true},
	} {
		now = now.Add(step.after)
		r.trackServersHeard(now)
		assert.Equal(t, r.serversHeard.Load(), step.heard, "%+v", step)
	}
}
