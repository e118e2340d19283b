package router

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// callPace is the time between two requests of a caller.
const callPace = 20 * time.Millisecond

func chatBodyOf(messages ...string) string {
	for i, m := range messages {
		messages[i] = fmt.Sprintf(`{"role":"user","content":%q}`, m)
	}
	return `{"model":"p","stream":true,"messages":[` + strings.Join(messages, ",") + `]}`
}

// newRecordingPair returns two routers with records that accept every key.
func newRecordingPair(t *testing.T) (*routerPair, *fakeRecords) {
	records := &fakeRecords{finishes: make(chan *apiv1.FinishRequest, 1<<12), begin: func() (*apiv1.BeginResponse, error) {
		return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_STARTED}, nil
	}}
	p := newRouterPair(t, func(_ int, _ *Config, deps *Dependencies) { deps.Records = records })
	p.moveTo(0)
	return p, records
}

func (p *routerPair) awaitPool(t *testing.T) {
	p.callers[1].waitFor(t, "both routers know the pool", func() bool {
		for _, r := range p.routers {
			if !r.servers.isServicePool(time.Now(), "p") {
				if _, ok := r.servers.poolForModel(time.Now(), "p"); !ok {
					return false
				}
			}
		}
		return true
	})
}

// Guards against one request crashing server after server: it comes again with the
// same path, caller and body, at either of two routers, each 20 ms, until a second
// after the time within which all routers must refuse it.
func TestRequestRepeatedWholeIsStoppedAtEveryRouter(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, class, method, path, body string
		kind                            backend.Kind
		keyed                           bool
		code                            result.Code
	}{
		{"service", "order", http.MethodPost, "/services/p/deadly", `{"item":7}`, backend.Service, false, result.RequestQuarantined},
		{"service without a body", "chat", http.MethodGet, "/services/p/deadly?x=1", "", backend.Service, false, result.RequestQuarantined},
		{"keyed", "order", http.MethodPost, "/services/p/deadly", `{"item":7}`, backend.Service, true, result.RequestQuarantined},
		{"stream", "chat", http.MethodPost, chatPath, chatBodyOf("be kind", "deadly"), backend.Engine, false, result.RequestQuarantined},
		{"chat of one message", "order", http.MethodPost, chatPath, chatBodyOf("deadly"), backend.Engine, false, result.RequestQuarantined},
		{"body on many paths", "order", http.MethodPost, "/services/p/%d", `{"deadly":7}`, backend.Service, false, result.PartQuarantined},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			p, records := newRecordingPair(t)
			f := newCrashFleet(t, p.callers[0], 4, tc.kind, func(r *http.Request, body string) bool {
				return strings.Contains(r.URL.Path+body, "deadly")
			})
			p.awaitPool(t)
			stopped := time.Now().Add(testTimeout)
			refused := [2]int{}
			for n := 0; time.Now().Before(stopped); n++ {
				path := tc.path
				if strings.Contains(path, "%d") {
					path = fmt.Sprintf(path, n)
				}
				var header []string
				if tc.keyed {
					header = []string{proxy.HeaderIdempotencyKey, fmt.Sprintf("key-%d", n)}
				}
				sentAt := time.Now()
				req := p.callers[n%2].request(t, tc.method, path, tc.class, tc.body, header...)
				third, ok := f.thirdCrash()
				if ok {
					stopped = third.Add(contactTime + time.Second)
				}
				if !ok || sentAt.Before(third.Add(contactTime)) {
					_, _ = tryDo(req)
				} else {
					expectRefusal(t, req, tc.code)
					refused[n%2]++
				}
				<-time.After(callPace)
			}
			third, ok := f.thirdCrash()
			assert.Assert(t, ok, "%d crashes", f.crashCount())
			t.Logf("%d crashes, refused by each router later: %v", f.crashCount(), refused)
			assert.Equal(t, f.arrivedAfter(third.Add(contactTime)), 0)
			assert.Assert(t, refused[0] > 0 && refused[1] > 0)
			if tc.keyed {
				p.callers[0].waitFor(t, "the records of refused requests are aborted", func() bool {
					return records.aborts.Load() >= int64(refused[0]+refused[1])
				})
			}
		})
	}
}

// Guards against each router judging by its own losses: one crashes a server, then
// the other one, then the first one again, and no further request is needed.
func TestThreeCrashesAtDifferentRoutersSuffice(t *testing.T) {
	t.Parallel()
	const path, body = "/services/p/deadly", `{"item":7}`
	p, _ := newRecordingPair(t)
	f := newCrashFleet(t, p.callers[0], 4, backend.Service, func(r *http.Request, _ string) bool { return strings.Contains(r.URL.Path, "deadly") })
	p.awaitPool(t)
	for i := range 3 {
		expectRefusal(t, p.callers[i%2].request(t, http.MethodPost, path, "order", body), result.StreamBroken)
	}
	suspect := wholeSuspect(http.MethodPost, path, body)
	for _, tr := range p.callers {
		tr.waitFor(t, "the verdict", func() bool { return tr.stateOf(suspect) == "quarantined" })
		expectRefusal(t, tr.request(t, http.MethodPost, path, "order", body), result.RequestQuarantined)
	}
	third, _ := f.thirdCrash()
	assert.Assert(t, time.Since(third) < contactTime, "%s after the third crash", time.Since(third))
	assert.Equal(t, f.crashCount(), 3)
}

