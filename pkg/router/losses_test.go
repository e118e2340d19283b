package router

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/losses"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against evidence that takes the begin of an answer for its end or the
// reverse: a sound request of a long stream stays a suspect until the stream ends,
// or a request that crashes its server at the first byte counts as answered.
func TestAnswersThatGoOnClearSuspects(t *testing.T) {
	self := pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}
	const part, lossGap = 77, 300 * time.Millisecond
	whole := quarantine.RequestSuspect(78)
	const wait, moment = answerBeginTime + time.Millisecond, answerBeginTime / 10
	for _, tc := range []struct {
		name     string
		status   int
		writes   int           // writes of the answer
		pause    time.Duration // between them
		silence  time.Duration // from the last write to the end
		report   proxy.Report
		clears   bool // with several writes also before the end
		notBegun int
	}{
		{"stream that goes on", 200, 2, wait, 0, proxy.Report{IsStream: true, Lost: true}, true, 0},
		{"lost at the first byte", 200, 2, moment, 0, proxy.Report{IsStream: true, Lost: true}, false, 1},
		{"lost before the first byte", 0, 0, 0, wait, proxy.Report{Lost: true}, false, 1},
		{"lost after a while", 200, 1, 0, wait, proxy.Report{IsStream: true, Lost: true}, false, 0},
		{"lost at the first byte, resumed in vain", 200, 1, 0, wait, proxy.Report{IsStream: true, Lost: true, ResumeCount: 3}, false, 1},
		{"short stream", 200, 1, 0, 0, proxy.Report{IsStream: true}, true, 0},
		{"answer", 200, 1, 0, 0, proxy.Report{}, true, 0},
		{"empty answer", 204, 0, 0, 0, proxy.Report{}, true, 0},
		{"not found", 404, 1, 0, 0, proxy.Report{}, false, 0},
		{"long text of not found", 404, 2, wait, 0, proxy.Report{}, false, 0},
		{"error of the server", 500, 2, wait, 0, proxy.Report{}, false, 0},
		{"limit of the server", 429, 1, 0, 0, proxy.Report{}, false, 0},
		{"silent", 0, 0, 0, wait, proxy.Report{Err: result.New(result.ServerSilent, "silent")}, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := New(NewConfig(), self, Dependencies{Catalog: catalog.NewStore(), Ownership: NewStaticOwnership(self), Pool: pool.DefaultConfig()})
			synctest.Test(t, func(t *testing.T) {
				suspected := func(suspect uint64) bool {
					return r.quarantine.tracker.SuspectsAgain(time.Now(), []uint64{suspect})
				}
				for server := range uint64(2) {
					r.quarantine.tracker.AddLoss(time.Now(), quarantine.Loss{
						Server: quarantine.Server{Hash: server}, At: time.Now(), Parts: []uint64{part}, Requests: []quarantine.Sent{{Request: whole, At: time.Now()}}, Lost: 1,
					})
					time.Sleep(lossGap)
				}
				assert.Assert(t, suspected(part) && suspected(whole))
				q := &request{suspects: []uint64{part, whole}, dispatchedAt: time.Now()}
				m := &answerMonitor{Sink: newCallerSink(httptest.NewRecorder(), time.Second, false), r: r, q: q}
				if tc.status > 0 {
					assert.NilError(t, m.WriteHead(tc.status, http.Header{}))
				}
				for i := range tc.writes {
					if i > 0 {
						time.Sleep(tc.pause)
					}
					_, err := m.Write([]byte("data: 1\n\n"))
					assert.NilError(t, err)
				}
				if tc.writes > 1 {
					assert.Equal(t, !suspected(part), tc.clears, "before the end")
				}
				time.Sleep(tc.silence)
				tc.report.Status = tc.status
				if tc.report.Lost {
					tc.report.Err = result.New(result.StreamBroken, "lost")
				}
				p := losses.Process{ID: "s1", Address: "127.0.0.1:1", BootID: 5}
				// Without a check of the process, which needs a connection.
				r.quarantine.losses.Add(time.Now(), p, losses.Request{Begun: true})
				r.observeAttempt(q, pool.Grant{Server: p.ID, Address: p.Address, BootID: p.BootID}, m, tc.report)
				assert.Equal(t, !suspected(part), tc.clears, "at the end")
				assert.Equal(t, !suspected(whole), tc.clears || tc.status == http.StatusNotFound, "the request at the end")
				l := r.quarantine.losses.TakeRestarted(time.Now(), p.Address, func(losses.Process) bool { return true })
				notBegun := 0
				if l != nil {
					notBegun = l.NotBegun
				}
				assert.Equal(t, notBegun, tc.notBegun)
			})
		})
	}
}

