package core

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

const (
	testService = "s"
	v1          = release.ID(1)
	v2          = release.ID(2)
)

var testKey = streamrecord.KeyOf("w", "r", "id")

func testRecord(id release.ID) streamrecord.Record {
	return streamrecord.Record{Key: testKey, Release: id, Expires: time.Now().Add(streamrecord.MaxTTL)}
}

func newsOf(records []streamrecord.Record, queries ...streamrecord.Query) *apiv1.StreamNews {
	m := &apiv1.StreamNews{Number: 1}
	for _, r := range records {
		m.Records = append(m.Records, r.ToProto(time.Now()))
	}
	for _, q := range queries {
		m.Queries = append(m.Queries, q.ToProto())
	}
	return m
}

// openStreams opens a Streams call to the core host at the address until the test ends.
func openStreams(t *testing.T, address string) grpc.BidiStreamingClient[apiv1.StreamNews, apiv1.StreamNewsReply] {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	t.Cleanup(cancel)
	stream, err := apiv1.NewFleetClient(conn).Streams(ctx, grpc.WaitForReady(true))
	assert.NilError(t, err)
	return stream
}

// report sends records on a stream of its own, which ends once they are stored.
func report(t *testing.T, address string, records ...streamrecord.Record) {
	t.Helper()
	stream := openStreams(t, address)
	assert.NilError(t, stream.Send(newsOf(records)))
	reply, err := stream.Recv()
	assert.NilError(t, err)
	assert.Equal(t, reply.GetStored(), uint64(1))
	assert.NilError(t, stream.CloseSend())
}

// ask returns the answer of the core host at the address on the stream with testKey.
func ask(t *testing.T, address, service string) streamrecord.Answer {
	t.Helper()
	return askAt(t, address, service, "")
}

// askAt is ask with the place of the route.
func askAt(t *testing.T, address, service, place string) streamrecord.Answer {
	t.Helper()
	stream := openStreams(t, address)
	assert.NilError(t, stream.Send(newsOf(nil, streamrecord.Query{Number: 7, Key: testKey, Service: service, Place: place})))
	for {
		reply, err := stream.Recv()
		assert.NilError(t, err)
		if len(reply.GetAnswers()) == 1 {
			a := streamrecord.DecodeAnswer(reply.GetAnswers()[0])
			assert.Equal(t, a.Number, uint64(7))
			a.Number = 0
			return a
		}
	}
}

// announce has the core host receive an announcement of a server of the release.
func (c *testCore) announce(n int, server string, id release.ID) {
	c.hosts[n].HandleAnnouncement(registry.Entry{
		ID: server, Service: testService, Address: "10.0.0.1:80", State: registry.Ready, Sequence: 1, StartMS: 1, Heard: time.Now(), Release: id,
	})
}

// waitRelease waits until the hosts have applied the release.
func (c *testCore) waitRelease(id release.ID, hosts ...int) {
	c.t.Helper()
	for _, n := range hosts {
		c.waitFor("the recording of the release", func() bool { return c.hosts[n].state.HasRelease(testService, id) })
	}
}

// Guards against records that are lost with the edge host that sent them, against a
// restarted core host that takes a missing record for a proof, and against one that
// does not learn the records again.
func TestRecordsOutliveTheEdgeHost(t *testing.T) {
	c := newTestCore(t, 1)
	c.startAll(1)
	c.announce(1, "a", v1)
	c.announce(1, "b", v2)
	c.waitRelease(v1, 1)
	c.waitRelease(v2, 1)
	assert.Equal(t, ask(t, c.address(1), testService), streamrecord.Answer{State: streamrecord.Unknown})
	report(t, c.address(1), testRecord(v1))
	assert.Equal(t, ask(t, c.address(1), testService), streamrecord.Answer{State: streamrecord.Recorded, Release: v1})
	c.stop(1)
	c.start(1, c.seeds, false)
	c.waitFor("the answer of a host that has applied its log", func() bool {
		a := ask(t, c.address(1), testService)
		assert.Assert(t, a.State == streamrecord.Unknown || a.State == streamrecord.Unconfirmed, "%s", a.State)
		return a.State == streamrecord.Unknown
	})
	report(t, c.address(1), testRecord(v1))
	assert.Equal(t, ask(t, c.address(1), testService), streamrecord.Answer{State: streamrecord.Recorded, Release: v1})
	report(t, c.address(1), testRecord(v2))
	assert.Equal(t, ask(t, c.address(1), testService), streamrecord.Answer{State: streamrecord.Conflict})
}

