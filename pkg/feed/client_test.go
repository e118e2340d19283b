package feed

import (
	"context"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
)

// panickingHandler panics on its first event.
type panickingHandler struct{ events int }

func (f *panickingHandler) HandleEvent(string, *apiv1.FleetEvent) {
	if f.events++; f.events == 1 {
		panic("fault")
	}
}

func (*panickingHandler) HandleDisconnect(string, error) {}

// Guards against an edge host that crashes because the handler of an event panics.
func TestHandlerPanicEndsOnlyTheStream(t *testing.T) {
	h := &panickingHandler{}
	c := New(context.Background(), &apiv1.FleetWatcher{}, "", nil, h)
	assert.ErrorIs(t, c.deliver("core", &apiv1.FleetEvent{}), errHandlerPanicked)
	assert.NilError(t, c.deliver("core", &apiv1.FleetEvent{}))
}

// watchServer is a core host that sends one event on each stream. ends is closed to end
// the streams.
type watchServer struct {
	apiv1.UnimplementedFleetServer
	ends chan struct{}
}

func (s *watchServer) Watch(stream grpc.BidiStreamingServer[apiv1.FleetWatcher, apiv1.FleetEvent]) error {
	if err := stream.Send(&apiv1.FleetEvent{}); err != nil {
		return err
	}
	select {
	case <-stream.Context().Done():
	case <-s.ends:
	}
	return nil
}

func (s *watchServer) Read(context.Context, *apiv1.FleetReadRequest) (*apiv1.FleetState, error) {
	return &apiv1.FleetState{Revision: 7}, nil
}

// connectionUser calls the core host on each connection and panics afterwards.
type connectionUser struct {
	ignoringHandler
	address chan string
	ended   chan struct{}
}

func (u *connectionUser) UseConnection(ctx context.Context, address string, conn *grpc.ClientConn) {
	state, err := apiv1.NewFleetClient(conn).Read(ctx, &apiv1.FleetReadRequest{})
	if err != nil || state.GetRevision() != 7 {
		return
	}
	u.address <- address
	<-ctx.Done()
	u.ended <- struct{}{}
	panic("fault")
}

// ignoringHandler is a Handler that ignores what it receives.
type ignoringHandler struct{}

func (ignoringHandler) HandleEvent(string, *apiv1.FleetEvent) {}
func (ignoringHandler) HandleDisconnect(string, error)        {}

// Guards against a handler that gets no connection, keeps one that has ended, or ends
// the process by a panic.
func TestHandlerUsesEachConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	core := &watchServer{ends: make(chan struct{})}
	apiv1.RegisterFleetServer(server, core)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	u := &connectionUser{address: make(chan string), ended: make(chan struct{})}
	New(ctx, &apiv1.FleetWatcher{}, "", nil, u).SetSeeds([]string{listener.Addr().String()})
	for range 2 {
		select {
		case got := <-u.address:
			assert.Equal(t, got, listener.Addr().String())
		case <-ctx.Done():
			t.Fatal("no connection")
		}
		core.ends <- struct{}{}
		<-u.ended
	}
}

// mergingHandler merges events as hosts do.
type mergingHandler struct {
	servers  *registry.Registry
	liveness *Liveness
}

func newMergingHandler() *mergingHandler {
	return &mergingHandler{servers: registry.New(), liveness: NewLiveness()}
}

func (f *mergingHandler) HandleEvent(address string, e *apiv1.FleetEvent) {
	now := time.Now()
	for _, m := range e.GetServers() {
		f.servers.Merge(registry.FromProto(m, now))
	}
	f.liveness.Apply(now, address, e, f.servers, func(string) {})
}

func (*mergingHandler) HandleDisconnect(string, error) {}

// soundServer returns a valid announcement, changed by change.
func soundServer(id string, change func(m *apiv1.ServerAnnouncement)) *apiv1.ServerAnnouncement {
	m := &apiv1.ServerAnnouncement{
		Id: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 6, State: uint32(registry.Ready), Sequence: 4, BornMs: 1000, Vouched: true,
	}
	if change != nil {
		change(m)
	}
	return m
}

