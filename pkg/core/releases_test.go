package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/fleet"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
)

// applyReleases applies a command to the state of a host without a replica.
func applyReleases(t *testing.T, h *Host, index uint64, c *apiv1.ServiceReleases) {
	data, err := fleet.EncodeCommand(&apiv1.FleetCommand{Releases: c})
	assert.NilError(t, err)
	h.state.Apply(index, data)
}

// releaseTest drives a host through virtual time.
type releaseTest struct {
	t    *testing.T
	h    *Host
	now  time.Time
	lead leadership
	term uint64 // 0 if the host is not the leader
}

func newReleaseTest(t *testing.T) *releaseTest {
	r := &releaseTest{t: t, h: newTestHost(), now: time.Unix(1_700_000_000, 0), term: 1}
	applyReleases(t, r.h, 5, &apiv1.ServiceReleases{Service: testService, Releases: []uint64{uint64(v1), uint64(v2)}})
	return r
}

// announce has the host receive announcements of a server of the release.
func (r *releaseTest) announce(server string, id release.ID, state registry.State) {
	r.h.mergeEvent(r.now, "core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{{
		Id: server, Service: testService, Address: "10.0.0.1:80", State: uint32(state), Sequence: uint64(r.now.UnixMilli()), BornMs: 1, Release: uint64(id),
	}}})
}

// run lets the time pass, with a check every flushInterval and announcements of the
// given servers each second. It returns the last commands.
func (r *releaseTest) run(d time.Duration, servers map[string]release.ID) (out []*apiv1.ServiceReleases) {
	for end := r.now.Add(d); r.now.Before(end); {
		if r.now.UnixMilli()%1000 == 0 {
			for server, id := range servers {
				r.announce(server, id, registry.Ready)
			}
		}
		r.now = r.now.Add(flushInterval)
		status := replica.Status{ID: 1, Leader: 2, Term: 9}
		if r.term != 0 {
			status = replica.Status{ID: 1, Leader: 1, Term: r.term}
		}
		r.h.observeReleases(r.now)
		r.lead.update(r.now, status)
		out = r.h.unseenReleases(r.now, &r.lead)
		r.h.mu.Lock()
		r.h.servers.RemoveExpired(r.now)
		r.h.mu.Unlock()
	}
	return out
}

// Guards against a release that is removed from the history while a data centre that is
// cut off may serve it, or by a leader that has not looked for long enough. It also
// guards against one that is never removed.
func TestUnseenReleaseIsRemoved(t *testing.T) {
	const almost = soleReleaseTime - time.Second
	onlyV1 := map[string]release.ID{"a": v1}
	for _, c := range []struct {
		name   string
		before func(r *releaseTest)
		rest   time.Duration
		want   bool
	}{
		{"too early", func(r *releaseTest) { r.run(almost, onlyV1) }, 0, false},
		{"after soleReleaseTime", func(r *releaseTest) { r.run(almost, onlyV1) }, 2 * time.Second, true},
		{"other release seen once", func(r *releaseTest) {
			r.run(almost, onlyV1)
			r.announce("b", v2, registry.Ready)
			r.announce("b", v2, registry.Gone)
			r.h.servers.Withdraw(registry.Withdrawal{ID: "b", StartMS: 1}, r.now)
		}, 5 * time.Minute, false},
		{"other release keeps serving", func(r *releaseTest) {
			r.run(almost, map[string]release.ID{"a": v1, "b": v2})
		}, soleReleaseTime, false},
		{"other release withdrawn long ago", func(r *releaseTest) {
			r.announce("b", v2, registry.Ready)
			r.run(time.Second, onlyV1)
			r.announce("b", v2, registry.Gone)
		}, soleReleaseTime + 2*time.Second, true},
		{"no server for a while", func(r *releaseTest) {
			r.run(almost, onlyV1)
			r.run(2*time.Minute, nil)
		}, 5 * time.Minute, false},
		{"host was paused", func(r *releaseTest) {
			r.run(almost, onlyV1)
			r.now = r.now.Add(30 * time.Second)
		}, 5 * time.Minute, false},
		{"new leader", func(r *releaseTest) {
			r.run(almost, onlyV1)
			r.term = 2
		}, 5 * time.Minute, false},
		{"not the leader", func(r *releaseTest) { r.term = 0 }, 2 * soleReleaseTime, false},
		{"release that is not listed", func(r *releaseTest) { onlyV1 = map[string]release.ID{"a": 3} }, 2 * soleReleaseTime, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			onlyV1 = map[string]release.ID{"a": v1}
			r := newReleaseTest(t)
			c.before(r)
			got := r.run(max(c.rest, flushInterval), onlyV1)
			if !c.want {
				assert.Equal(t, len(got), 0)
				return
			}
			assert.Equal(t, len(got), 1)
			applyReleases(t, r.h, 6, got[0])
			assert.Assert(t, slices.Equal(r.h.state.Releases(testService).GetReleases(), []uint64{uint64(v1)}))
			assert.Equal(t, len(r.run(removalConfirmTime, onlyV1)), 0, "removed twice")
		})
	}
}

