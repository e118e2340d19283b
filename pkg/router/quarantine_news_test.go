package router

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

// recordedPeers holds the news sent to each router.
type recordedPeers map[string][]*apiv1.QuarantineNews

func (p recordedPeers) Send(to string, e *apiv1.Envelope) bool {
	if item, ok := e.Item.(*apiv1.Envelope_Quarantine); ok {
		p[to] = append(p[to], item.Quarantine)
	}
	return true
}

// newIdleRouter returns a router of four that does no periodic work of its own.
func newIdleRouter() (*testRouter, recordedPeers) {
	self := pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}
	peers := recordedPeers{}
	ownership := NewStaticOwnership(self, pool.RouterID{Name: "rt-2", DataCentre: "north"}, pool.RouterID{Name: "rt-3", DataCentre: "south"}, pool.RouterID{Name: "rt-4", DataCentre: "south"})
	r := New(NewConfig(), self, Dependencies{Catalog: catalog.NewStore(), Ownership: ownership, Pool: pool.DefaultConfig(), Peers: peers})
	return &testRouter{router: r}, peers
}

// Guards against news that grow with the tables, that other routers reject, or that
// are sent without end: all tables are full, and nothing happens for ten seconds.
func TestNewsToOtherRoutersAreBounded(t *testing.T) {
	const maxBytes, seconds, ticksPerSecond = 16 << 10, 10, int(time.Second / reconcileInterval)
	tr, peers := newIdleRouter()
	tr.fillQuarantine()
	now := time.Now()
	for range seconds * ticksPerSecond {
		now = now.Add(reconcileInterval)
		tr.router.exchangeQuarantine(now)
	}
	assert.Equal(t, len(peers), 3, "every other router, also of other data centres")
	for to, sent := range peers {
		total, largest := 0, 0
		for _, m := range sent {
			assert.NilError(t, quarantine.ValidateNews(m))
			largest, total = max(largest, proto.Size(m)), total+proto.Size(m)
		}
		t.Logf("%s: %d messages, largest of %d bytes, %d bytes a second", to, len(sent), largest, total/seconds)
		assert.Assert(t, largest <= maxBytes, "%d bytes", largest)
	}
	clear(peers)
	for range seconds * ticksPerSecond {
		now = now.Add(reconcileInterval)
		tr.router.exchangeQuarantine(now)
	}
	assert.Assert(t, len(peers["rt-2"]) <= seconds*ticksPerSecond/2, "%d messages without an event", len(peers["rt-2"]))
	idle, idlePeers := newIdleRouter()
	for range ticksPerSecond {
		now = now.Add(reconcileInterval)
		idle.router.exchangeQuarantine(now)
	}
	assert.Equal(t, len(idlePeers), 0, "without evidence there is nothing to send")
}

// Guards against answers that a router reads after it was stopped for a while, and
// that may have begun before a loss, clearing what crashes servers: also before the
// first exchange after the stop. Answers to requests that it sends later count.
func TestAnswersReadAfterStopClearNothing(t *testing.T) {
	for _, tc := range []struct {
		name      string
		stop      time.Duration
		exchange  bool          // before the answer is read
		sentAfter time.Duration // from the stop
		clears    bool
	}{
		{"not stopped", reconcileInterval, true, -time.Millisecond, true},
		{"read at once", 2 * suspensionGap, false, -time.Millisecond, false},
		{"read after an exchange", 2 * suspensionGap, true, -time.Millisecond, false},
		{"sent later", 2 * suspensionGap, true, 3 * suspensionGap, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr, _ := newIdleRouter()
			synctest.Test(t, func(t *testing.T) {
				const part = 77
				tracker := tr.router.quarantine.tracker
				stoppedAt := time.Now()
				tr.router.exchangeQuarantine(stoppedAt)
				time.Sleep(tc.stop)
				tracker.AddLoss(time.Now(), quarantine.Loss{Server: quarantine.Server{Hash: 1}, At: stoppedAt.Add(time.Millisecond), Parts: []uint64{part}, Lost: 1})
				if tc.exchange {
					tr.router.exchangeQuarantine(time.Now())
				}
				sentAt := stoppedAt.Add(tc.sentAfter)
				if wait := time.Until(sentAt); wait > 0 {
					tr.router.exchangeQuarantine(time.Now().Add(wait))
					time.Sleep(wait)
				}
				tr.router.reportAnswerBegan(&request{suspects: []uint64{part}, dispatchedAt: sentAt}, time.Now(), true)
				assert.Equal(t, !tracker.SuspectsAgain(time.Now(), []uint64{part}), tc.clears)
			})
		})
	}
}
