package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
)

func newTestServer(name string) *Server {
	s := &Server{config: Config{Name: name}, log: logging.For("test"), dispatcher: dispatch.New(name, "z", start), view: newTestView()}
	s.view.merge(start, &apiv1.FleetEvent{State: state(1, 1), Confirmed: true, Servers: []*apiv1.ServerAnnouncement{announcement(0, 0)}})
	s.dispatcher.SetServers(start, s.view.infos(start))
	return s
}

func (s *Server) sends() bool {
	r := &dispatch.Request{ID: "r", Service: "s", Arrived: start, Objective: time.Second, Deadline: start.Add(time.Minute)}
	return s.dispatcher.Offer(start, r).Kind == dispatch.Send
}

// Guards against work for a server that leaves, from the host that heard it
// and from those that hear it through the exchange, digests lost included.
func TestLeavingServerIsToldToOtherHosts(t *testing.T) {
	first, second := newTestServer("first"), newTestServer("second")
	a := announcement(0, 0)
	assert.Assert(t, first.sends())
	first.heed(dispatch.Verdict{Server: a.GetId(), BornMS: a.GetBornMs()}, Reply{Leaving: true})
	assert.Assert(t, !first.sends())
	_, _ = first.Digest() // lost
	m, changed := first.Digest()
	assert.Assert(t, changed)
	assert.Assert(t, second.sends())
	second.Take(m)
	assert.Assert(t, !second.sends())
	second.Event("core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{{
		Id: a.GetId(), Service: a.GetService(), Address: a.GetAddress(), State: 1, BornMs: a.GetBornMs(), Sequence: a.GetSequence() + 1}}})
	assert.Assert(t, !second.sends(), "an announcement of the same start changes nothing")
	again, changed := second.Digest()
	assert.Assert(t, changed)
	assert.Equal(t, len(again.GetLeaving()), 1)
}
