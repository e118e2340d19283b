package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

func newTestServer(name string) *Server {
	s := &Server{config: Config{Name: name}, log: logging.ForComponent("test"), dispatcher: dispatch.New(name, "z", start), fleetView: newTestView(), quarantine: quarantine.New(hashName(name))}
	s.fleetView.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(1, 1), Confirmed: true, Servers: []*apiv1.ServerAnnouncement{testAnnouncement(0, 0)}})
	s.dispatcher.SetServers(start, s.fleetView.serverInfos(start))
	return s
}

func (s *Server) dispatchesToServer() bool {
	r := &dispatch.Request{ID: "r", Service: "s", Arrived: start, Objective: time.Second, Deadline: start.Add(time.Minute)}
	return s.dispatcher.Admit(start, r).Action == dispatch.Send
}

// Guards against new requests to a server that is shutting down, from the host
// that read so in a response and from hosts that learn it from digests, even if a
// digest is lost.
func TestLeavingServerIsSharedWithOtherHosts(t *testing.T) {
	first, second := newTestServer("first"), newTestServer("second")
	a := testAnnouncement(0, 0)
	assert.Assert(t, first.dispatchesToServer())
	first.applyServerHints(dispatch.Decision{Server: a.GetId(), StartMS: a.GetBornMs()}, ResponseMetadata{Leaving: true}, time.Now())
	assert.Assert(t, !first.dispatchesToServer())
	_, _ = first.Digest() // this digest is lost
	m, changed := first.Digest()
	assert.Assert(t, changed)
	assert.Assert(t, second.dispatchesToServer())
	second.MergeDigest(m)
	assert.Assert(t, !second.dispatchesToServer())
	second.HandleEvent("core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{{
		Id: a.GetId(), Service: a.GetService(), Address: a.GetAddress(), State: 1, BornMs: a.GetBornMs(), Sequence: a.GetSequence() + 1}}})
	assert.Assert(t, !second.dispatchesToServer(), "an announcement of the same server process must not clear the mark")
	again, changed := second.Digest()
	assert.Assert(t, changed)
	assert.Equal(t, len(again.GetLeaving()), 1)
}
