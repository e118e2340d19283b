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

// TestOwnerLeavesWhileAnotherRouterServes checks that no response is
// interrupted and no request is refused while the owner of the pool restarts
// gracefully (I9, F2) or stops abruptly.
func TestOwnerLeavesWhileAnotherRouterServes(t *testing.T) {
	t.Parallel()
	for _, abrupt := range []bool{false, true} {
		t.Run(fmt.Sprintf("abrupt=%v", abrupt), func(t *testing.T) { testOwnerLeaves(t, abrupt) })
	}
}

func testOwnerLeaves(t *testing.T, abrupt bool) {
	first, firstRouter := newService(t)
	run := func(s *Service) (stop func(), ended chan error) {
		ctx, cancel := context.WithCancel(context.Background())
		hardCtx, abort := context.WithCancel(context.Background())
		ended = make(chan error, 1)
		go func() { ended <- s.Run(ctx, hardCtx) }()
		t.Cleanup(func() { cancel(); abort() })
		if abrupt {
			return abort, ended
		}
		return cancel, ended
	}
	stopFirst, firstEnded := run(first)
	second, secondRouter := newService(t, func(c *Config) {
		c.Name = "rt-2"
		c.Seeds = []settings.Address{settings.Address(first.members.node.Self().GossipAddress)}
	})
	stopSecond, secondEnded := run(second)
	firstRouter.waitFor(t, "the routers are connected", func() bool {
		return first.exchange.Connected("rt-2") && second.exchange.Connected("rt-1")
	})
	shard := first.router.shardOf("p")
	owned := func(s *Service) bool {
		owner, _, ok := s.router.ownership.Owner(shard)
		return ok && owner.Name == s.cfg.Name
	}
	firstRouter.waitFor(t, "the shard has an owner", func() bool { return owned(first) || owned(second) })
	leaving, staying, entry := first, second, secondRouter
	stop, ended := stopFirst, firstEnded
	if owned(second) {
		leaving, staying, entry = second, first, firstRouter
		stop, ended = stopSecond, secondEnded
	}
	leavingRouter := &testRouter{router: leaving.router, announce: entry.announce}
	leavingRouter.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(5 * time.Millisecond)})
	entry.waitFor(t, "the other router knows the pool", func() bool {
		_, ok := staying.router.servers.poolForModel(time.Now(), "p")
		return ok
	})
	var callers sync.WaitGroup
	var completed, failed atomic.Int64
	stopped := make(chan struct{})
	endCallers := sync.OnceFunc(func() { close(stopped); callers.Wait() })
	t.Cleanup(endCallers) // a failure does not reach the end of the test
	for range 6 {
		callers.Go(func() {
			for {
				_, body := tryDo(entry.request(t, http.MethodPost, chatPath, "chat", chatBody(20)).WithContext(t.Context()))
				if strings.HasSuffix(body, "data: [DONE]\n\n") && !strings.Contains(body, "event: error") {
					completed.Add(1)
				} else {
					failed.Add(1)
					t.Logf("%.300s", body)
				}
				select {
				case <-stopped:
					return
				default:
				}
			}
		})
	}
	entry.waitFor(t, "streams have ended", func() bool { return completed.Load() > 10 })
	stop()
	if err := <-ended; abrupt {
		assert.ErrorIs(t, err, errHardStop)
	} else {
		assert.NilError(t, err)
	}
	since := completed.Load()
	entry.waitFor(t, "streams go on", func() bool { return completed.Load() > since+10 })
	endCallers()
	assert.Equal(t, failed.Load(), int64(0))
	assert.Assert(t, owned(staying))
	stopFirst()
	stopSecond()
	if leaving == first {
		<-secondEnded
	} else {
		<-firstEnded
	}
}
