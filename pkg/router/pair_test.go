package router

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

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

// nobody stands for a next owner that must not grant yet.
const nobody = -1

// movable is an ownership that a test moves.
type movable struct {
	mu    sync.Mutex
	all   []pool.RouterID
	owner int // index into all
	epoch uint64
	self  int
	gone  int            // known routers that are not live
	fixed map[string]int // owner by pool, before owner
}

func (m *movable) Owner(shard pool.ShardID) (pool.RouterID, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if shard.DataCentre != "north" || m.owner == nobody {
		return pool.RouterID{}, 0, false
	}
	if i, ok := m.fixed[shard.Pool]; ok {
		return m.all[i], m.epoch, true
	}
	return m.all[m.owner], m.epoch, true
}

func (m *movable) Members() []pool.RouterID { return m.all }

func (m *movable) Known() (known, live, rank int) { return len(m.all) + m.gone, len(m.all), m.self }

func (m *movable) move(owner int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner = owner
	m.epoch++
}

// pair is two routers of one data centre.
type pair struct {
	routers   [2]*Router
	callers   [2]*fleet
	owner     [2]*movable
	exchanges [2]*peer.Exchange
	addresses [2]string
}

func newPair(t *testing.T, change ...func(i int, cfg *Config, parts *Parts)) *pair {
	t.Helper()
	p := &pair{}
	ids := []pool.RouterID{
		{Name: "rt-1", DataCentre: "north", Incarnation: 7},
		{Name: "rt-2", DataCentre: "north", Incarnation: 9},
	}
	for i := range p.routers {
		p.owner[i] = &movable{all: ids, epoch: 1, self: i}
		p.start(t, i, ids[i], change...)
	}
	p.connect()
	p.callers[0].await(t, "the routers are connected", func() bool {
		return p.exchanges[0].Connected("rt-2") && p.exchanges[1].Connected("rt-1")
	})
	return p
}

func (p *pair) start(t *testing.T, i int, id pool.RouterID, change ...func(i int, cfg *Config, parts *Parts)) {
	f := newFleetAs(t, id, func(cfg *Config, parts *Parts) {
		parts.Ownership = p.owner[i]
		for _, c := range change {
			c(i, cfg, parts)
		}
	})
	p.callers[i], p.routers[i] = f, f.router
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.addresses[i] = l.Addr().String()
	x := peer.New(id, f.router)
	p.exchanges[i] = x
	f.router.SetPeers(x)
	server := grpc.NewServer(controlclient.ServerOptions()...)
	apiv1.RegisterPeerServer(server, x)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { x.Close(); server.Stop() })
}

func (p *pair) connect() {
	for i := range p.routers {
		other := 1 - i
		p.exchanges[i].SetPeers([]peer.Peer{{ID: p.routers[other].self, Address: p.addresses[other]}})
	}
}

// moveTo makes another router the owner in the view of both.
func (p *pair) moveTo(owner int) {
	for _, o := range p.owner {
		o.move(owner)
	}
}

