package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// setLimit makes a stand-in state a limit in its answers, none if text is empty.
func setLimit(t *testing.T, address, text string) {
	t.Helper()
	body, err := json.Marshal(standin.Fault{Kind: standin.FaultLimit, Limit: text})
	assert.NilError(t, err)
	resp, err := http.Post("http://"+address+"/v1/faults", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// requestLimit returns the limit of a server as this router knows it as its owner, -1 for
// none.
func (tr *testRouter) requestLimit(name string) float64 {
	for _, s := range tr.router.Status().Servers {
		if s.Name == name && s.RequestLimit != nil {
			return *s.RequestLimit
		}
	}
	return -1
}

// checkArrivals fails if more requests arrived in some 4 s from a time on than one and a half
// times the limit allows, and 5.
func checkArrivals(t *testing.T, arrivals []time.Time, from time.Time, limit float64) {
	t.Helper()
	const window = 4 * time.Second
	for i, first := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		if first.After(from) && float64(n) > 1.5*limit*window.Seconds()+5 {
			t.Fatalf("%d requests within 4 s, limit %g a second", n, limit)
		}
	}
}

// callersOfPair sends requests through the routers in turn until it is stopped, and counts whole
// answers.
type callersOfPair struct {
	whole atomic.Int64
	stop  context.CancelFunc
	wait  sync.WaitGroup
}

func startCallers(t *testing.T, routers []*testRouter, number int, newRequest func(tr *testRouter) *http.Request) *callersOfPair {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	c := &callersOfPair{stop: stop}
	for i := range number {
		c.wait.Go(func() {
			for ctx.Err() == nil {
				req := newRequest(routers[i%len(routers)]).WithContext(ctx)
				if resp, _ := tryDo(req); resp != nil && resp.StatusCode == http.StatusOK {
					c.whole.Add(1)
				}
			}
		})
	}
	t.Cleanup(func() { stop(); c.wait.Wait() })
	return c
}

// Guards against more requests than a server takes from two routers together, with an owner
// that moves from one to the other and one that is lost, for streams and plain services.
func TestServerLimitHoldsForAllRouters(t *testing.T) {
	for _, kind := range []backend.Kind{backend.Engine, backend.Service} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			p := newRouterPair(t)
			p.moveTo(0)
			s := p.callers[0].startServer(t, standin.ServerSettings{Name: "s1", Kind: kind, Pool: "p", Slots: 64,
				TokenInterval: settings.Duration(time.Millisecond), ProcessingTime: settings.Duration(5 * time.Millisecond)})
			p.callers[1].waitFor(t, "the other router knows the pool", func() bool { return len(p.routers[1].servers.poolNames()) > 0 })
			const limit = 4
			setLimit(t, s.Address(), fmt.Sprint(limit))
			c := startCallers(t, p.callers[:], 40, func(tr *testRouter) *http.Request {
				if kind == backend.Engine {
					return tr.request(t, http.MethodPost, chatPath, "chat", chatBody(3))
				}
				return tr.request(t, http.MethodPost, "/services/p/x", "order", "{}")
			})
			p.callers[0].waitFor(t, "the owner knows the limit", func() bool { return p.callers[0].requestLimit("s1") == limit })
			from := time.Now().Add(500 * time.Millisecond)
			served := func(more int64) {
				t.Helper()
				want := c.whole.Load() + more
				p.callers[0].waitFor(t, "further answers", func() bool { return c.whole.Load() >= want })
			}
			served(8)
			p.moveTo(1)
			p.callers[1].waitFor(t, "the next owner knows the limit", func() bool { return p.callers[1].requestLimit("s1") == limit })
			served(8)
			// The owner is lost: nothing is handed over.
			for _, shard := range p.routers[1].ownedShards() {
				p.routers[1].removeOwnedShard(shard)
				shard.handOver()
			}
			p.moveTo(0)
			p.callers[0].waitFor(t, "the next owner knows the limit", func() bool { return p.callers[0].requestLimit("s1") == limit })
			served(12)
			checkArrivals(t, s.Arrivals(), from, limit)
			setLimit(t, s.Address(), "")
			p.callers[0].waitFor(t, "the limit ends", func() bool { return p.callers[0].requestLimit("s1") < 0 })
			served(100)
			assert.Assert(t, p.routers[0].limitCounters.learnt.Count() >= 1)
			assert.Assert(t, p.routers[0].limitCounters.ended.Count() >= 1)
		})
	}
}