// Guards against a core host without a majority that proves by an old history that a
// service has had one release only, while streams begin on another one.
func TestSoleReleaseNeedsAMajority(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	c.announce(1, "a", v1)
	c.waitRelease(v1, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		c.waitFor("the confirmation of the history", func() bool {
			a := ask(t, c.address(n), testService)
			assert.Assert(t, a == streamrecord.Answer{State: streamrecord.Sole, Release: v1} || a.State == streamrecord.Unconfirmed, "%s", a.State)
			return a.State == streamrecord.Sole
		})
	}
	assert.Equal(t, ask(t, c.address(1), ""), streamrecord.Answer{State: streamrecord.Unknown}, "the service is not known")
	assert.Equal(t, ask(t, c.address(1), "other"), streamrecord.Answer{State: streamrecord.Unknown})
	c.network.partition([]int{1, 2}, []int{3})
	assert.Equal(t, ask(t, c.address(3), testService), streamrecord.Answer{State: streamrecord.Unconfirmed})
	c.announce(1, "b", v2)
	c.waitRelease(v2, 1, 2)
	assert.Equal(t, ask(t, c.address(1), testService), streamrecord.Answer{State: streamrecord.Unknown})
	assert.Equal(t, ask(t, c.address(3), testService), streamrecord.Answer{State: streamrecord.Unconfirmed})
	report(t, c.address(3), testRecord(v2))
	assert.Equal(t, ask(t, c.address(3), testService), streamrecord.Answer{State: streamrecord.Recorded, Release: v2})
}

// Guards against a host that was cut off and proves by its old history that a service
// has had one release only, once it reaches the others again.
func TestSoleReleaseAfterAPartition(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	c.announce(1, "a", v1)
	c.waitRelease(v1, 1, 2, 3)
	c.network.partition([]int{1, 2}, []int{3})
	c.announce(1, "b", v2)
	c.waitRelease(v2, 1, 2)
	c.network.heal()
	c.waitFor("the newer history at the host", func() bool {
		a := ask(t, c.address(3), testService)
		assert.Assert(t, a.State == streamrecord.Unknown || a.State == streamrecord.Unconfirmed, "%s", a.State)
		return a.State == streamrecord.Unknown
	})
}

// Guards against take-ups that are refused after a restart of all hosts although the
// service has had one release only.
func TestHistoryOutlivesRestartOfAllHosts(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	c.announce(1, "a", v1)
	c.waitRelease(v1, 1, 2, 3)
	for n := 1; n <= 3; n++ {
		c.stop(n)
	}
	for n := 1; n <= 3; n++ {
		c.start(n, c.seeds, false)
	}
	for n := 1; n <= 3; n++ {
		c.waitFor("the confirmation of the history", func() bool {
			a := ask(t, c.address(n), testService)
			assert.Assert(t, a == streamrecord.Answer{State: streamrecord.Sole, Release: v1} || a.State == streamrecord.Unconfirmed, "%s", a.State)
			return a.State == streamrecord.Sole
		})
	}
}

// Guards against a core host that cannot confirm the history and stops to take records
// meanwhile, or lets their sender wait.
func TestRecordsAreStoredWhileAQueryWaits(t *testing.T) {
	h := newTestHost()
	applyReleases(t, h, 1, &apiv1.ServiceReleases{Service: testService, Releases: []uint64{uint64(v1)}})
	block := make(chan struct{})
	h.confirmations.confirm = func() error { <-block; return nil }
	s := &newsStream{h: h, wake: make(chan struct{}, 1)}
	s.handle(time.Now(), newsOf(nil, streamrecord.Query{Number: 1, Key: testKey, Service: testService}))
	m := newsOf([]streamrecord.Record{testRecord(v1)})
	m.Number = 2
	s.handle(time.Now(), m)
	reply := s.nextReply()
	assert.Equal(t, reply.GetStored(), uint64(2))
	assert.Equal(t, len(reply.GetAnswers()), 0)
	close(block)
}

// Guards against an answer from the history although a record arrived during its
// confirmation, and against one that an unconfirmed history proves.
func TestAnswerAfterConfirmation(t *testing.T) {
	q := streamrecord.Query{Number: 4, Key: testKey, Service: testService}
	for _, c := range []struct {
		name    string
		records []streamrecord.Record
		listed  []uint64
		err     error
		want    streamrecord.Answer
	}{
		{"sole", nil, []uint64{uint64(v1)}, nil, streamrecord.Answer{Number: 4, State: streamrecord.Sole, Release: v1}},
		{"not confirmed", nil, []uint64{uint64(v1)}, errBlocked, streamrecord.Answer{Number: 4, State: streamrecord.Unconfirmed}},
		{"record arrived", []streamrecord.Record{testRecord(v2)}, []uint64{uint64(v1)}, nil, streamrecord.Answer{Number: 4, State: streamrecord.Recorded, Release: v2}},
		{"record arrived, not confirmed", []streamrecord.Record{testRecord(v2)}, []uint64{uint64(v1)}, errBlocked, streamrecord.Answer{Number: 4, State: streamrecord.Recorded, Release: v2}},
		{"conflict", []streamrecord.Record{testRecord(v1), testRecord(v2)}, []uint64{uint64(v1)}, nil, streamrecord.Answer{Number: 4, State: streamrecord.Conflict}},
		{"another release appeared", nil, []uint64{uint64(v1), uint64(v2)}, nil, streamrecord.Answer{Number: 4, State: streamrecord.Unknown}},
		{"version not known", nil, []uint64{uint64(release.Unknown)}, nil, streamrecord.Answer{Number: 4, State: streamrecord.Unknown}},
		{"none listed", nil, nil, nil, streamrecord.Answer{Number: 4, State: streamrecord.Unknown}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost()
			h.streams.store(time.Now(), c.records)
			applyReleases(t, h, 1, &apiv1.ServiceReleases{Service: testService, Releases: c.listed})
			assert.Equal(t, h.answerConfirmed(time.Now(), q, c.err), c.want)
		})
	}
}