// Guards against the second attempt of a router being reported as a further try of the
// caller.
func TestLossOfASecondAttemptIsReportedAsSuch(t *testing.T) {
	self := pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}
	r := New(NewConfig(), self, Dependencies{Catalog: catalog.NewStore(), Ownership: NewStaticOwnership(self), Pool: pool.DefaultConfig()})
	q := &request{suspects: []uint64{quarantine.RequestSuspect(1)}, dispatchedAt: time.Now()}
	for i, want := range []quarantine.Copy{quarantine.FirstCopy, quarantine.FurtherCopy} {
		p := losses.Process{ID: strconv.Itoa(i), Address: "127.0.0.1:1", BootID: 5}
		// Without a check of the process, which needs a connection.
		r.quarantine.losses.Add(time.Now(), p, losses.Request{Begun: true})
		m := &answerMonitor{Sink: newCallerSink(httptest.NewRecorder(), time.Second, false), r: r, q: q}
		r.observeAttempt(q, pool.Grant{Server: p.ID, Address: p.Address, BootID: p.BootID}, m, proxy.Report{Lost: true, Err: result.New(result.StreamBroken, "lost")})
		l := r.quarantine.losses.TakeRestarted(time.Now(), p.Address, func(losses.Process) bool { return true })
		assert.Equal(t, l.Requests[0].Copy, want)
	}
}

// Guards against an announcement of an earlier process that arrives late, over
// another router, counting as the end of the current one.
func TestDelayedAnnouncementEndsNoProcess(t *testing.T) {
	table, now := newServerTable(), time.Now()
	announce := func(boot uint64) { table.update(now, backend.Announcement{Name: "s1", Pool: "p", BootID: boot}) }
	announce(90)
	assert.Assert(t, !table.isEarlierBoot("s1", 90))
	assert.Assert(t, !table.isEarlierBoot("s1", 20), "a process that this router does not know yet")
	announce(20) // boot ids have no order
	assert.Assert(t, table.isEarlierBoot("s1", 90) && !table.isEarlierBoot("s1", 20))
	announce(90)
	assert.Assert(t, !table.isEarlierBoot("s1", 20))
	announce(20)
	announce(20)
	assert.Assert(t, table.isEarlierBoot("s1", 90) && !table.isEarlierBoot("s1", 20))
	assert.Assert(t, !table.isEarlierBoot("s2", 90))
}

// Guards against a process counting as started when its first announcement arrives,
// although the router was cut off before or saw no process before it.
func TestStartOfProcessIsSeenOnlyAfterLiveOne(t *testing.T) {
	table, now := newServerTable(), time.Now()
	announce := func(after time.Duration, boot uint64) {
		now = now.Add(after)
		table.update(now, backend.Announcement{Name: "s1", Pool: "p", BootID: boot})
	}
	startedAt := func(boot uint64) time.Time { return table.startedAt("s1", boot) }
	announce(0, 90)
	assert.Assert(t, startedAt(90).IsZero(), "it may have started before this router")
	announce(time.Second, 20)
	seen := now
	announce(time.Second, 20)
	assert.Equal(t, startedAt(20), seen)
	assert.Assert(t, startedAt(90).IsZero() && startedAt(30).IsZero())
	announce(backend.AnnouncementTimeout+time.Millisecond, 30)
	assert.Assert(t, startedAt(30).IsZero(), "it may have started while this router was cut off")
	announce(0, 20)
	assert.Assert(t, startedAt(20).IsZero(), "a delayed announcement")
}