// Guards against a new owner without a hand-over that learns a limit from answers only.
func TestLimitIsReportedToANewOwner(t *testing.T) {
	t.Parallel()
	p := newRouterPair(t)
	p.moveTo(0)
	s := p.callers[0].startServer(t, standin.ServerSettings{Name: "s1", Kind: backend.Service, Pool: "p", ProcessingTime: settings.Duration(time.Millisecond)})
	p.callers[1].waitFor(t, "the other router knows the pool", func() bool { return len(p.routers[1].servers.poolNames()) > 0 })
	setLimit(t, s.Address(), "0.5")
	resp, body := do(t, p.callers[0].request(t, http.MethodPost, "/services/p/x", "check", "{}"))
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	assert.Equal(t, p.callers[0].requestLimit("s1"), 0.5)
	for _, shard := range p.routers[0].ownedShards() {
		p.routers[0].removeOwnedShard(shard)
		shard.handOver()
	}
	p.moveTo(1)
	p.callers[1].waitFor(t, "the new owner knows the limit", func() bool { return p.callers[1].requestLimit("s1") == 0.5 })
	assert.Equal(t, len(s.Arrivals()), 1)
}

// Guards against a limit that counts only in whole answers of one kind: a server that is
// overloaded answers with errors, and its requests are tried elsewhere.
func TestLimitInErrorsHoldsForRetries(t *testing.T) {
	t.Parallel()
	tr := newTestRouter(t, nil)
	var mu sync.Mutex
	var arrivals []time.Time
	failing := newRawServer(t, func(c net.Conn, r *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 2\r\nContent-Length: 0\r\n\r\n", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), backend.HeaderLimit)
	})
	sound := newRawServer(t, respondOK)
	announceAll := func() {
		tr.announceRawServer(t, "s1", failing, backend.Abilities{})
		tr.announceRawServer(t, "s2", sound, backend.Abilities{})
	}
	announceAll()
	c := startCallers(t, []*testRouter{tr}, 20, func(tr *testRouter) *http.Request {
		return tr.request(t, http.MethodPost, "/services/p/x", "chat", "{}")
	})
	tr.waitFor(t, "the limit is known", func() bool { return tr.requestLimit("s1") == 2 })
	from := time.Now().Add(500 * time.Millisecond)
	for range 6 {
		want := c.whole.Load() + 100
		announcedAt := time.Now()
		tr.waitFor(t, "answers of the sound server", func() bool {
			if time.Since(announcedAt) > backend.AnnounceInterval { // one that lost a connection gets nothing before
				announceAll()
				announcedAt = time.Now()
			}
			return c.whole.Load() >= want
		})
		<-time.After(time.Second)
		announceAll()
	}
	c.stop()
	c.wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	checkArrivals(t, arrivals, from, 2)
}

// Guards against resume and cancel requests beyond the limit of a server that breaks streams.
func TestLimitHoldsForResumesAndCancels(t *testing.T) {
	t.Parallel()
	tr := newTestRouter(t, nil)
	var mu sync.Mutex
	var arrivals []time.Time
	var resumes atomic.Int64
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		if r.Header.Get(proxy.HeaderResumeOffset) != "" {
			resumes.Add(1)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\n", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), backend.HeaderLimit)
		<-time.After(20 * time.Millisecond)
		resetConn(c, r)
	})
	announceServer := func() {
		resp := tr.postAnnouncement(t, backend.Announcement{Name: "s1", Address: s.addr, Kind: backend.Engine,
			Abilities: backend.Abilities{RepeatsID: true, Resume: true, Cancel: true}}, serverKey)
		assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	}
	announceServer()
	c := startCallers(t, []*testRouter{tr}, 20, func(tr *testRouter) *http.Request {
		return tr.request(t, http.MethodPost, chatPath, "chat", chatBody(3))
	})
	tr.waitFor(t, "the limit is known", func() bool { return tr.requestLimit("s1") == 3 })
	from := time.Now().Add(500 * time.Millisecond)
	for range 70 {
		<-time.After(100 * time.Millisecond)
		announceServer() // after a lost connection it gets nothing before the next one
	}
	c.stop()
	c.wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	checkArrivals(t, arrivals, from, 3)
	assert.Assert(t, resumes.Load() > 0)
	tr.waitFor(t, "no grant is held", func() bool { _, held := tr.router.askTable.counts(); return held == 0 })
}

// Guards against a malformed limit that bounds a server or ends the limit in force, and
// against one that operators do not see.
func TestMalformedLimitStatesNothing(t *testing.T) {
	t.Parallel()
	tr := newTestRouter(t, nil)
	s := tr.startServer(t, standin.ServerSettings{Name: "s1", Kind: backend.Service, Pool: "p", ProcessingTime: settings.Duration(time.Millisecond)})
	send := func() {
		t.Helper()
		resp, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "check", "{}"))
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	}
	setLimit(t, s.Address(), "NaN")
	send()
	assert.Equal(t, tr.requestLimit("s1"), -1.0)
	assert.Equal(t, tr.router.limitCounters.malformed.Count(), int64(1))
	setLimit(t, s.Address(), "20")
	send()
	assert.Equal(t, tr.requestLimit("s1"), 20.0)
	setLimit(t, s.Address(), "-3")
	send()
	assert.Equal(t, tr.requestLimit("s1"), 20.0)
	assert.Equal(t, tr.router.limitCounters.malformed.Count(), int64(2))
	resp, body := do(t, mustRequest(t, tr.admin.URL+"/metrics"))
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, strings.Contains(body, "server_limits.learnt") && strings.Contains(body, "server_limits.heard"), body)
	restartStandin(t, s.Address(), "")
	tr.waitFor(t, "the new process has no limit", func() bool { return tr.requestLimit("s1") < 0 })
}