// Guards against asks, grants and settles that are lost on the way between
// routers, and against a slot that stays occupied after the owner moved while
// streams ran and requests waited.
func TestOwnerMovesUnderLoad(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	p.moveTo(0)
	p.callers[0].standIn(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", Slots: 8, TokenInterval: settings.Duration(2 * time.Millisecond)})
	p.callers[1].await(t, "the other router knows the pool", func() bool {
		_, ok := p.routers[1].servers.poolOf(time.Now(), "p")
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
		p.callers[0].await(t, "grants are open", func() bool {
			_, held := p.routers[owner].asks.counts()
			return held > 0
		})
		p.moveTo(owner)
	}
	callers.Wait()
	shard := p.routers[1].shardOf("p")
	p.callers[1].await(t, "no slot is occupied", func() bool {
		idle := false
		p.routers[1].atShard(shard, func(_ time.Time, o *pool.Owner) {
			v := o.Snapshot()
			idle = v.Grants == 0 && v.Waiting == 0
		})
		return idle
	})
}

// Guards against a slot that stays occupied because its settle was lost with
// the connection to the owner, and against an ask that was.
func TestLostMessagesAreRepeated(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	p.moveTo(0)
	p.callers[0].standIn(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(20 * time.Millisecond)})
	p.callers[1].await(t, "the other router knows the pool", func() bool {
		_, ok := p.routers[1].servers.poolOf(time.Now(), "p")
		return ok
	})
	grants := func() (open int) {
		p.routers[0].atShard(p.routers[0].shardOf("p"), func(_ time.Time, o *pool.Owner) { open = o.Snapshot().Grants })
		return open
	}
	var callers sync.WaitGroup
	ask := func(tokens int) {
		callers.Go(func() {
			if resp, body := tryDo(p.callers[1].request(t, http.MethodPost, chatPath, "chat", chatBody(tokens))); resp == nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
				t.Errorf("%.200s", body)
			}
		})
	}
	ask(10)
	// The grant must have arrived: its stream ends while the routers are apart.
	p.callers[1].await(t, "a stream runs", func() bool { _, held := p.routers[1].asks.counts(); return held == 1 })
	p.exchanges[0].SetPeers(nil)
	p.exchanges[1].SetPeers(nil)
	callers.Wait() // its settle is lost
	ask(1)
	p.callers[1].await(t, "the second ask waits", func() bool { waiting, _ := p.routers[1].asks.counts(); return waiting == 1 })
	assert.Equal(t, grants(), 1)
	p.connect()
	callers.Wait()
	p.callers[0].await(t, "no slot is occupied", func() bool { return grants() == 0 })
}

// Guards against asks that are lost, or sent again and again, while their next
// owner must not grant yet.
func TestNextOwnerKeepsAsks(t *testing.T) {
	p := newPair(t)
	p.moveTo(0)
	p.callers[0].standIn(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p"})
	p.callers[1].await(t, "the other router knows the pool", func() bool {
		_, ok := p.routers[1].servers.poolOf(time.Now(), "p")
		return ok
	})
	p.owner[0].move(nobody)
	answered := make(chan string, 1)
	go func() {
		_, body := tryDo(p.callers[1].request(t, http.MethodPost, chatPath, "chat", chatBody(1)))
		answered <- body
	}()
	kept := &p.routers[0].inheritances
	shard := p.routers[0].shardOf("p")
	p.callers[0].await(t, "the ask is kept", func() bool {
		kept.mu.Lock()
		defer kept.mu.Unlock()
		return kept.kept[shard] != nil && len(kept.kept[shard].asks) == 1
	})
	p.owner[0].move(0)
	body := <-answered
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
}

// Guards against a stream that is cut by a shutdown (I9), and against a
// shutdown that an operator cannot end.
func TestShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	for _, second := range []bool{false, true} {
		s, f := newService(t)
		graceful, stop := context.WithCancel(context.Background())
		hard, abort := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(graceful, hard) }()
		f.standIn(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(10 * time.Millisecond)})
		const streams = 8
		var callers sync.WaitGroup
		var mu sync.Mutex
		whole := 0
		for range streams {
			callers.Go(func() {
				_, body := tryDo(f.request(t, http.MethodPost, chatPath, "chat", chatBody(60)))
				mu.Lock()
				defer mu.Unlock()
				if strings.HasSuffix(body, "data: [DONE]\n\n") && !strings.Contains(body, "event: error") {
					whole++
				}
			})
		}
		f.await(t, "streams run", func() bool { _, held := s.router.asks.counts(); return held > 0 })
		stop()
		f.await(t, "readiness falls", func() bool { return !s.router.Ready() })
		if second {
			abort()
		}
		err := <-ended
		callers.Wait()
		abort()
		if second {
			assert.ErrorIs(t, err, errStopped)
			assert.Assert(t, whole < streams, "a second signal must not wait")
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, whole, streams)
	}
}

// newService returns a service on kernel ports with the test configuration.
func newService(t *testing.T, change ...func(*Config)) (*Service, *fleet) {
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
	f := &fleet{router: s.router, callers: &httptest.Server{URL: "http://" + callers}, announce: &httptest.Server{Listener: addressOnly(announce)}}
	return s, f
}

// addressOnly is a listener that only has an address.
type addressOnly string

func (a addressOnly) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (a addressOnly) Close() error              { return nil }
func (a addressOnly) Addr() net.Addr            { return a }
func (a addressOnly) Network() string           { return "tcp" }
func (a addressOnly) String() string            { return string(a) }
