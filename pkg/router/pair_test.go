package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// noOwner means that the next owner must not grant yet.
const noOwner = -1

// fakeOwners is an Ownership whose owner the test sets.
type fakeOwners struct {
	mu    sync.Mutex
	all   []pool.RouterID
	owner int // index into all
	epoch uint64
	self  int
	lost  int            // known routers that are not live
	fixed map[string]int // index of the owner by pool, overrides owner
}

func (m *fakeOwners) Owner(shard pool.ShardID) (pool.RouterID, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if shard.DataCentre != "north" || m.owner == noOwner {
		return pool.RouterID{}, 0, false
	}
	if i, ok := m.fixed[shard.Pool]; ok {
		return m.all[i], m.epoch, true
	}
	return m.all[m.owner], m.epoch, true
}

func (m *fakeOwners) LiveRouters() []pool.RouterID { return m.all }

func (m *fakeOwners) RouterCounts() (known, live, rank int) {
	return len(m.all) + m.lost, len(m.all), m.self
}

func (m *fakeOwners) JoinPending() bool { return false }

func (m *fakeOwners) setOwner(owner int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner = owner
	m.epoch++
}

// routerPair is two connected routers of one data centre.
type routerPair struct {
	routers   [2]*Router
	callers   [2]*testRouter
	owner     [2]*fakeOwners
	exchanges [2]*peer.Exchange
	addresses [2]string
}

func newRouterPair(t *testing.T, change ...func(i int, cfg *Config, deps *Dependencies)) *routerPair {
	t.Helper()
	p := &routerPair{}
	ids := []pool.RouterID{
		{Name: "rt-1", DataCentre: "north", Incarnation: 7},
		{Name: "rt-2", DataCentre: "north", Incarnation: 9},
	}
	for i := range p.routers {
		p.owner[i] = &fakeOwners{all: ids, epoch: 1, self: i}
		p.start(t, i, ids[i], change...)
	}
	p.connect()
	p.callers[0].waitFor(t, "the routers are connected", func() bool {
		return p.exchanges[0].Connected("rt-2") && p.exchanges[1].Connected("rt-1")
	})
	return p
}

func (p *routerPair) start(t *testing.T, i int, id pool.RouterID, change ...func(i int, cfg *Config, deps *Dependencies)) {
	tr := newTestRouterAs(t, id, func(cfg *Config, deps *Dependencies) {
		deps.Ownership = p.owner[i]
		for _, c := range change {
			c(i, cfg, deps)
		}
	})
	p.callers[i], p.routers[i] = tr, tr.router
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.addresses[i] = l.Addr().String()
	x := peer.New(id, tr.router)
	p.exchanges[i] = x
	tr.router.SetPeers(x)
	server := grpc.NewServer(controlclient.ServerOptions()...)
	apiv1.RegisterPeerServer(server, x)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { x.Close(); server.Stop() })
}

func (p *routerPair) connect() {
	for i := range p.routers {
		other := 1 - i
		p.exchanges[i].SetPeers([]peer.Peer{{ID: p.routers[other].self, Address: p.addresses[other]}})
	}
}

// moveTo makes a router the owner in the view of both routers.
func (p *routerPair) moveTo(owner int) {
	for _, o := range p.owner {
		o.setOwner(owner)
	}
}

// TestOwnerMovesUnderLoad checks that no ask, grant or settle is lost and no
// slot stays occupied if the owner changes while streams run and requests wait.
func TestOwnerMovesUnderLoad(t *testing.T) {
	t.Parallel()
	p := newRouterPair(t)
	p.moveTo(0)
	p.callers[0].startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", Slots: 8, TokenInterval: settings.Duration(2 * time.Millisecond)})
	p.callers[1].waitFor(t, "the other router knows the pool", func() bool {
		_, ok := p.routers[1].servers.poolForModel(time.Now(), "p")
		return ok
	})
	const streams = 60
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			req := p.callers[i%2].request(t, http.MethodPost, chatPath, "chat", chatBody(40))
			resp, body := tryDo(req)
			if resp == nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
				t.Errorf("request %d: %.200s", i, body)
			}
		})
	}
	for _, owner := range []int{1, 0, 1} {
		p.callers[0].waitFor(t, "the next owner holds grants", func() bool {
			_, held := p.routers[owner].askTable.counts()
			return held > 0
		})
		p.moveTo(owner)
	}
	callers.Wait()
	shard := p.routers[1].shardOf("p")
	p.callers[1].waitFor(t, "no slot is occupied", func() bool {
		idle := false
		p.routers[1].applyIfOwner(shard, func(_ time.Time, o *pool.Owner) {
			v := o.Snapshot()
			idle = v.Grants == 0 && v.Waiting == 0
		})
		return idle
	})
}