// Guards against an end of a limit that an answer written before the limit shows, and against
// a report of each answer.
func TestLimitTableDropsWhatTheOwnerNeedsNot(t *testing.T) {
	table := newLimitTable()
	shard := pool.ShardID{DataCentre: "north", Pool: "p"}
	now := time.Now()
	note := func(at, sentAt time.Duration, limited bool, perSecond float64) bool {
		return table.note(now.Add(at), now.Add(sentAt), shard, pool.LimitStatement{Server: "s1", BootID: 1, Limited: limited, PerSecond: perSecond})
	}
	const ms = time.Millisecond
	assert.Assert(t, note(0, -ms, true, 5))
	assert.Assert(t, !note(50*ms, ms, true, 5), "unchanged")
	assert.Assert(t, note(60*ms, ms, true, 4))
	assert.Assert(t, note(60*ms+limitReportInterval, ms, true, 4), "the owner compares times")
	assert.Assert(t, !note(900*ms, 550*ms, false, 0), "sent before the limit was stated")
	assert.Assert(t, table.isLimited("s1", 1) && !table.isLimited("s1", 2))
	assert.Assert(t, note(900*ms, 800*ms, false, 0))
	assert.Assert(t, !table.isLimited("s1", 1))
	st := table.forShard(now.Add(1000*ms), shard)
	assert.Equal(t, len(st), 1)
	assert.Equal(t, st[0].Age, 100*ms)
	assert.Equal(t, st[0].SentAge, 200*ms)
	table.removeExpired(now.Add(limitRetention + time.Second))
	assert.Equal(t, len(table.forShard(now, shard)), 0)
}

// Guards against a limit that holds on because the router that sees its end has not heard it.
func TestEndOfLimitIsSeenByAnotherRouter(t *testing.T) {
	t.Parallel()
	p := newRouterPair(t)
	p.moveTo(0)
	s := p.callers[0].startServer(t, standin.ServerSettings{Name: "s1", Kind: backend.Service, Pool: "p", ProcessingTime: settings.Duration(time.Millisecond)})
	p.callers[1].waitFor(t, "the other router knows the pool", func() bool { return len(p.routers[1].servers.poolNames()) > 0 })
	send := func(i int) {
		t.Helper()
		resp, body := do(t, p.callers[i].request(t, http.MethodPost, "/services/p/x", "check", "{}"))
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	}
	setLimit(t, s.Address(), "5")
	send(0)
	assert.Equal(t, p.callers[0].requestLimit("s1"), 5.0)
	setLimit(t, s.Address(), "")
	send(1)
	p.callers[0].waitFor(t, "the limit ends", func() bool { return p.callers[0].requestLimit("s1") < 0 })
}

// limitPeers collects the limits that are sent to another router.
type limitPeers struct{ limits chan *apiv1.ServerLimit }

func (p *limitPeers) Send(to string, e *apiv1.Envelope) bool {
	if l := e.GetServerLimit(); l != nil && to == "rt-9" {
		p.limits <- l
	}
	return true
}

