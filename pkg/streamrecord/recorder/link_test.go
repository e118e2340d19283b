package recorder

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

func newTestRecorder() *Recorder { return New(logging.ForComponent("test"), metrics.NewRegistry()) }

func testKey(n int) streamrecord.Key { return streamrecord.Key{byte(n), byte(n >> 8), byte(n >> 16)} }

func testRecord(n int) streamrecord.Record {
	return streamrecord.Record{Key: testKey(n), Release: release.ID(n + 1), Expires: time.Now().Add(streamrecord.MaxTTL)}
}

// newTestLink connects a core host without a network.
func newTestLink(r *Recorder) (l *link, cause func() error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	l = &link{wake: make(chan struct{}, 1), cancel: cancel, open: map[uint64]*find{}}
	r.addLink(l)
	return l, func() error { return context.Cause(ctx) }
}

// reply has the core host store the message in flight and send the answers.
func (l *link) reply(r *Recorder, answers ...streamrecord.Answer) {
	m := &apiv1.StreamNewsReply{Stored: l.number}
	for _, a := range answers {
		m.Answers = append(m.Answers, a.ToProto())
	}
	r.handleReply(l, m)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a record that counts as stored before a core host has stored it, and
// against one message for each record.
func TestPendingRecordsShareAMessage(t *testing.T) {
	r := newTestRecorder()
	l, _ := newTestLink(r)
	now := time.Now()
	assert.Equal(t, r.nextMessage(now, l, false).GetNumber(), uint64(1), "the first message connects")
	l.reply(r)
	first := r.Record(testRecord(0), false)
	assert.Assert(t, r.nextMessage(now, l, false) == nil, "a record that is not urgent was sent at once")
	second := r.Record(testRecord(1), true)
	m := r.nextMessage(now, l, false)
	assert.Equal(t, len(m.GetRecords()), 2)
	var later []<-chan struct{}
	for n := range streamrecord.MaxRecordsPerMessage + 1 {
		later = append(later, r.Record(testRecord(10+n), true))
	}
	assert.Assert(t, r.nextMessage(now, l, true) == nil, "two messages are in flight")
	r.handleReply(l, &apiv1.StreamNewsReply{Stored: m.GetNumber() - 1})
	assert.Assert(t, !isClosed(first))
	l.reply(r)
	assert.Assert(t, isClosed(first) && isClosed(second))
	assert.Equal(t, len(r.nextMessage(now, l, false).GetRecords()), streamrecord.MaxRecordsPerMessage)
	l.reply(r)
	assert.Assert(t, isClosed(later[0]) && !isClosed(later[len(later)-1]))
	assert.Equal(t, len(r.nextMessage(now, l, false).GetRecords()), 1)
	l.reply(r)
	assert.Assert(t, isClosed(later[len(later)-1]))
	assert.Equal(t, r.stored.Count(), int64(len(later)+2))
	r.Record(testRecord(2), false)
	assert.Equal(t, len(r.nextMessage(now, l, true).GetRecords()), 1)
	l.reply(r)
	assert.Assert(t, r.nextMessage(now, l, true) == nil)
	assert.Equal(t, len(r.nextMessage(now.Add(feed.HeartbeatInterval), l, true).GetRecords()), 0, "no heartbeat")
}

// Guards against records that a core host does not get which was not connected when
// they were made, and against new records that wait for the old ones.
func TestCoreHostReceivesAllLiveRecords(t *testing.T) {
	r := newTestRecorder()
	const old = 3*streamrecord.MaxRecordsPerMessage - 10
	var done []<-chan struct{}
	for n := range old {
		done = append(done, r.Record(testRecord(n), false))
	}
	expired := testRecord(old)
	expired.Expires = time.Now().Add(-time.Second)
	r.Record(expired, true)
	l, _ := newTestLink(r)
	table := streamrecord.New(2 * old)
	isNew := false
	for {
		m := r.nextMessage(time.Now(), l, false)
		if m == nil {
			break
		}
		for _, record := range streamrecord.DecodeNews(time.Now(), m).Records {
			table.Put(time.Now(), record)
		}
		if isNew {
			_, state := table.Get(time.Now(), testKey(old+1))
			assert.Equal(t, state, streamrecord.Recorded, "the new record waits for the old ones")
		} else {
			isNew = true
			r.Record(testRecord(old+1), true)
		}
		l.reply(r)
	}
	assert.Equal(t, table.Len(), old+1)
	for _, c := range done {
		assert.Assert(t, isClosed(c))
	}
}

// Guards against memory that grows while a core host does not reply or none is
// connected.
func TestPendingRecordsAreBounded(t *testing.T) {
	r := newTestRecorder()
	l, cause := newTestLink(r)
	for n := range maxPending + 2 {
		r.Record(testRecord(n), n%2 == 0)
	}
	assert.ErrorIs(t, cause(), errTooManyPending)
	assert.Equal(t, len(l.urgent)+len(l.normal), maxPending)
	assert.Equal(t, len(r.unstored), maxRecords)
	assert.Equal(t, r.table.Len(), maxRecords)
	assert.Equal(t, r.dropped.Count(), int64(4))
}

// Guards against a host that takes its own record for unknown, or a conflict for a
// release.
func TestOwnRecordsNeedNoCoreHost(t *testing.T) {
	r := newTestRecorder()
	r.Record(testRecord(0), false)
	id, state := r.Find(t.Context(), streamrecord.Query{Key: testKey(0), Service: ""})
	assert.Equal(t, state, streamrecord.Recorded)
	assert.Equal(t, id, release.ID(1))
	assert.Equal(t, r.ownOnly.Count(), int64(1))
	other := testRecord(0)
	other.Release = 5
	r.Record(other, false)
	_, state = r.Find(t.Context(), streamrecord.Query{Key: testKey(0), Service: ""})
	assert.Equal(t, state, streamrecord.Conflict)
}