// Guards against requests that are refused because servers crash beside them: a
// server ends each 300 ms on whatever request comes next, while callers poll one GET
// at both routers, and others send requests of their own with one body, again until
// they are answered.
func TestSoundRepeatsBesideCrashesAreServed(t *testing.T) {
	t.Parallel()
	const duration, crashInterval, pollers = 6 * time.Second, 300 * time.Millisecond, 4
	const maxTime = 5 * time.Second // half of the longest wait for a slot
	p, _ := newRecordingPair(t)
	var mu sync.Mutex
	lastCrash := time.Now()
	f := newCrashFleet(t, p.callers[0], 6, backend.Service, func(r *http.Request, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(lastCrash) < crashInterval {
			return false
		}
		lastCrash = time.Now()
		return true
	})
	p.awaitPool(t)
	var answered, lost atomic.Int64
	// send returns false if the request has to be sent again.
	send := func(router int, method, path, class, body string) bool {
		sentAt := time.Now()
		resp, answer := tryDo(p.callers[router].request(t, method, path, class, body))
		if took := time.Since(sentAt); took > maxTime {
			t.Errorf("%s %s took %s", method, path, took)
		}
		if strings.Contains(answer, "quarantined") {
			t.Errorf("%s %s: %s", method, path, answer)
		}
		if resp == nil || resp.StatusCode != http.StatusOK {
			lost.Add(1)
			return false
		}
		answered.Add(1)
		return true
	}
	end := time.Now().Add(duration)
	var callers sync.WaitGroup
	for i := range pollers {
		callers.Go(func() {
			for time.Now().Before(end) {
				send(i%2, http.MethodGet, "/services/p/popular", "chat", "")
				<-time.After(callPace)
			}
		})
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				path := fmt.Sprintf("/services/p/%d/%d", i, n)
				served := false
				for attempt := 0; !served && attempt < 10; attempt++ {
					served = send((i+attempt)%2, http.MethodPost, path, "order", "{}")
					<-time.After(callPace)
				}
				if !served {
					t.Errorf("%s was not served in 10 attempts", path)
				}
			}
		})
	}
	callers.Wait()
	t.Logf("%d crashes, %d requests answered, %d lost", f.crashCount(), answered.Load(), lost.Load())
	assert.Assert(t, f.crashCount() >= 10, "%d crashes", f.crashCount())
	for _, tr := range p.callers {
		for _, s := range tr.router.Quarantine() {
			t.Errorf("verdict on a sound request: %+v", s)
		}
	}
}

// Guards against the parts of a request that crashes servers being quarantined with
// it. Either nothing but the request has its first message until it is refused, then
// others do, or others are sent between any two of its repeats.
func TestRequestsThatShareMessagesWithCrashingOneAreServed(t *testing.T) {
	t.Parallel()
	for _, between := range []bool{false, true} {
		t.Run(fmt.Sprintf("between=%v", between), func(t *testing.T) {
			t.Parallel()
			testSharedMessages(t, between)
		})
	}
}

func testSharedMessages(t *testing.T, between bool) {
	sound := func(tr *testRouter, n int) *http.Request {
		return tr.request(t, http.MethodPost, chatPath, "order", chatBodyOf("be kind", fmt.Sprint("question ", n)))
	}
	p, _ := newRecordingPair(t)
	f := newCrashFleet(t, p.callers[0], 4, backend.Engine, func(_ *http.Request, body string) bool { return strings.Contains(body, "deadly") })
	p.awaitPool(t)
	p.callers[0].waitFor(t, "both routers refuse the request", func() bool {
		refused := 0
		for _, tr := range p.callers {
			_, body := tryDo(tr.request(t, http.MethodPost, chatPath, "order", chatBodyOf("be kind", "deadly")))
			if strings.Contains(body, "quarantined") {
				refused++
			}
			if between {
				_, body := tryDo(sound(tr, 1000+f.crashCount())) // may be lost with a server
				assert.Assert(t, !strings.Contains(body, "quarantined"), body)
			}
			<-time.After(callPace)
		}
		return refused == 2
	})
	assert.Assert(t, f.crashCount() >= 3)
	for i := range 20 {
		resp, body := do(t, sound(p.callers[i%2], i))
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
		expectRefusal(t, p.callers[i%2].request(t, http.MethodPost, chatPath, "order", chatBodyOf("be kind", "deadly")), result.RequestQuarantined)
	}
}
