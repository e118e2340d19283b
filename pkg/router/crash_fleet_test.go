package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

const (
	// crashDownTime is the time until a server that ended is back. It is longer than
	// losses.CollectTime, so that its address refuses connections when it is checked.
	crashDownTime = 200 * time.Millisecond
	// crashAnnounceInterval is below backend.AnnounceInterval, because requests come
	// faster than in a fleet.
	crashAnnounceInterval = 100 * time.Millisecond
	// contactTime is the time from the third crash after which no request may reach
	// a server.
	contactTime = 3 * time.Second
)

// crashFleet runs servers that end when a request is deadly, and are back under a
// new boot id on the same address.
type crashFleet struct {
	t        testing.TB
	announce *testRouter
	kind     backend.Kind
	isDeadly func(r *http.Request, body string) bool
	stopped  chan struct{}
	tasks    sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
	arrived []time.Time // deadly requests that reached a server
	answers int
}

func newCrashFleet(t testing.TB, announce *testRouter, servers int, kind backend.Kind, isDeadly func(r *http.Request, body string) bool) *crashFleet {
	f := &crashFleet{t: t, announce: announce, kind: kind, isDeadly: isDeadly, stopped: make(chan struct{})}
	for i := range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		name := fmt.Sprintf("s%d", i)
		f.post(name, l.Addr().String(), 1)
		f.tasks.Go(func() { f.runServer(name, l) })
	}
	t.Cleanup(func() { close(f.stopped); f.tasks.Wait() })
	return f
}

func (f *crashFleet) post(name, address string, boot uint64) {
	f.announce.postAnnouncement(f.t, backend.Announcement{
		Name: name, Address: address, Kind: f.kind, BootID: boot, Abilities: backend.Abilities{RepeatsID: true},
	}, serverKey)
}

// runServer runs one process after the other until the fleet is stopped.
func (f *crashFleet) runServer(name string, l net.Listener) {
	address := l.Addr().String()
	for boot := uint64(1); ; boot++ {
		f.post(name, address, boot)
		crashed := f.runProcess(name, l, boot)
		if !crashed {
			return
		}
		for l = nil; l == nil; {
			select {
			case <-f.stopped:
				return
			case <-time.After(crashDownTime):
			}
			l, _ = net.Listen("tcp", address)
		}
	}
}

// runProcess serves until a deadly request or the end of the fleet.
func (f *crashFleet) runProcess(name string, l net.Listener, boot uint64) (crashed bool) {
	ended := make(chan struct{})
	var once sync.Once
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if f.isDeadly(r, string(body)) {
			f.mu.Lock()
			f.arrived = append(f.arrived, time.Now())
			f.mu.Unlock()
			once.Do(func() {
				f.mu.Lock()
				f.crashes = append(f.crashes, time.Now())
				f.mu.Unlock()
				_ = server.Close()
				close(ended)
			})
			panic(http.ErrAbortHandler)
		}
		f.mu.Lock()
		f.answers++
		f.mu.Unlock()
		w.Header().Set(proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
		if strings.Contains(string(body), `"stream":true`) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: {}\n\ndata: [DONE]\n\n")
			return
		}
		_, _ = io.WriteString(w, "{}")
	})
	go func() { _ = server.Serve(l) }()
	ticker := time.NewTicker(crashAnnounceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return true
		case <-f.stopped:
			_ = server.Close()
			return false
		case <-ticker.C:
			f.post(name, l.Addr().String(), boot)
		}
	}
}

// thirdCrash returns when the third server ended, false before.
func (f *crashFleet) thirdCrash() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 3 {
		return time.Time{}, false
	}
	return f.crashes[2], true
}

// arrivedAfter returns the number of deadly requests that reached a server after a
// point in time.
func (f *crashFleet) arrivedAfter(at time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrived {
		if a.After(at) {
			n++
		}
	}
	return n
}

func (f *crashFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}
