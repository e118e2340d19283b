package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/control"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
)

const (
	designIdempotencyRecords = 200_000 // limit of the idempotency table
	watchTimeout             = 60 * time.Second
)

// directLog replaces the replicated log and applies commands immediately, to
// measure the cost of the state alone.
type directLog struct {
	mu    sync.Mutex
	state *control.ReplicatedState
	index uint64
	bytes int
}

func (l *directLog) Propose(_ context.Context, command []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.bytes += len(command)
	return l.state.Apply(l.index, command), nil
}

func (l *directLog) ReadBarrier(context.Context) error                        { return nil }
func (l *directLog) ChangeMember(context.Context, control.MemberChange) error { return nil }
func (l *directLog) Status() control.LogStatus {
	return control.LogStatus{ID: 1, Leader: 1}
}

func newControlServer() (*control.Server, *directLog) {
	log := &directLog{state: control.NewReplicatedState()}
	return control.NewServer(control.Config{Registry: metrics.NewRegistry()}, log, log.state), log
}

// runKeyedRequests begins and finishes n keyed requests. It panics on a refusal,
// which would invalidate the measurement.
func runKeyedRequests(n int) (*control.Server, *directLog) {
	s, log := newControlServer()
	for i := range n {
		begin := &apiv1.BeginRequest{
			Workspace: workspaceName(i % designWorkspaces), Key: fmt.Sprintf("6f0c4a1e-77b2-4d0e-9d53-%012d", i),
			Fingerprint: make([]byte, 32), Router: "router-001", Incarnation: 1, Attempt: uint64(i + 1),
		}
		out, err := s.Begin(context.Background(), begin)
		if err != nil || out.GetState() != apiv1.BeginState_BEGIN_STARTED {
			panic(fmt.Sprintf("keyed request %d: %v %v", i, out, err))
		}
		answer := &apiv1.StoredAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}
		if _, err := s.Finish(context.Background(), &apiv1.FinishRequest{Begin: begin, Answer: answer}); err != nil {
			panic(err)
		}
	}
	return s, log
}

var recordSizes = []int{5_000, 10_000, 20_000, 40_000}

// RecordMemory measures the heap of a control host for idempotency records with
// stored answers of 200 bytes.
func RecordMemory() Slope {
	s := Slope{Role: "leader, follower", Name: "idempotency records memory", SizeName: "record", Unit: "B", DesignSize: designIdempotencyRecords, Budget: controlMemoryBytes}
	for _, n := range recordSizes {
		bytes := retainedHeapBytes(func() any { server, _ := runKeyedRequests(n); return server })
		s.Points = append(s.Points, Point{float64(n), bytes})
	}
	return s
}

// RecordTraffic measures the log bytes per second that the leader sends to 4
// followers for keyed requests.
func RecordTraffic() Slope {
	s := Slope{Role: "leader", Name: "log to 4 followers for keyed requests", SizeName: "keyed request/s", Unit: "B/s", DesignSize: keyedRequestsPerSecond, Budget: controlBytesPerSecond}
	const followers, sample = 4, 1_000
	_, log := runKeyedRequests(sample)
	perRequest := float64(log.bytes)/sample + 2*grpcMessageOverheadBytes
	for _, rate := range []float64{1, 5, 20, 100} {
		s.Points = append(s.Points, Point{rate, rate * perRequest * followers})
	}
	return s
}

// keyedRequestsPerSecond is the rate of keyed requests that must not run twice:
// 1% of all requests, as in a deployment with mostly model requests.
const keyedRequestsPerSecond = designRequestsPerSecond / 100

// SnapshotSize measures the size of a control host's snapshot.
func SnapshotSize() Slope {
	s := Slope{Role: "leader, follower", Name: "snapshot", SizeName: "record", Unit: "B", DesignSize: designIdempotencyRecords}
	for _, n := range recordSizes {
		_, log := runKeyedRequests(n)
		data, err := log.state.Snapshot()
		if err != nil {
			panic(err)
		}
		s.Points = append(s.Points, Point{float64(n), float64(len(data))})
	}
	return s
}

// RestoreTime measures the time in which a restarted control host restores its
// snapshot.
func RestoreTime() Slope {
	s := Slope{Role: "leader, follower", Name: "restore from a snapshot", SizeName: "record", Unit: "s", DesignSize: designIdempotencyRecords}
	for _, n := range recordSizes {
		_, log := runKeyedRequests(n)
		data, err := log.state.Snapshot()
		if err != nil {
			panic(err)
		}
		before := time.Now()
		if err := control.NewReplicatedState().Restore(data); err != nil {
			panic(err)
		}
		s.Points = append(s.Points, Point{float64(n), time.Since(before).Seconds()})
	}
	return s
}