// Guards against a confirmation that is used for a query which came after it began: it
// says nothing on what was committed since.
func TestLaterQueryWaitsForItsOwnConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c confirmations
		proceed := make(chan error)
		runs := 0
		c.confirm = func() error { runs++; return <-proceed }
		var results []error
		done := func(err error) { results = append(results, err) }
		c.add(done)
		synctest.Wait()
		c.add(done)
		c.add(done)
		synctest.Wait()
		assert.Equal(t, runs, 1, "two confirmations at a time")
		proceed <- nil
		synctest.Wait()
		assert.Equal(t, runs, 2)
		assert.DeepEqual(t, results, []error{nil})
		proceed <- errBlocked
		synctest.Wait()
		assert.Equal(t, runs, 2)
		assert.Equal(t, len(results), 3)
		assert.ErrorIs(t, results[1], errBlocked)
		assert.ErrorIs(t, results[2], errBlocked)
	})
}

// Guards against memory that grows with what an edge host sends: records and queries
// beyond the bounds are dropped and counted.
func TestNewsAreBounded(t *testing.T) {
	h := newTestHost()
	s := &newsStream{h: h, wake: make(chan struct{}, 1)}
	m := &apiv1.StreamNews{}
	for n := range uint64(streamrecord.MaxQueriesPerMessage + 1) {
		m.Queries = append(m.Queries, streamrecord.Query{Number: n, Key: testKey}.ToProto())
	}
	for range maxOpenQueries/streamrecord.MaxQueriesPerMessage + 1 {
		m.Number++
		s.handle(time.Now(), m)
	}
	reply := s.nextReply()
	assert.Equal(t, len(reply.GetAnswers()), maxOpenQueries)
	assert.Equal(t, reply.GetStored(), m.Number)
	assert.Equal(t, h.streams.dropped.Count(), int64(m.Number)+streamrecord.MaxQueriesPerMessage)
	assert.Equal(t, h.streams.answers[streamrecord.Unknown].Count(), int64(maxOpenQueries))
	h.streams.store(time.Now(), []streamrecord.Record{testRecord(v1)})
	now := time.Now()
	var many []streamrecord.Record
	for n := range testRecords + 1 {
		many = append(many, streamrecord.Record{Key: streamrecord.Key{byte(n), byte(n >> 8), 1}, Release: v1, Expires: now.Add(streamrecord.MaxTTL)})
	}
	before := h.streams.dropped.Count()
	h.streams.store(now, many)
	assert.Equal(t, h.streams.records.Value(), int64(testRecords))
	assert.Equal(t, h.streams.dropped.Count(), before+2)
	h.streams.removeExpired(now.Add(streamrecord.MaxTTL))
	assert.Equal(t, h.streams.records.Value(), int64(0))
}

// serveTestHost serves the streams of a host without a replica and returns its address.
func serveTestHost(t *testing.T, h *Host) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(h.panicRecoveryOptions()...)
	apiv1.RegisterFleetServer(server, h)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// Guards against streams of lost edge hosts that stay open.
func TestSilentNewsStreamEnds(t *testing.T) {
	stream := openStreams(t, serveTestHost(t, newTestHost()))
	assert.NilError(t, stream.Send(newsOf(nil)))
	var err error
	for err == nil {
		_, err = stream.Recv()
	}
	assert.Assert(t, !errors.Is(stream.Context().Err(), context.DeadlineExceeded), "the stream stayed open for %s", testDeadline)
}

// Guards against a core host whose process ends because a message makes its handler
// panic.
func TestPanicInNewsEndsOnlyTheStream(t *testing.T) {
	h := newTestHost()
	h.state = nil // makes a query panic
	address := serveTestHost(t, h)
	stream := openStreams(t, address)
	assert.NilError(t, stream.Send(newsOf(nil, streamrecord.Query{Key: testKey, Service: testService})))
	_, err := stream.Recv()
	assert.Assert(t, err != nil)
	report(t, address, testRecord(v1))
}
