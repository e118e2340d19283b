package recorder

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

// testDeadline bounds each wait. It is long because the machine may be busy.
const testDeadline = 60 * time.Second

// coreHost is a core host with records only.
type coreHost struct {
	apiv1.UnimplementedFleetServer
	address string

	mu      sync.Mutex // guards the fields below
	table   *streamrecord.Table
	isHung  bool
	streams int
	breaks  chan struct{} // closed to end the streams
}

func startCoreHost(t *testing.T) *coreHost {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &coreHost{address: listener.Addr().String(), table: streamrecord.New(1000), breaks: make(chan struct{})}
	server := grpc.NewServer()
	apiv1.RegisterFleetServer(server, c)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return c
}

// Streams implements apiv1.FleetServer.
func (c *coreHost) Streams(stream grpc.BidiStreamingServer[apiv1.StreamNews, apiv1.StreamNewsReply]) error {
	c.mu.Lock()
	isHung, breaks := c.isHung, c.breaks
	c.streams++
	c.mu.Unlock()
	if isHung {
		<-stream.Context().Done()
		return stream.Context().Err()
	}
	ended := make(chan error, 1)
	go func() {
		for {
			m, err := stream.Recv()
			if err == nil {
				err = stream.Send(c.handle(m))
			}
			if err != nil {
				ended <- err
				return
			}
		}
	}()
	select {
	case err := <-ended:
		return err
	case <-breaks:
		return nil
	}
}

func (c *coreHost) handle(m *apiv1.StreamNews) *apiv1.StreamNewsReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	news := streamrecord.DecodeNews(now, m)
	reply := &apiv1.StreamNewsReply{Stored: m.GetNumber()}
	for _, r := range news.Records {
		c.table.Put(now, r)
	}
	for _, q := range news.Queries {
		id, state := c.table.Get(now, q.Key)
		reply.Answers = append(reply.Answers, streamrecord.Answer{Number: q.Number, State: state, Release: id}.ToProto())
	}
	return reply
}

// restart ends the streams and forgets the records.
func (c *coreHost) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = streamrecord.New(1000)
	close(c.breaks)
	c.breaks = make(chan struct{})
}

func (c *coreHost) setHung(isHung bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHung = isHung
}

func (c *coreHost) has(k streamrecord.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, state := c.table.Get(time.Now(), k)
	return state == streamrecord.Recorded
}

func (c *coreHost) streamCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(testDeadline); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s did not happen in %s", what, testDeadline)
		}
	}
}

func waitStored(t *testing.T, stored <-chan struct{}) {
	t.Helper()
	select {
	case <-stored:
	case <-time.After(testDeadline):
		t.Fatalf("the record was not stored in %s", testDeadline)
	}
}

// connect connects the recorder to core hosts until the test ends.
func connect(t *testing.T, r *Recorder, hosts ...*coreHost) {
	t.Helper()
	for _, c := range hosts {
		conn, err := feed.Connect(c.address, nil)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		before := c.streamCount() // the stream may begin at once
		go func() { defer close(ended); r.UseConnection(ctx, c.address, conn) }()
		t.Cleanup(func() { cancel(); <-ended; _ = conn.Close() })
		waitFor(t, "the stream", func() bool { return c.streamCount() > before })
	}
}

// Guards against a record that only the first core host gets, and against one that
// another edge host does not find.
func TestRecordReachesAllCoreHosts(t *testing.T) {
	hosts := []*coreHost{startCoreHost(t), startCoreHost(t), startCoreHost(t)}
	r, other := newTestRecorder(), newTestRecorder()
	early := r.Record(testRecord(1), false) // before any connection
	connect(t, r, hosts...)
	waitStored(t, r.Record(testRecord(2), true))
	waitStored(t, r.Record(testRecord(3), false))
	waitStored(t, early)
	for _, c := range hosts {
		for n := 1; n <= 3; n++ {
			waitFor(t, "the record at a core host", func() bool { return c.has(testKey(n)) })
		}
	}
	connect(t, other, hosts[2])
	waitFor(t, "the answer", func() bool {
		id, state := other.Find(t.Context(), streamrecord.Query{Key: testKey(2), Service: "s"})
		return state == streamrecord.Recorded && id == release.ID(3)
	})
}

// Guards against records that a core host lost in a restart and does not get again.
func TestRestartedCoreHostReceivesTheRecordsAgain(t *testing.T) {
	c := startCoreHost(t)
	r := newTestRecorder()
	connect(t, r, c)
	waitStored(t, r.Record(testRecord(1), true))
	c.restart()
	waitFor(t, "the record at the restarted host", func() bool { return c.has(testKey(1)) })
	waitStored(t, r.Record(testRecord(2), true))
}

// Guards against a core host that hangs and holds up the records and queries of others.
func TestHangingCoreHostDelaysNoOther(t *testing.T) {
	hung, sound := startCoreHost(t), startCoreHost(t)
	hung.setHung(true)
	r := newTestRecorder()
	connect(t, r, hung, sound)
	sound.handle(&apiv1.StreamNews{Records: []*apiv1.StreamRecord{testRecord(9).ToProto(time.Now())}})
	for n := range 50 {
		waitStored(t, r.Record(testRecord(100+n), true))
		waitFor(t, "the answer of the sound host", func() bool {
			_, state := r.Find(t.Context(), streamrecord.Query{Key: testKey(9), Service: "s"})
			return state == streamrecord.Recorded
		})
	}
	hung.setHung(false)
	waitFor(t, "the records at the host that hung", func() bool { return hung.has(testKey(100)) })
}

// Guards against a stream that stays with a core host which no longer replies.
func TestStreamIsOpenedAgainAfterSilence(t *testing.T) {
	c := startCoreHost(t)
	c.setHung(true)
	r := newTestRecorder()
	connect(t, r, c)
	stored := r.Record(testRecord(1), true)
	c.setHung(false)
	waitStored(t, stored)
}

// Guards against data races of callers, connections and replies.
func TestConcurrentUse(t *testing.T) {
	hosts := []*coreHost{startCoreHost(t), startCoreHost(t)}
	r := newTestRecorder()
	connect(t, r, hosts...)
	var wg sync.WaitGroup
	for caller := range 8 {
		wg.Go(func() {
			for n := range 20 {
				waitStored(t, r.Record(testRecord(caller*100+n), n%2 == 0))
				r.Find(t.Context(), streamrecord.Query{Key: testKey(100_000 + n), Service: "s"})
				if caller == 0 && n%5 == 0 {
					hosts[0].restart()
				}
			}
		})
	}
	wg.Wait()
}
