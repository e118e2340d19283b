package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// confirmingRouter is a router whose operators state the versions, and which asks confirm
// what is committed.
func confirmingRouter(t *testing.T, versions release.Versions, confirm func(ctx context.Context, store *catalog.Store) error) *testRouter {
	return newTestRouterAs(t, testSelf, func(_ *Config, d *Dependencies) {
		if versions != release.Unstated {
			d.Catalog.ApplyDelta(1, 2, []*apiv1.Change{stateVersions(versions)})
		}
		d.Confirm = func(ctx context.Context) error { return confirm(ctx, d.Catalog) }
	})
}

// Guards against a take-up at a router that is out of step, because it is cut off from
// control or has stood still: it passes the request to a server of any version by a
// statement that operators have replaced meanwhile. With a statement that is confirmed
// the take-up goes on.
func TestTakeUpIsRefusedAtARouterThatIsOutOfStep(t *testing.T) {
	const path = "/services/p/x"
	for _, versions := range []release.Versions{release.One, release.Unstated} {
		for name, c := range map[string]struct {
			confirm func(ctx context.Context, store *catalog.Store) error
			code    string // of the refusal, "" for none
		}{
			"in step":     {func(context.Context, *catalog.Store) error { return nil }, ""},
			"no majority": {func(context.Context, *catalog.Store) error { return errors.New("no majority") }, "129"},
			"cut off": {func(ctx context.Context, _ *catalog.Store) error {
				<-ctx.Done()
				return ctx.Err()
			}, "129"},
			"behind": {func(_ context.Context, store *catalog.Store) error {
				store.ApplyDelta(1, 3, []*apiv1.Change{stateVersions(release.Several)})
				return nil
			}, "128"},
		} {
			t.Run(fmt.Sprintf("%s, operators state %s", name, versions), func(t *testing.T) {
				tr := confirmingRouter(t, versions, c.confirm)
				s := newTakeUpServer(t, eventStream, "")
				tr.announceVersion(t, "s1", s, backend.Announcement{})
				begun := time.Now()
				resp, body := tr.takeUp(t, path)
				if c.code == "" {
					assert.Check(t, resp.StatusCode == http.StatusOK && body == restOfStream, "%d %s", resp.StatusCode, body)
					assert.Equal(t, tr.router.counters.takeUpsConfirmed.Count(), int64(2), "when it came and when it was sent")
					return
				}
				assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerResult) == c.code && resp.Header.Get(headerExecuted) == "no", "%d %s", resp.StatusCode, body)
				assert.Check(t, time.Since(begun) < 5*time.Second, "not refused at once")
				assert.Equal(t, s.count.Load(), int64(0), "sent to a server")
				assert.Equal(t, tr.router.counters.takeUpsRefused.Count(), int64(1))
				resp, body = do(t, tr.request(t, http.MethodPost, path, "chat", chatBody(1)))
				assert.Check(t, resp.StatusCode == http.StatusOK, "a stream from its beginning: %s", body)
			})
		}
	}
}

// Guards against a take-up that goes to a server which joined while the request waited
// for a place, by a confirmation from before the wait.
func TestTakeUpThatWaitedIsConfirmedAgain(t *testing.T) {
	var several atomic.Bool
	tr := confirmingRouter(t, release.One, func(_ context.Context, store *catalog.Store) error {
		if several.Load() {
			store.ApplyDelta(2, 3, []*apiv1.Change{stateVersions(release.Several)})
		}
		return nil
	})
	s := newTakeUpServer(t, eventStream, "")
	tr.announceVersion(t, "s1", s, backend.Announcement{State: backend.Starting})
	answered := make(chan *http.Response, 1)
	req := tr.request(t, http.MethodPost, "/services/p/x", "chat", "{}", headerLastEventID, "7")
	go func() {
		resp, _ := tryDo(req)
		answered <- resp
	}()
	tr.waitFor(t, "the take-up waits", func() bool {
		waiting, _ := tr.router.askTable.counts()
		return waiting == 1
	})
	several.Store(true)
	tr.announceVersion(t, "s1", s, backend.Announcement{})
	resp := <-answered
	assert.Assert(t, resp != nil && resp.Header.Get(headerResult) == "128" && resp.Header.Get(headerExecuted) == "no")
	assert.Equal(t, s.count.Load(), int64(0))
}

// Guards against the answer to a take-up whose confirmation is old when it arrives,
// because the router stood still after it: the server may have been replaced meanwhile.
func TestOldConfirmationIsRepeatedBeforeTheAnswer(t *testing.T) {
	var confirmations atomic.Int64
	tr := confirmingRouter(t, release.One, func(_ context.Context, store *catalog.Store) error {
		confirmations.Add(1)
		store.ApplyDelta(2, 3, []*apiv1.Change{stateVersions(release.Several)})
		return nil
	})
	q := &request{id: "1", poolName: "p", confirmedAt: time.Now()}
	q.req = httptest.NewRequest(http.MethodPost, "/services/p/x", nil)
	known := func() release.Versions { return tr.router.versions("p") }
	assert.Equal(t, tr.router.confirmedVersions(q, known), release.One, "not a take-up")
	q.req.Header.Set(headerLastEventID, "7")
	assert.Equal(t, tr.router.confirmedVersions(q, known), release.One, "confirmed lately")
	assert.Equal(t, confirmations.Load(), int64(0))
	q.confirmedAt = time.Now().Add(-takeUpConfirmationAge - time.Second)
	assert.Equal(t, tr.router.confirmedVersions(q, known), release.Several, "the statement was replaced meanwhile")
	assert.Equal(t, confirmations.Load(), int64(1))
}

// Guards against a take-up that a router which was suspended passes on before its loop
// has noticed that.
func TestHeardServersAreDoubtedBeforeTheLoopRuns(t *testing.T) {
	store := catalog.NewStore()
	store.ApplySnapshot(1, configuration())
	r := New(NewConfig(), testSelf, Dependencies{Catalog: store, Ownership: NewStaticOwnership(testSelf), Pool: pool.DefaultConfig()})
	now := time.Now()
	r.trackServersHeard(now)
	now = now.Add(backend.AnnouncementTimeout)
	r.trackServersHeard(now)
	assert.Assert(t, r.hasHeardServers(now.Add(backend.AnnouncementTimeout)))
	assert.Assert(t, !r.hasHeardServers(now.Add(backend.AnnouncementTimeout+1)), "the loop has not run since")
}