// watchServer serves the watch streams of one catalog as a control host does.
type watchServer struct {
	apiv1.UnimplementedControlServer
	store *catalog.Store
}

func (w *watchServer) Watch(in *apiv1.WatchRequest, stream grpc.ServerStreamingServer[apiv1.WatchEvent]) error {
	confirmed := func(context.Context) bool { return true }
	return catalog.ServeWatch(stream.Context(), w.store, in.GetAfterRevision(), confirmed, stream.Send)
}

// watchers are routers that watch the catalog of one control host over loopback.
type watchers struct {
	source *catalog.Store
	stores []*catalog.Store
	cancel context.CancelFunc
	server *grpc.Server
	wg     sync.WaitGroup
}

func startWatchers(n, workspaces int) *watchers {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &watchers{source: catalog.NewStore(), cancel: cancel, server: grpc.NewServer(controlclient.ServerOptions()...)}
	w.source.ApplySnapshot(1, workspaceChanges(workspaces))
	apiv1.RegisterControlServer(w.server, &watchServer{store: w.source})
	w.wg.Go(func() { _ = w.server.Serve(listener) })
	for i := range n {
		client, err := controlclient.New(controlclient.Config{
			Addresses: []string{listener.Addr().String()}, Router: fmt.Sprintf("router-%03d", i),
		})
		if err != nil {
			panic(err)
		}
		store := catalog.NewStore()
		w.stores = append(w.stores, store)
		w.wg.Go(func() {
			defer client.Close()
			_ = client.Watch(ctx, store)
		})
	}
	return w
}

func (w *watchers) stop() {
	w.cancel()
	w.server.Stop()
	w.wg.Wait()
}

// waitForRevision waits until every router has applied the revision and returns
// the time that took.
func (w *watchers) waitForRevision(revision uint64) time.Duration {
	before := time.Now()
	for _, s := range w.stores {
		changed, stop := s.Subscribe()
		for s.Revision() < revision {
			select {
			case <-changed:
			case <-time.After(watchTimeout):
				panic("a router did not receive the revision within the watch timeout")
			}
		}
		stop()
	}
	return time.Since(before)
}

// ChangePropagationTime measures the time until every router has applied a
// change when one control host serves all of them, as the mean of ten changes.
func ChangePropagationTime() Slope {
	s := Slope{Role: "leader", Name: "change in force, all routers at one host", SizeName: "router", Unit: "s", DesignSize: designRouters, Budget: changePropagationSeconds}
	const rounds, workspaces = 10, 100
	for _, n := range []int{10, 50, 150, 380} {
		w := startWatchers(n, workspaces)
		w.waitForRevision(1)
		var sum time.Duration
		for i := range rounds {
			revision := uint64(i + 2)
			w.source.ApplyDelta(revision-1, revision, []*apiv1.Change{workspaceChange(i)})
			sum += w.waitForRevision(revision)
		}
		w.stop()
		s.Points = append(s.Points, Point{float64(n), sum.Seconds() / rounds})
	}
	return s
}

// SimultaneousRestartTime measures the time until routers that start
// simultaneously have received a catalog of 40,000 workspaces from one control
// host.
func SimultaneousRestartTime() Slope {
	s := Slope{Role: "leader", Name: "routers restarting at once get the catalog", SizeName: "router", Unit: "s", DesignSize: simultaneousRestarts, Budget: changePropagationSeconds}
	for _, n := range []int{10, 20, 40, 70} {
		before := time.Now()
		w := startWatchers(n, designWorkspaces)
		w.waitForRevision(1)
		s.Points = append(s.Points, Point{float64(n), time.Since(before).Seconds()})
		w.stop()
	}
	return s
}

// simultaneousRestarts is the number of router restarts of an ordinary day.
const simultaneousRestarts = 70

// HeartbeatTraffic measures the bytes per second that a host sends as heartbeats
// on its watch streams.
func HeartbeatTraffic() Slope {
	s := Slope{Role: "relay, leader", Name: "watch heartbeats", SizeName: "stream", Unit: "B/s", DesignSize: relayStreams, Budget: controlBytesPerSecond}
	bytesPerSecond := 1 / catalog.HeartbeatInterval.Seconds() * (grpcMessageOverheadBytes + heartbeatPayloadBytes)
	for _, n := range []float64{4, 8, 16, 48} {
		s.Points = append(s.Points, Point{n, n * bytesPerSecond})
	}
	return s
}

const (
	heartbeatPayloadBytes = 14 // two revisions and the confirmed flag
	// relayStreams is the fan-out of a relay. Two routers of each data centre
	// watch the control hosts, so a leader that serves all of them has 16 streams.
	relayStreams = 8
)
