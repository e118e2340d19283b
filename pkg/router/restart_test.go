package router

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// Guards against answers that are cut, and requests that are refused, while
// the owner of their pool is restarted gracefully (I9, F2) or stops at once.
func TestOwnerLeavesWhileAnotherRouterServes(t *testing.T) {
	t.Parallel()
	for _, abrupt := range []bool{false, true} {
		t.Run(fmt.Sprintf("abrupt=%v", abrupt), func(t *testing.T) { testOwnerLeaves(t, abrupt) })
	}
}

func testOwnerLeaves(t *testing.T, abrupt bool) {
	first, ff := newService(t)
	run := func(s *Service) (stop func(), ended chan error) {
		ctx, cancel := context.WithCancel(context.Background())
		hard, abort := context.WithCancel(context.Background())
		ended = make(chan error, 1)
		go func() { ended <- s.Run(ctx, hard) }()
		t.Cleanup(func() { cancel(); abort() })
		if abrupt {
			return abort, ended
		}
		return cancel, ended
	}
	stopFirst, firstEnded := run(first)
	second, sf := newService(t, func(c *Config) {
		c.Name = "rt-2"
		c.Seeds = []settings.Address{settings.Address(first.members.node.Self().GossipAddress)}
	})
	stopSecond, secondEnded := run(second)
	ff.await(t, "the routers are connected", func() bool {
		return first.exchange.Connected("rt-2") && second.exchange.Connected("rt-1")
	})
	shard := first.router.shardOf("p")
	owned := func(s *Service) bool {
		owner, _, ok := s.router.ownership.Owner(shard)
		return ok && owner.Name == s.cfg.Name
	}
	ff.await(t, "the shard has an owner", func() bool { return owned(first) || owned(second) })
	leaving, staying, at := first, second, sf
	stop, ended := stopFirst, firstEnded
	if owned(second) {
		leaving, staying, at = second, first, ff
		stop, ended = stopSecond, secondEnded
	}
	leavingFleet := &fleet{router: leaving.router, announce: at.announce}
	leavingFleet.standIn(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(5 * time.Millisecond)})
	at.await(t, "the other router knows the pool", func() bool {
		_, ok := staying.router.servers.poolOf(time.Now(), "p")
		return ok
	})
	var callers sync.WaitGroup
	var whole, other atomic.Int64
	finish := make(chan struct{})
	for range 6 {
		callers.Go(func() {
			for {
				_, body := tryDo(at.request(t, http.MethodPost, chatPath, "chat", chatBody(20)))
				if strings.HasSuffix(body, "data: [DONE]\n\n") && !strings.Contains(body, "event: error") {
					whole.Add(1)
				} else {
					other.Add(1)
					t.Logf("%.300s", body)
				}
				select {
				case <-finish:
					return
				default:
				}
			}
		})
	}
	at.await(t, "streams have ended", func() bool { return whole.Load() > 10 })
	stop()
	if err := <-ended; abrupt {
		assert.ErrorIs(t, err, errStopped)
	} else {
		assert.NilError(t, err)
	}
	since := whole.Load()
	at.await(t, "streams go on", func() bool { return whole.Load() > since+10 })
	close(finish)
	callers.Wait()
	assert.Equal(t, other.Load(), int64(0))
	assert.Assert(t, owned(staying))
	stopFirst()
	stopSecond()
	if leaving == first {
		<-secondEnded
	} else {
		<-firstEnded
	}
}