// TestLostMessagesAreRepeated checks that a settle and an ask that were lost
// with the connection to the owner are sent again.
func TestLostMessagesAreRepeated(t *testing.T) {
	t.Parallel()
	p := newRouterPair(t)
	p.moveTo(0)
	p.callers[0].startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(20 * time.Millisecond)})
	p.callers[1].waitFor(t, "the other router knows the pool", func() bool {
		_, ok := p.routers[1].servers.poolForModel(time.Now(), "p")
		return ok
	})
	openGrants := func() (open int) {
		p.routers[0].applyIfOwner(p.routers[0].shardOf("p"), func(_ time.Time, o *pool.Owner) { open = o.Snapshot().Grants })
		return open
	}
	var callers sync.WaitGroup
	startRequest := func(tokens int) {
		callers.Go(func() {
			if resp, body := tryDo(p.callers[1].request(t, http.MethodPost, chatPath, "chat", chatBody(tokens))); resp == nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
				t.Errorf("%.200s", body)
			}
		})
	}
	startRequest(10)
	// Wait for the grant: the stream must run before the routers are
	// disconnected.
	p.callers[1].waitFor(t, "a stream runs", func() bool { _, held := p.routers[1].askTable.counts(); return held == 1 })
	p.exchanges[0].SetPeers(nil)
	p.exchanges[1].SetPeers(nil)
	callers.Wait() // its settle is lost
	startRequest(1)
	p.callers[1].waitFor(t, "the second ask waits", func() bool { waiting, _ := p.routers[1].askTable.counts(); return waiting == 1 })
	assert.Equal(t, openGrants(), 1)
	p.connect()
	callers.Wait()
	p.callers[0].waitFor(t, "no slot is occupied", func() bool { return openGrants() == 0 })
}

// TestNextOwnerKeepsAsks checks that asks are neither lost nor sent repeatedly
// while the next owner must not grant yet.
func TestNextOwnerKeepsAsks(t *testing.T) {
	p := newRouterPair(t)
	p.moveTo(0)
	p.callers[0].startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p"})
	p.callers[1].waitFor(t, "the other router knows the pool", func() bool {
		_, ok := p.routers[1].servers.poolForModel(time.Now(), "p")
		return ok
	})
	p.owner[0].setOwner(noOwner)
	answered := make(chan string, 1)
	go func() {
		_, body := tryDo(p.callers[1].request(t, http.MethodPost, chatPath, "chat", chatBody(1)))
		answered <- body
	}()
	buffers := &p.routers[0].shardBuffers
	shard := p.routers[0].shardOf("p")
	p.callers[0].waitFor(t, "the ask is buffered", func() bool {
		buffers.mu.Lock()
		defer buffers.mu.Unlock()
		return buffers.buffers[shard] != nil && len(buffers.buffers[shard].asks) == 1
	})
	p.owner[0].setOwner(0)
	body := <-answered
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
}