// Guards against one invalid announcement among those of a core host that ends the
// stream, replaces a server or ends its renewal.
func TestInvalidServerInEventIsIgnoredAlone(t *testing.T) {
	for name, change := range map[string]func(m *apiv1.ServerAnnouncement){
		"start time":       func(m *apiv1.ServerAnnouncement) { m.BornMs = math.MaxInt64 },
		"sequence":         func(m *apiv1.ServerAnnouncement) { m.Sequence = math.MaxUint64 },
		"slots":            func(m *apiv1.ServerAnnouncement) { m.Slots, m.Sequence = math.MaxUint32, 5 },
		"cold time":        func(m *apiv1.ServerAnnouncement) { m.ColdMs, m.Sequence = math.MaxInt64, 5 },
		"port":             func(m *apiv1.ServerAnnouncement) { m.Address, m.Sequence = "10.0.0.2:0", 5 },
		"state":            func(m *apiv1.ServerAnnouncement) { m.State, m.Sequence = 7, 5 },
		"service":          func(m *apiv1.ServerAnnouncement) { m.Service, m.Sequence = strings.Repeat("s", 1000), 5 },
		"gone, start time": func(m *apiv1.ServerAnnouncement) { m.State, m.BornMs = uint32(registry.Gone), math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newMergingHandler()
			c := New(context.Background(), &apiv1.FleetWatcher{}, "", nil, h)
			assert.NilError(t, c.deliver("core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{soundServer("i", func(m *apiv1.ServerAnnouncement) { m.AgeMs = 5000 })}}))
			want, _ := h.servers.Get("i")
			assert.NilError(t, c.deliver("core", &apiv1.FleetEvent{HeardWithinMs: 1, Servers: []*apiv1.ServerAnnouncement{
				soundServer("i", change), soundServer("j", func(m *apiv1.ServerAnnouncement) { m.Address = "10.0.0.9:80" }),
			}}))
			got, _ := h.servers.Get("i")
			assert.Equal(t, got.Address, want.Address)
			assert.Equal(t, got.Sequence, want.Sequence)
			assert.Equal(t, got.State, registry.Ready)
			assert.Assert(t, got.Heard.After(want.Heard), "the server was not renewed")
			_, known := h.servers.Get("j")
			assert.Assert(t, known)
		})
	}
}

// Guards against ages that overflow or lie in the future: such an entry never
// expires.
func TestOddAgesAreBounded(t *testing.T) {
	for _, age := range []int64{math.MinInt64, -1, 0, math.MaxInt64/int64(time.Millisecond) + 1, math.MaxInt64} {
		h := newMergingHandler()
		h.HandleEvent("core", &apiv1.FleetEvent{HeardWithinMs: age, Servers: []*apiv1.ServerAnnouncement{soundServer("i", func(m *apiv1.ServerAnnouncement) { m.AgeMs = age })}})
		got, _ := h.servers.Get("i")
		assert.Assert(t, time.Since(got.Heard) >= 0, "age %d", age)
		assert.Assert(t, age < 1 || time.Since(got.Heard) > time.Hour, "age %d", age)
	}
}

// Guards against an event of a core host, whatever it holds, that removes or changes
// the servers of another event, or that cannot be passed on to other hosts.
func FuzzEvent(f *testing.F) {
	for _, m := range []*apiv1.ServerAnnouncement{
		soundServer("i-odd", nil),
		soundServer("i-odd", func(m *apiv1.ServerAnnouncement) {
			m.BornMs, m.Sequence, m.AgeMs = math.MaxInt64, math.MaxUint64, math.MinInt64
		}),
		soundServer("i-odd", func(m *apiv1.ServerAnnouncement) { m.Address, m.ColdMs = "[::]:0", math.MaxInt64 }),
		soundServer("", func(m *apiv1.ServerAnnouncement) { m.State, m.Address = uint32(registry.Gone), "" }),
	} {
		data, err := proto.Marshal(&apiv1.FleetEvent{HeardWithinMs: math.MaxInt64, Servers: []*apiv1.ServerAnnouncement{m, m}, Edges: []*apiv1.EdgeHost{{AgeMs: -1, Connected: true}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e := &apiv1.FleetEvent{}
		if proto.Unmarshal(data, e) != nil {
			return
		}
		h := newMergingHandler()
		c := New(context.Background(), &apiv1.FleetWatcher{}, "", nil, h)
		assert.NilError(t, c.deliver("core", e))
		rest := soundServer("i-rest", nil)
		assert.NilError(t, c.deliver("core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{rest}}))
		entries, _ := h.servers.ModifiedSince(0)
		out := &apiv1.FleetEvent{}
		now := time.Now()
		for i := range entries {
			if err := entries[i].Validate(now); err != nil || entries[i].Heard.After(now) {
				t.Fatalf("%+v: %v", entries[i], err)
			}
			out.Servers = append(out.Servers, entries[i].ToProto(now))
		}
		if _, err := proto.Marshal(out); err != nil {
			t.Fatal(err)
		}
		named := false
		for _, m := range e.GetServers() {
			named = named || m.GetId() == rest.Id
		}
		if _, known := h.servers.Get(rest.Id); !known && !named {
			t.Fatal("the rest of the list is lost")
		}
	})
}
