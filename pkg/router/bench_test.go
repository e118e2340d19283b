package router

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

const (
	benchSlots = 512 // the most that the limiter of one server allows
	// benchServers carry 2,000 streams with slots to spare for the probes.
	benchServers = 5
)

// warm gives the owner the full limit of all servers, which they reach in
// service only after a ramp.
func (f *fleet) warm(b testing.TB) {
	h := pool.Handover{Shard: f.router.shardOf("p")}
	for _, s := range f.router.servers.all() {
		text, err := json.Marshal(s.announcement)
		assert.NilError(b, err)
		h.Servers = append(h.Servers, pool.ServerState{Announcement: text, Limit: benchSlots})
	}
	f.router.atShard(h.Shard, func(now time.Time, o *pool.Owner) { o.Accept(now, h) })
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots * benchServers, DisableCompression: true}}
}

func (f *fleet) to(b testing.TB, base string, tokens int) *http.Request {
	req := f.request(b, http.MethodPost, chatPath, "chat", chatBody(tokens), proxy.HeaderRequestID, "bench")
	if base != "" {
		direct, err := http.NewRequest(http.MethodPost, base+chatPath, strings.NewReader(chatBody(tokens)))
		assert.NilError(b, err)
		direct.Header = req.Header
		return direct
	}
	return req
}

// probe is a short stream of the fast server.
func (f *fleet) probe(b testing.TB, base string) *http.Request {
	req := f.to(b, base, 1)
	body := strings.Replace(chatBody(1), `"p"`, `"q"`, 1)
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	return req
}

// firstByte returns the time to the first byte of a stream.
func firstByte(b testing.TB, c *http.Client, req *http.Request) time.Duration {
	began := time.Now()
	resp, err := c.Do(req)
	assert.NilError(b, err)
	defer resp.Body.Close()
	var one [1]byte
	_, err = io.ReadFull(resp.Body, one[:])
	assert.NilError(b, err)
	took := time.Since(began)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(b, err)
	return took
}

// openStreams holds n streams open until the returned function ends them.
func (f *fleet) openStreams(b testing.TB, c *http.Client, base string, n int) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running, started sync.WaitGroup
	started.Add(n)
	for range n {
		running.Go(func() {
			resp, err := c.Do(f.to(b, base, 20000).WithContext(ctx))
			if err != nil || resp.StatusCode != http.StatusOK {
				b.Errorf("stream not open: %v", err)
				started.Done()
				return
			}
			defer resp.Body.Close()
			in := bufio.NewReader(resp.Body)
			_, _ = in.ReadString('\n')
			started.Done()
			_, _ = io.Copy(io.Discard, in)
		})
	}
	started.Wait()
	return func() { cancel(); running.Wait() }
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkStreams compares the first byte through a router with the first
// byte of the same stand-in called directly while streams are open, and the
// memory that an open stream takes with and without the router.
func BenchmarkStreams(b *testing.B) {
	for _, open := range []int{1, 100, 2000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) {
			f := newFleet(b, nil)
			var direct string
			for i := range benchServers {
				name := fmt.Sprintf("s%d", i+1)
				direct = "http://" + f.standIn(b, standin.ServerSettings{
					Name: name, Kind: backend.Engine, Pool: "p", Slots: benchSlots * benchServers, Knee: benchSlots * benchServers,
					Prefill: settings.Duration(time.Microsecond), TokenInterval: settings.Duration(250 * time.Millisecond),
				})
			}
			f.warm(b)
			// The probes go to a faster server, so that its own time does not
			// hide the router's.
			probe := "http://" + f.standIn(b, standin.ServerSettings{
				Name: "s9", Kind: backend.Engine, Pool: "q", Prefill: settings.Duration(time.Microsecond), TokenInterval: settings.Duration(time.Microsecond),
			})
			c := benchClient()
			before := memoryInUse()
			end := f.openStreams(b, c, direct, open)
			without := float64(memoryInUse()-before) / float64(open)
			end()
			c.CloseIdleConnections()
			before = memoryInUse()
			end = f.openStreams(b, c, "", open)
			with := float64(memoryInUse()-before) / float64(open)
			var routed, straight []time.Duration
			for b.Loop() {
				straight = append(straight, firstByte(b, c, f.probe(b, probe)))
				routed = append(routed, firstByte(b, c, f.probe(b, "")))
			}
			end()
			slices.Sort(straight)
			slices.Sort(routed)
			s, r := straight[len(straight)/2], routed[len(routed)/2]
			b.ReportMetric(float64((r-s).Microseconds())/1000, "added-ms/first-byte")
			b.ReportMetric(float64(r)/float64(s), "ratio-first-byte")
			if open >= 100 { // below, other allocations decide
				b.ReportMetric((with-without)/1024, "router-KB/stream")
				b.ReportMetric(without/1024, "direct-KB/stream")
			}
		})
	}
}

// BenchmarkShortRequests compares short requests through one router with the
// same requests sent directly.
func BenchmarkShortRequests(b *testing.B) {
	f := newFleet(b, nil)
	s := newRawServer(b, answer200)
	f.announceRaw(b, "s1", s, backend.Abilities{})
	f.warm(b)
	c := benchClient()
	const callers = 64
	const span = 2 * time.Second
	rate := func(base string) float64 {
		var count atomic.Int64
		var all sync.WaitGroup
		deadline := time.Now().Add(span)
		for range callers {
			all.Go(func() {
				for time.Now().Before(deadline) {
					req := f.request(b, http.MethodPost, "/services/p/x", "chat", "{}", proxy.HeaderRequestID, "bench")
					if base != "" {
						req.URL.Host = base
					}
					resp, err := c.Do(req)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						count.Add(1)
					}
				}
			})
		}
		all.Wait()
		return float64(count.Load()) / span.Seconds()
	}
	for b.Loop() {
		straight := rate(s.addr)
		// Announcements have to be fresh while the router is measured.
		f.announceRaw(b, "s1", s, backend.Abilities{})
		routed := rate("")
		b.ReportMetric(routed, "routed-requests/s")
		b.ReportMetric(straight, "direct-requests/s")
		b.ReportMetric(routed/straight, "ratio")
	}
}
