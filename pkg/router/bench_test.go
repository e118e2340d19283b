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
	benchSlots = 512 // maximum limit of one server
	// benchServers is enough for 2,000 streams with free slots for the probes.
	benchServers = 5
)

// setFullLimits gives the owner the maximum limit of all servers, which
// otherwise rises slowly from its start value.
func (tr *testRouter) setFullLimits(b testing.TB) {
	h := pool.Handover{Shard: tr.router.shardOf("p")}
	for _, s := range tr.router.servers.all() {
		text, err := json.Marshal(s.announcement)
		assert.NilError(b, err)
		h.Servers = append(h.Servers, pool.ServerState{Announcement: text, Limit: benchSlots})
	}
	tr.router.applyIfOwner(h.Shard, func(now time.Time, o *pool.Owner) { o.AcceptHandover(now, h) })
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots * benchServers, DisableCompression: true}}
}

// streamRequest returns a request for a stream, through the router if directURL
// is empty.
func (tr *testRouter) streamRequest(b testing.TB, directURL string, tokens int) *http.Request {
	req := tr.request(b, http.MethodPost, chatPath, "chat", chatBody(tokens), proxy.HeaderRequestID, "bench")
	if directURL != "" {
		directReq, err := http.NewRequest(http.MethodPost, directURL+chatPath, strings.NewReader(chatBody(tokens)))
		assert.NilError(b, err)
		directReq.Header = req.Header
		return directReq
	}
	return req
}

// serversIdle reports whether every server has announced that it runs nothing.
// Until then, responses of earlier streams still use memory.
func (tr *testRouter) serversIdle() bool {
	for _, s := range tr.router.servers.all() {
		if s.announcement.Load.Running > 0 {
			return false
		}
	}
	return true
}

// probe returns a request for a short stream from the fast server, through the
// router if directURL is empty.
func (tr *testRouter) probe(b testing.TB, directURL string) *http.Request {
	req := tr.streamRequest(b, directURL, 1)
	body := strings.Replace(chatBody(1), `"p"`, `"q"`, 1)
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	return req
}

// firstByte sends a request and returns the time to the first byte of its
// response.
func firstByte(b testing.TB, c *http.Client, req *http.Request) time.Duration {
	start := time.Now()
	resp, err := c.Do(req)
	assert.NilError(b, err)
	defer resp.Body.Close()
	var buf [1]byte
	_, err = io.ReadFull(resp.Body, buf[:])
	assert.NilError(b, err)
	elapsed := time.Since(start)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(b, err)
	return elapsed
}

// openStreams opens n streams and returns a function that ends them.
func (tr *testRouter) openStreams(b testing.TB, c *http.Client, directURL string, n int) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running, started sync.WaitGroup
	started.Add(n)
	for range n {
		running.Go(func() {
			resp, err := c.Do(tr.streamRequest(b, directURL, 20000).WithContext(ctx))
			if err != nil || resp.StatusCode != http.StatusOK {
				b.Errorf("stream could not be opened: %v", err)
				started.Done()
				return
			}
			defer resp.Body.Close()
			reader := bufio.NewReader(resp.Body)
			_, _ = reader.ReadString('\n')
			started.Done()
			_, _ = io.Copy(io.Discard, reader)
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

// BenchmarkStreams compares the time to the first byte through a router with
// that of direct requests to the same stand-in, while other streams are open.
// It also compares the memory per open stream with and without the router.
func BenchmarkStreams(b *testing.B) {
	for _, open := range []int{1, 100, 2000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) {
			tr := newTestRouter(b, nil)
			var directURL string
			for i := range benchServers {
				name := fmt.Sprintf("s%d", i+1)
				directURL = "http://" + tr.startStandin(b, standin.ServerSettings{
					Name: name, Kind: backend.Engine, Pool: "p", Slots: benchSlots * benchServers, Knee: benchSlots * benchServers,
					PrefillPerThousandTokens: settings.Duration(time.Microsecond), TokenInterval: settings.Duration(250 * time.Millisecond),
				})
			}
			tr.setFullLimits(b)
			// The probes go to a faster server, so that its processing time
			// does not hide the latency that the router adds.
			probe := "http://" + tr.startStandin(b, standin.ServerSettings{
				Name: "s9", Kind: backend.Engine, Pool: "q", PrefillPerThousandTokens: settings.Duration(time.Microsecond), TokenInterval: settings.Duration(time.Microsecond),
			})
			c := benchClient()
			before := memoryInUse()
			end := tr.openStreams(b, c, directURL, open)
			bytesDirect := float64(memoryInUse()-before) / float64(open)
			end()
			c.CloseIdleConnections()
			tr.waitFor(b, "the servers are idle", tr.serversIdle)
			before = memoryInUse()
			end = tr.openStreams(b, c, "", open)
			bytesRouted := float64(memoryInUse()-before) / float64(open)
			var routedTimes, directTimes []time.Duration
			for b.Loop() {
				directTimes = append(directTimes, firstByte(b, c, tr.probe(b, probe)))
				routedTimes = append(routedTimes, firstByte(b, c, tr.probe(b, "")))
			}
			end()
			slices.Sort(directTimes)
			slices.Sort(routedTimes)
			directMedian, routedMedian := directTimes[len(directTimes)/2], routedTimes[len(routedTimes)/2]
			b.ReportMetric(float64((routedMedian-directMedian).Microseconds())/1000, "added-ms/first-byte")
			b.ReportMetric(float64(routedMedian)/float64(directMedian), "ratio-first-byte")
			if open >= 100 { // with fewer streams, other allocations dominate
				b.ReportMetric((bytesRouted-bytesDirect)/1024, "router-KB/stream")
				b.ReportMetric(bytesDirect/1024, "direct-KB/stream")
			}
		})
	}
}

// BenchmarkShortRequests compares the rate of short requests through one router
// with that of direct requests.
func BenchmarkShortRequests(b *testing.B) {
	tr := newTestRouter(b, nil)
	s := newRawServer(b, respondOK)
	tr.announceRawServer(b, "s1", s, backend.Abilities{})
	tr.setFullLimits(b)
	c := benchClient()
	const callers = 64
	const duration = 2 * time.Second
	measureRate := func(address string) float64 {
		var count atomic.Int64
		var workers sync.WaitGroup
		deadline := time.Now().Add(duration)
		for range callers {
			workers.Go(func() {
				for time.Now().Before(deadline) {
					req := tr.request(b, http.MethodPost, "/services/p/x", "chat", "{}", proxy.HeaderRequestID, "bench")
					if address != "" {
						req.URL.Host = address
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
		workers.Wait()
		return float64(count.Load()) / duration.Seconds()
	}
	for b.Loop() {
		directRate := measureRate(s.addr)
		// The server receives no new work unless its last announcement is
		// recent.
		tr.announceRawServer(b, "s1", s, backend.Abilities{})
		routedRate := measureRate("")
		b.ReportMetric(routedRate, "routed-requests/s")
		b.ReportMetric(directRate, "direct-requests/s")
		b.ReportMetric(routedRate/directRate, "ratio")
	}
}