// TestShutdownUnderLoad checks that a graceful shutdown interrupts no stream
// (I9) and that a hard stop ends it at once, with an answer.
func TestShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	for _, hardStop := range []bool{false, true} {
		s, tr := newService(t)
		graceful, stop := context.WithCancel(context.Background())
		hardCtx, abort := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(graceful, hardCtx) }()
		tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(10 * time.Millisecond)})
		const streams = 8
		conns := make([]net.Conn, streams)
		dial := func(conns []net.Conn) {
			for i := range conns {
				conns[i] = tr.dialCallers(t)
			}
		}
		answers := make(chan streamAnswer, streams)
		send := func(conns []net.Conn) {
			for _, c := range conns {
				req := tr.request(t, http.MethodPost, chatPath, "chat", chatBody(60))
				assert.NilError(t, req.Write(c))
				go func() { answers <- readStream(c, req) }()
			}
		}
		sentBefore, sentInNotice := streams/2, 3*streams/4 // the others are sent when the listener is closed
		if hardStop {
			sentBefore = streams // afterwards nothing is read
		}
		dial(conns[:sentBefore])
		send(conns[:sentBefore])
		tr.waitFor(t, "streams run", func() bool { _, held := s.router.askTable.counts(); return held > 0 })
		// One that is opened after the notice is refused, one that is unused for
		// DrainIdle is closed.
		dial(conns[sentBefore:])
		stop()
		tr.waitFor(t, "the router reports not ready", func() bool { return !s.router.Ready() })
		if hardStop {
			abort()
		} else {
			send(conns[sentBefore:sentInNotice])
			tr.waitForClosedListener(t)
			send(conns[sentInNotice:])
		}
		completed := 0
		for range streams {
			a := <-answers
			switch {
			case a.completed():
				completed++
			case !hardStop || !a.failed():
				t.Errorf("hard stop %v: a stream did not complete: status %d, body %q, error %v", hardStop, a.status, a.body, a.err)
			}
		}
		err := <-ended
		abort()
		if hardStop {
			assert.ErrorIs(t, err, errHardStop)
			assert.Assert(t, completed < streams, "a hard stop must not wait for running streams")
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, completed, streams)
		s.router.metrics.Each(func(name string, metric any) {
			if counter, ok := metric.(metrics.Counter); ok && (strings.HasPrefix(name, "callers.closed.") || name == "responses.aborted") {
				assert.Check(t, counter.Count() == 0, "%s: %d", name, counter.Count())
			}
		})
	}
}

// streamAnswer is what a caller got for a stream, status 0 without an answer.
type streamAnswer struct {
	status int
	body   string
	err    error
}

func readStream(c net.Conn, req *http.Request) streamAnswer {
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return streamAnswer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return streamAnswer{resp.StatusCode, string(body), err}
}

// completed reports whether the stream arrived whole.
func (a streamAnswer) completed() bool {
	return a.err == nil && a.status == http.StatusOK && strings.HasSuffix(a.body, "data: [DONE]\n\n") && !strings.Contains(a.body, "event: error")
}

// failed reports whether the caller was told that the stream was refused or has failed.
func (a streamAnswer) failed() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		return a.err == nil
	case http.StatusOK:
		return a.err == nil && strings.Contains(a.body, "event: error")
	}
	return false
}

// newService returns a service on free ports with the test configuration.
func newService(t *testing.T, change ...func(*Config)) (*Service, *testRouter) {
	t.Helper()
	cfg := NewConfig()
	cfg.Name, cfg.DataCentre = "rt-1", "north"
	const any = "127.0.0.1:0"
	cfg.Listen = Listen{Callers: any, Announce: any, Peers: any, Membership: any, Admin: any}
	cfg.Drain.Notice = settings.Duration(50 * time.Millisecond)
	for _, c := range change {
		c(cfg)
	}
	s, err := NewService(cfg)
	assert.NilError(t, err)
	s.router.poolConfig.RecoveryWait = 0
	s.store.ApplySnapshot(1, configuration())
	callers, announce, _, _ := s.Addresses()
	tr := &testRouter{router: s.router, callers: &httptest.Server{URL: "http://" + callers}, announce: &httptest.Server{Listener: addressOnly(announce)}}
	return s, tr
}

// addressOnly is a net.Listener that has an address and accepts nothing.
type addressOnly string

func (a addressOnly) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (a addressOnly) Close() error              { return nil }
func (a addressOnly) Addr() net.Addr            { return a }
func (a addressOnly) Network() string           { return "tcp" }
func (a addressOnly) String() string            { return string(a) }
