package recorder

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

const (
	silent = streamrecord.State(100) // a core host that does not answer
	lost   = streamrecord.State(101) // a core host whose stream ends
	noLink = streamrecord.State(102) // no core host is connected
)

// Guards against a release that one core host cannot prove and that is taken for the one
// that began the stream, against a missing answer that is taken for a missing record,
// and against a known record that waits for a silent core host.
func TestFindJoinsTheAnswers(t *testing.T) {
	const (
		unknown, recorded, conflict    = streamrecord.Unknown, streamrecord.Recorded, streamrecord.Conflict
		sole, unconfirmed, v1, nothing = streamrecord.Sole, streamrecord.Unconfirmed, release.ID(1), release.Unknown
	)
	for _, c := range []struct {
		name    string
		answers []streamrecord.State
		want    streamrecord.State
		release release.ID
		after   time.Duration // from the query to the result
	}{
		{"no core host", nil, unconfirmed, nothing, 0},
		{"all unknown", []streamrecord.State{unknown, unknown}, unknown, nothing, 0},
		{"one unconfirmed", []streamrecord.State{unconfirmed, unknown}, unknown, nothing, 0},
		{"all unconfirmed", []streamrecord.State{unconfirmed, unconfirmed}, unconfirmed, nothing, 0},
		{"one recorded", []streamrecord.State{unknown, recorded, unknown}, recorded, v1, 0},
		{"recorded beside a silent one", []streamrecord.State{silent, recorded}, recorded, v1, conflictTime},
		{"sole beside a silent one", []streamrecord.State{silent, sole}, sole, v1, conflictTime},
		{"conflict after recorded", []streamrecord.State{recorded, conflict}, conflict, nothing, 0},
		{"recorded after sole", []streamrecord.State{sole, recorded}, recorded, v1, 0},
		{"conflict", []streamrecord.State{unknown, conflict}, conflict, nothing, 0},
		{"one silent", []streamrecord.State{unknown, silent}, unconfirmed, nothing, findTimeout},
		{"all silent", []streamrecord.State{silent, silent}, unconfirmed, nothing, findTimeout},
		{"one lost", []streamrecord.State{unknown, lost}, unconfirmed, nothing, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRecorder()
				var links []*link
				for range c.answers {
					l, _ := newTestLink(r)
					links = append(links, l)
				}
				begun := time.Now()
				var id release.ID
				var state streamrecord.State
				var isOver atomic.Bool
				go func() {
					id, state = r.Find(t.Context(), streamrecord.Query{Key: testKey(0), Service: "s"})
					isOver.Store(true)
				}()
				synctest.Wait()
				for i, l := range links {
					m := r.nextMessage(time.Now(), l, false)
					assert.Equal(t, len(m.GetQueries()), 1)
					assert.Equal(t, m.GetQueries()[0].GetService(), "s")
					switch c.answers[i] {
					case silent:
					case lost:
						r.removeLink(l)
					default:
						l.reply(r, streamrecord.Answer{Number: m.GetQueries()[0].GetNumber(), State: c.answers[i], Release: v1})
					}
				}
				synctest.Wait()
				if c.after > 0 {
					time.Sleep(c.after - time.Nanosecond) // virtual time
					synctest.Wait()
					assert.Equal(t, isOver.Load(), false)
					time.Sleep(time.Nanosecond)
					synctest.Wait()
				}
				assert.Equal(t, isOver.Load(), true)
				assert.Equal(t, state, c.want)
				assert.Equal(t, id, c.release)
				assert.Equal(t, time.Since(begun), c.after)
				for _, l := range links {
					assert.Equal(t, len(l.open), 0, "a query stays open")
				}
			})
		})
	}
}

// Guards against memory that grows with the queries to a silent core host.
func TestQueriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRecorder()
		l, _ := newTestLink(r)
		const callers = maxOpenQueries + 100
		for range callers {
			go r.Find(t.Context(), streamrecord.Query{Key: testKey(0), Service: "s"})
		}
		synctest.Wait()
		assert.Equal(t, len(l.open), maxOpenQueries)
		assert.Equal(t, len(l.queries), maxOpenQueries)
		assert.Equal(t, len(r.nextMessage(time.Now(), l, false).GetQueries()), streamrecord.MaxQueriesPerMessage)
		time.Sleep(findTimeout)
		synctest.Wait()
		assert.Equal(t, len(l.open), 0)
		assert.Equal(t, r.unconfirmed.Count(), int64(callers))
		l.reply(r)
		assert.Equal(t, len(r.nextMessage(time.Now(), l, false).GetQueries()), 0, "the callers wait no more")
	})
}