// Guards against a limit of a borrowed server that its owner in another data centre does not
// learn, and against an end of the limit that it does not learn.
func TestLimitOfBorrowedServerReachesItsOwner(t *testing.T) {
	for _, limited := range []bool{true, false} {
		lender := pool.RouterID{Name: "rt-9", DataCentre: "south", Incarnation: 1}
		from := pool.ShardID{DataCentre: "south", Pool: "p"}
		peers := &limitPeers{limits: make(chan *apiv1.ServerLimit, 8)}
		tr := newTestRouter(t, func(cfg *Config, deps *Dependencies) {
			deps.Ownership = NewStaticOwnership(pool.RouterID{Name: cfg.Name, DataCentre: cfg.DataCentre, Incarnation: 7}, lender)
		})
		tr.router.SetPeers(peers)
		s := newRawServer(t, func(c net.Conn, r *http.Request) {
			if limited {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 2.5\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", backend.HeaderLimit, proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
				return
			}
			respondOK(c, r)
		})
		tr.router.HandleMessages(lender, []*apiv1.Envelope{{Item: &apiv1.Envelope_Summary{Summary: peer.SummaryToProto(pool.Summary{From: from, Epoch: 1, FreeSlots: 1})}}})
		answered := make(chan string, 1)
		go func() {
			_, body := tryDo(tr.request(t, http.MethodPost, chatPath, "chat", chatBody(2)))
			answered <- body
		}()
		tr.waitFor(t, "the request waits", func() bool { waiting, _ := tr.router.askTable.counts(); return waiting == 1 })
		tr.router.HandleMessages(lender, []*apiv1.Envelope{{Item: &apiv1.Envelope_Loan{Loan: peer.LoanToProto(pool.Loan{
			From: from, To: tr.router.shardOf("p"), LoanID: 1, Epoch: 1, Server: "s9", Address: s.addr, BootID: 3, Slots: 1, TTL: time.Second,
			Abilities: backend.Abilities{RepeatsID: true}, Limited: !limited,
		})}}})
		assert.Equal(t, <-answered, "ok")
		select {
		case l := <-peers.limits:
			assert.Equal(t, peer.ShardFromProto(l.Shard), from)
			assert.Equal(t, l.Server, "s9")
			assert.Equal(t, l.BootId, uint64(3))
			assert.Equal(t, l.Limited, limited)
			assert.Equal(t, l.PerSecond > 0, limited)
		case <-time.After(testTimeout):
			t.Fatal("the owner of the server got no report")
		}
	}
}

// Guards against a limit that ends by an answer to another request, which may have been sent
// before the limit was stated.
func TestAnswerToAnotherRequestDoesNotEndTheLimit(t *testing.T) {
	tr := newTestRouter(t, nil)
	tr.postAnnouncement(t, backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine}, serverKey)
	observe := func(matches bool, limit ...string) {
		tr.router.observeHead(tr.router.shardOf("p"), pool.Grant{Server: "s1", BootID: 1, Limited: true},
			proxy.Head{Header: http.Header{backend.HeaderLimit: limit}, SentAt: time.Now(), Matches: matches})
	}
	observe(false, "5")
	assert.Equal(t, tr.requestLimit("s1"), 5.0)
	observe(false)
	assert.Equal(t, tr.requestLimit("s1"), 5.0)
	observe(true)
	assert.Equal(t, tr.requestLimit("s1"), -1.0)
}

// Guards against asks that are granted without a limit which was reported before this router
// was the owner, like the asks.
func TestLimitReportedBeforeTheOwnerStartsCounts(t *testing.T) {
	self := pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}
	other := pool.RouterID{Name: "rt-2", DataCentre: "north", Incarnation: 9}
	owners := &fakeOwners{all: []pool.RouterID{self, other}, owner: noOwner, epoch: 1}
	tr := newTestRouter(t, func(_ *Config, deps *Dependencies) { deps.Ownership = owners })
	tr.postAnnouncement(t, backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine}, serverKey)
	shard := tr.router.shardOf("p")
	tr.router.HandleMessages(other, []*apiv1.Envelope{
		peer.LimitToEnvelope(shard, pool.LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 3, Age: time.Second}),
	})
	owners.setOwner(0)
	tr.waitFor(t, "the new owner knows the limit", func() bool {
		found := -1.0
		tr.router.applyIfOwner(shard, func(now time.Time, o *pool.Owner) {
			a := backend.Announcement{Name: "s1", DataCentre: "north", Address: "127.0.0.1:9", Pool: "p", Kind: backend.Engine, BootID: 1, State: backend.Ready}
			o.HandleAnnouncement(now, a)
			if limit := o.Snapshot().Servers[0].RequestLimit; limit != nil {
				found = *limit
			}
		})
		return found == 3
	})
}

// Guards against a limit that counts as new when the buffer is applied, after it has ended.
func TestBufferedLimitIsAsOldAsItWasReceived(t *testing.T) {
	shard := pool.ShardID{DataCentre: "north", Pool: "p"}
	received := time.Unix(1_700_000_000, 0)
	now := received.Add(3 * time.Second)
	var buffers shardBuffers
	buffers.addLimit(received, shard, pool.LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 3})
	o := pool.NewOwner(shard, 1, pool.DefaultConfig(), fairshare.NewLedger(fairshare.Origin{Name: "rt-1"}), now)
	o.HandleAnnouncement(now, backend.Announcement{Name: "s1", DataCentre: "north", Address: "127.0.0.1:9", Pool: "p", Kind: backend.Engine, BootID: 1, State: backend.Ready})
	o.HandleLimitStatement(now, pool.LimitStatement{Server: "s1", BootID: 1, Age: time.Second, SentAge: time.Second})
	buffers.take(now, shard).applyTo(now, o)
	assert.Assert(t, o.Snapshot().Servers[0].RequestLimit == nil)
}
