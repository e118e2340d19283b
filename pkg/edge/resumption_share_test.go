package edge

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

// soleReleaseCore is a core host that has no record of any stream and knows that v1 is the
// only release of each service.
type soleReleaseCore struct {
	apiv1.UnimplementedFleetServer
	connected chan struct{} // closed with the first message, which the edge host sends once it would ask
	once      sync.Once
}

// Streams implements apiv1.FleetServer.
func (c *soleReleaseCore) Streams(stream grpc.BidiStreamingServer[apiv1.StreamNews, apiv1.StreamNewsReply]) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		c.once.Do(func() { close(c.connected) })
		reply := &apiv1.StreamNewsReply{Stored: m.GetNumber()}
		for _, q := range streamrecord.DecodeNews(time.Now(), m).Queries {
			reply.Answers = append(reply.Answers, streamrecord.Answer{Number: q.Number, State: streamrecord.Sole, Release: v1}.ToProto())
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

// connectSoleReleaseCore connects the server to a soleReleaseCore until the test ends.
func (s *Server) connectSoleReleaseCore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	core, server := &soleReleaseCore{connected: make(chan struct{})}, grpc.NewServer()
	apiv1.RegisterFleetServer(server, core)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	conn, err := feed.Connect(listener.Addr().String(), nil)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); s.UseConnection(ctx, "core", conn) }()
	t.Cleanup(func() { cancel(); <-ended; _ = conn.Close() })
	select {
	case <-core.connected:
	case <-time.After(time.Minute):
		t.Fatal("no connection to the core host")
	}
}

// overloadedDispatcher returns the dispatcher of a host whose workspace "w" is beyond its
// share.
func overloadedDispatcher(now time.Time) *dispatch.Dispatcher {
	d := dispatch.New("edge", "z", now)
	d.SetServiceRate(1000)
	d.SetServers(now, []dispatch.ServerInfo{{ID: "first", Service: "s", DataCentre: "z", Slots: 64, KVTokens: 500_000, Release: v1, Recorded: true, Ready: true, Heard: now}})
	for range 20 {
		d.Admit(now, &dispatch.Request{Workspace: "w", Service: "s", PromptTokens: 10, OutputTokens: 1000, Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute)})
	}
	return d
}

// Guards against take-ups that are refused for the share of their workspace, recorded or
// not, and against a caller that gets ahead of others for good by naming one stream again
// and again.
func TestTakeUpsGoOnBeyondTheShare(t *testing.T) {
	counter := map[string]string{"id": "edge.resumptions.recorded", "never-begun": "edge.resumptions.sole"}
	for _, resumes := range []string{"id", "never-begun"} {
		t.Run(resumes, func(t *testing.T) {
			begin := time.Now()
			now := begin.Add(time.Second)
			d := overloadedDispatcher(begin)
			began := newStreamTest()
			began.s.connectSoleReleaseCore(t)
			began.s.fleetView.releases.merge([]*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{uint64(v1)}, Revision: 1}}, began.s.log)
			takeUps := int64(0)
			takeUp := func() dispatch.Decision {
				takeUps++
				x := began.takeUp("take-up")
				x.in.Resumes = resumes
				x.dispatchReq = &dispatch.Request{Workspace: "w", Service: "s", PromptTokens: 10, OutputTokens: 10_000, Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute)}
				assert.Assert(t, x.bindRelease())
				assert.Equal(t, x.dispatchReq.Release, v1)
				assert.Equal(t, x.s.count(counter[resumes]), takeUps)
				assert.Equal(t, x.dispatchReq.FirstTakeUp, resumes == "id" && takeUps == 1, "only the first one of a record")
				return d.Admit(now, x.dispatchReq)
			}
			v := takeUp()
			assert.Equal(t, v.Action, dispatch.Send, "%s, %s", v.Class, v.Reason)
			for sent := 0; v.Action == dispatch.Send; sent++ {
				assert.Assert(t, sent < 20, "the same stream goes ahead without end")
				v = takeUp()
			}
			assert.Equal(t, v.Action, dispatch.Wait)
			assert.Equal(t, v.Class, dispatch.Late, "it waits for an idle engine and is not refused for the share")
		})
	}
}