// Guards against an id that began streams of two releases at two hosts, and of which each
// host knows its own record only: the core host has both.
func TestConflictOfTwoHostsIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRecorder()
		l, _ := newTestLink(r)
		r.Record(testRecord(1), true)
		states := make(chan streamrecord.State, 1)
		find := func() {
			_, state := r.Find(t.Context(), streamrecord.Query{Key: testKey(1), Service: "s"})
			states <- state
		}
		go find()
		synctest.Wait()
		m := r.nextMessage(time.Now(), l, false)
		assert.Equal(t, len(m.GetQueries()), 1)
		l.reply(r, streamrecord.Answer{Number: m.GetQueries()[0].GetNumber(), State: streamrecord.Conflict})
		assert.Equal(t, <-states, streamrecord.Conflict)
		go find() // a core host that does not answer delays the own record by conflictTime only
		begun := time.Now()
		assert.Equal(t, <-states, streamrecord.Recorded)
		assert.Equal(t, time.Since(begun), conflictTime)
		assert.Equal(t, r.ownOnly.Count(), int64(1), "no core host has named the release")
		l.reply(r)
		go find()
		synctest.Wait()
		m = r.nextMessage(time.Now(), l, false)
		l.reply(r, streamrecord.Answer{Number: m.GetQueries()[0].GetNumber(), State: streamrecord.Recorded, Release: testRecord(1).Release})
		assert.Equal(t, <-states, streamrecord.Recorded)
		assert.Equal(t, r.ownOnly.Count(), int64(1), "a core host has the record too")
	})
}

// Guards against a host that stood still and takes a stream up by its own record alone:
// it has missed a doubt that the core hosts know of, and restarts of servers.
func TestOwnRecordNeedsAnAnswerAfterAStandstill(t *testing.T) {
	for name, c := range map[string]struct {
		answer streamrecord.State // silent, lost or of the core host; noLink for none
		want   streamrecord.State
		after  time.Duration
	}{
		"no core host": {noLink, streamrecord.Unconfirmed, 0},
		"lost":         {lost, streamrecord.Unconfirmed, 0},
		"silent":       {silent, streamrecord.Unconfirmed, findTimeout},
		"in doubt":     {streamrecord.Conflict, streamrecord.Conflict, 0},
		"recorded":     {streamrecord.Recorded, streamrecord.Recorded, 0},
		"restarted":    {streamrecord.Unknown, streamrecord.Recorded, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRecorder()
				var l *link
				if c.answer != noLink {
					l, _ = newTestLink(r)
					r.nextMessage(time.Now(), l, false)
				}
				r.Record(testRecord(1), true)
				r.RequireAnswer()
				if l != nil {
					l.reply(r) // to a message from before
				}
				begun := time.Now()
				state := make(chan streamrecord.State, 1)
				go func() {
					_, s := r.Find(t.Context(), streamrecord.Query{Key: testKey(1), Service: "s"})
					state <- s
				}()
				synctest.Wait()
				if l != nil {
					m := r.nextMessage(time.Now(), l, false)
					switch c.answer {
					case silent:
					case lost:
						r.removeLink(l)
					default:
						l.reply(r, streamrecord.Answer{Number: m.GetQueries()[0].GetNumber(), State: c.answer, Release: testRecord(1).Release})
					}
				}
				assert.Equal(t, <-state, c.want)
				assert.Equal(t, time.Since(begun), c.after)
			})
		})
	}
}

// Guards against a host that refuses its own streams for good after it stood still once.
func TestOwnRecordCountsAgainAfterAReply(t *testing.T) {
	r := newTestRecorder()
	l, _ := newTestLink(r)
	r.Record(testRecord(1), true)
	r.RequireAnswer()
	r.nextMessage(time.Now(), l, false)
	l.reply(r)
	r.removeLink(l)
	_, state := r.Find(t.Context(), streamrecord.Query{Key: testKey(1), Service: "s"})
	assert.Equal(t, state, streamrecord.Recorded)
}