// Guards against a list that proves, right after a removal, which release began a
// stream: the removed release may have been announced at the same time.
func TestRemovalProvesNothingUntilConfirmed(t *testing.T) {
	onlyV1 := map[string]release.ID{"a": v1}
	r := newReleaseTest(t)
	r.run(soleReleaseTime, onlyV1)
	applyReleases(t, r.h, 6, r.run(2*time.Second, onlyV1)[0])
	isSole := func() bool {
		_, ok := fleet.SoleRelease(r.h.state.Releases(testService))
		return ok
	}
	assert.Assert(t, !isSole())
	assert.Equal(t, len(r.run(removalConfirmTime-time.Second, onlyV1)), 0, "confirmed too early")
	got := r.run(2*time.Second, onlyV1)
	assert.Equal(t, len(got), 1)
	applyReleases(t, r.h, 7, got[0])
	assert.Assert(t, isSole())
	assert.Equal(t, len(r.run(time.Minute, onlyV1)), 0, "confirmed twice")
	applyReleases(t, r.h, 8, &apiv1.ServiceReleases{Service: testService, Releases: []uint64{uint64(v2)}})
	applyReleases(t, r.h, 9, got[0])
	assert.Equal(t, len(r.h.state.Releases(testService).GetReleases()), 2, "a late confirmation removes a release")
}

// Guards against a release that is removed although it was recorded again meanwhile.
func TestReleaseRecordedAgainIsKept(t *testing.T) {
	r := newReleaseTest(t)
	got := r.run(soleReleaseTime+2*time.Second, map[string]release.ID{"a": v1})
	assert.Equal(t, len(got), 1)
	applyReleases(t, r.h, 6, &apiv1.ServiceReleases{Service: testService, Releases: []uint64{3}})
	applyReleases(t, r.h, 7, got[0])
	assert.Equal(t, len(r.h.state.Releases(testService).GetReleases()), 3)
}

// Guards against submissions that grow in number with what servers announce.
func TestReleaseSubmitsAreBounded(t *testing.T) {
	h := newTestHost()
	for n := range maxReleaseSubmits {
		r := serviceRelease{fmt.Sprint(n), v1}
		assert.Assert(t, h.beginReleaseSubmit(r))
		assert.Assert(t, !h.beginReleaseSubmit(r))
	}
	assert.Assert(t, !h.beginReleaseSubmit(serviceRelease{"other", v1}))
	h.endReleaseSubmit(serviceRelease{"0", v1})
	assert.Assert(t, h.beginReleaseSubmit(serviceRelease{"other", v1}))
}

// Guards against a release that stays unrecorded because it could not be submitted
// when the server was announced.
func TestReleaseIsRecordedLater(t *testing.T) {
	c := newTestCore(t, 1)
	h := c.start(1, c.seeds, true)
	for n := range maxReleaseSubmits {
		assert.Assert(t, h.beginReleaseSubmit(serviceRelease{fmt.Sprint(n), v1}))
	}
	c.announce(1, "a", v1)
	c.announce(1, "b", release.Unknown)
	assert.Assert(t, !h.state.HasRelease(testService, v1))
	for n := range maxReleaseSubmits {
		h.endReleaseSubmit(serviceRelease{fmt.Sprint(n), v1})
	}
	c.waitRelease(v1, 1)
	c.waitRelease(release.Unknown, 1)
}

// Guards against a release that stays unrecorded because the core host that heard the
// server reaches no majority, while others know the server from it.
func TestReleaseHeardByAnotherHostIsRecorded(t *testing.T) {
	h := newTestHost()
	h.mergeEvent(time.Now(), "core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{
		{Id: "a", Service: testService, Address: "10.0.0.1:80", State: uint32(registry.Draining), Sequence: 1, BornMs: 1, Release: uint64(v1)},
		{Id: "b", Service: testService, Address: "10.0.0.2:80", State: uint32(registry.Gone), Sequence: 1, BornMs: 1, Release: uint64(v2)},
	}})
	got := h.observeReleases(time.Now())
	assert.Equal(t, len(got), 1)
	assert.Assert(t, got[serviceRelease{testService, v1}])
}
