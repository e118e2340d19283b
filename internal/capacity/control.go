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
	designRecords = 200_000 // the bound of the idempotency table
	watchPatience = 60 * time.Second
)

// directLog applies commands at once: it stands in for the replicated log
// where the cost of the state alone is measured.
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

func newControl() (*control.Server, *directLog) {
	log := &directLog{state: control.NewReplicatedState()}
	return control.NewServer(control.Config{Registry: metrics.NewRegistry()}, log, log.state), log
}

// records runs n keyed requests to their end. It panics on a refusal, which
// would make the figure meaningless.
func records(n int) (*control.Server, *directLog) {
	s, log := newControl()
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

// RecordMemory measures the heap of idempotency records with answers of 200
// bytes at a control host.
func RecordMemory() Slope {
	s := Slope{Role: "leader, follower", Name: "idempotency records memory", XName: "record", Unit: "B", At: designRecords, Budget: controlMemory}
	for _, n := range recordSizes {
		bytes := heapOf(func() any { server, _ := records(n); return server })
		s.Points = append(s.Points, Point{float64(n), bytes})
	}
	return s
}

// RecordTraffic measures the log bytes that the leader sends to each follower
// for keyed requests.
func RecordTraffic() Slope {
	s := Slope{Role: "leader", Name: "log to 4 followers for keyed requests", XName: "keyed request/s", Unit: "B/s", At: keyedRequests, Budget: controlBytesPerSecond}
	const followers, sample = 4, 1_000
	_, log := records(sample)
	perRequest := float64(log.bytes)/sample + 2*framing
	for _, rate := range []float64{1, 5, 20, 100} {
		s.Points = append(s.Points, Point{rate, rate * perRequest * followers})
	}
	return s
}

// keyedRequests is the rate of keyed requests that may not run twice: one in a
// hundred of all requests, as an order desk among model work.
const keyedRequests = designRequests / 100

// SnapshotSize measures the snapshot of a control host.
func SnapshotSize() Slope {
	s := Slope{Role: "leader, follower", Name: "snapshot", XName: "record", Unit: "B", At: designRecords}
	for _, n := range recordSizes {
		_, log := records(n)
		data, err := log.state.Snapshot()
		if err != nil {
			panic(err)
		}
		s.Points = append(s.Points, Point{float64(n), float64(len(data))})
	}
	return s
}

// RestoreTime measures how long a restarted control host takes to read its
// snapshot.
func RestoreTime() Slope {
	s := Slope{Role: "leader, follower", Name: "restore from a snapshot", XName: "record", Unit: "s", At: designRecords}
	for _, n := range recordSizes {
		_, log := records(n)
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

// watchServer serves watch streams of one catalog as a control host does.
type watchServer struct {
	apiv1.UnimplementedControlServer
	store *catalog.Store
}

func (w *watchServer) Watch(in *apiv1.WatchRequest, stream grpc.ServerStreamingServer[apiv1.WatchEvent]) error {
	confirmed := func(context.Context) bool { return true }
	return catalog.ServeWatch(stream.Context(), w.store, in.GetAfterRevision(), confirmed, stream.Send)
}

// watchers is a number of routers that follow one control host over loopback.
type watchers struct {
	source *catalog.Store
	stores []*catalog.Store
	cancel context.CancelFunc
	server *grpc.Server
	wait   sync.WaitGroup
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
	w.wait.Go(func() { _ = w.server.Serve(listener) })
	for i := range n {
		client, err := controlclient.New(controlclient.Config{
			Addresses: []string{listener.Addr().String()}, Router: fmt.Sprintf("router-%03d", i),
		})
		if err != nil {
			panic(err)
		}
		store := catalog.NewStore()
		w.stores = append(w.stores, store)
		w.wait.Go(func() {
			defer client.Close()
			_ = client.Watch(ctx, store)
		})
	}
	return w
}

func (w *watchers) stop() {
	w.cancel()
	w.server.Stop()
	w.wait.Wait()
}

// await returns the time until every router holds the revision.
func (w *watchers) await(revision uint64) time.Duration {
	before := time.Now()
	for _, s := range w.stores {
		changed, stop := s.Subscribe()
		for s.Revision() < revision {
			select {
			case <-changed:
			case <-time.After(watchPatience):
				panic("a router did not get the configuration")
			}
		}
		stop()
	}
	return time.Since(before)
}

// ChangeSpread measures the time until a change is in force at every router
// when one control host serves all of them, the mean of ten changes.
func ChangeSpread() Slope {
	s := Slope{Role: "leader", Name: "change in force, all routers at one host", XName: "router", Unit: "s", At: designRouters, Budget: changeInForceSeconds}
	const rounds, workspaces = 10, 100
	for _, n := range []int{10, 50, 150, 380} {
		w := startWatchers(n, workspaces)
		w.await(1)
		var sum time.Duration
		for i := range rounds {
			revision := uint64(i + 2)
			w.source.ApplyDelta(revision-1, revision, []*apiv1.Change{workspaceChange(i)})
			sum += w.await(revision)
		}
		w.stop()
		s.Points = append(s.Points, Point{float64(n), sum.Seconds() / rounds})
	}
	return s
}

// RestartStorm measures the time until routers that start at once hold the
// catalog of 40,000 workspaces, all from one host.
func RestartStorm() Slope {
	s := Slope{Role: "leader", Name: "routers restarting at once get the catalog", XName: "router", Unit: "s", At: restartsAtOnce, Budget: changeInForceSeconds}
	for _, n := range []int{10, 20, 40, 70} {
		before := time.Now()
		w := startWatchers(n, designWorkspaces)
		w.await(1)
		s.Points = append(s.Points, Point{float64(n), time.Since(before).Seconds()})
		w.stop()
	}
	return s
}

// restartsAtOnce takes the restarts of an ordinary day in one moment.
const restartsAtOnce = 70

// HeartbeatTraffic measures the bytes a second that a host sends for the
// heartbeats of its watch streams.
func HeartbeatTraffic() Slope {
	s := Slope{Role: "relay, leader", Name: "watch heartbeats", XName: "stream", Unit: "B/s", At: relayStreams, Budget: controlBytesPerSecond}
	one := 1 / catalog.HeartbeatInterval.Seconds() * (framing + heartbeatBytes)
	for _, n := range []float64{4, 8, 16, 48} {
		s.Points = append(s.Points, Point{n, n * one})
	}
	return s
}

const (
	heartbeatBytes = 14 // two revisions and the confirmed flag
	// relayStreams is the fan-out of a relay; two routers of each data centre
	// watch the control hosts, so a leader alone would serve 16.
	relayStreams = 8
)
