package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

const (
	// hostMemoryMB is the memory of the users' smallest hosts with callers.
	hostMemoryMB = 284
	// endlessCallers is the number of callers of each kind of endless response.
	endlessCallers = 20
	endlessTime    = 3 * time.Second
	// endlessServers is the number of servers of each kind. A router sends few requests to
	// a server that fails.
	endlessServers = 8
)

// endlessKinds are begins of responses and what follows without end. %s is the id of the
// request.
func endlessKinds() [][2]string {
	const head = "HTTP/1.1 200 OK\r\nJackdawtrack-Request-Id: %s\r\n"
	const events, chunked = head + "Content-Type: text/event-stream\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("x", 1000)
	return [][2]string{
		{"", line}, {head + "X: ", line}, {head, "X: " + line + "\r\n"}, {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{head + "\r\n", line}, {head + "Content-Length: 1000000000000\r\n\r\n", line}, {chunked, "3e8\r\n" + line + "\r\n"},
		{chunked, "1\r\nx\r\n"}, {chunked + "1;x=", line}, {head + "Trailer: X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + line + "\r\n"},
		{events + "data: ", line}, {events, "data: " + line + "\n"}, {events, ": c\n\n"}, {events, "data: c\n\n"},
	}
}

// serveEndless answers each request on c with the kind that its path names.
func serveEndless(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	var n int
	if _, err := fmt.Sscanf(req.URL.Path, "/%d", &n); err != nil {
		return
	}
	kind := endlessKinds()[n]
	_, err = io.WriteString(c, strings.ReplaceAll(kind[0], "%s", req.Header.Get("Jackdawtrack-Request-Id")))
	text := strings.Repeat(kind[1], max(4000/len(kind[1]), 1))
	for err == nil {
		_, err = io.WriteString(c, text)
	}
}

// startEndless starts the servers of each kind and announces them to the first router until
// ctx ends. The service of a kind is endless-n.
func (f *fleet) startEndless(ctx context.Context) (wait func()) {
	text, err := os.ReadFile(f.routers[0].settings())
	assert.NilError(f.t, err)
	announce := regexp.MustCompile(`announce: "([^"]+)"`).FindSubmatch(text)
	assert.Assert(f.t, announce != nil)
	var bodies [][]byte
	for i := range len(endlessKinds()) * endlessServers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(f.t, err)
		f.t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return // closed at the end of the test
				}
				go serveEndless(c)
			}
		}()
		body, err := json.Marshal(backend.Announcement{
			Name: fmt.Sprintf("desk-endless-%d", i), DataCentre: "a", Address: l.Addr().String(), Pool: fmt.Sprintf("endless-%d", i/endlessServers),
			Kind: backend.Service, BootID: 1, Slots: 1000, State: backend.Ready,
		})
		assert.NilError(f.t, err)
		bodies = append(bodies, body)
	}
	var announcer sync.WaitGroup
	announcer.Go(func() {
		for ctx.Err() == nil {
			for _, body := range bodies {
				f.announceEndless(ctx, string(announce[1]), body)
			}
			select {
			case <-ctx.Done():
			case <-time.After(backend.AnnounceInterval):
			}
		}
	})
	return announcer.Wait
}

// announceEndless sends one announcement, unless ctx ends before.
func (f *fleet) announceEndless(ctx context.Context, address string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(body))
	if !assert.Check(f.t, err == nil) {
		return
	}
	req.Header.Set("Authorization", "Bearer "+sharedKey)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		assert.Check(f.t, resp.StatusCode < 300, resp.Status)
		_ = resp.Body.Close()
	}
}

// get sends a request to the first router, discards the answer and returns its result code.
func (f *fleet) get(ctx context.Context, path string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(f.callerAddresses[0])+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+sharedKey)
	req.Header.Set("Jackdawtrack-Workspace", "shop")
	req.Header.Set("Jackdawtrack-Class", "status")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return resp.Header.Get("Jackdawtrack-Result")
}

// Guards against a server that sends bytes without end, of any kind, and so uses up the
// memory of a router or its service to others.
func TestEndlessResponsesLeaveMemoryAndServiceOfARouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	wait := f.startEndless(ctx)
	for i := range endlessKinds() {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := f.get(ctx, fmt.Sprintf("/services/endless-%d/none", i)); got == "105" { // unknown service
				return poll.Continue("service %d is unknown", i)
			}
			return poll.Success()
		}, poll.WithTimeout(stateTimeout), poll.WithDelay(20*time.Millisecond))
	}
	var callers sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	end := time.Now().Add(endlessTime)
	for i := range endlessKinds() {
		for range endlessCallers {
			callers.Go(func() {
				for time.Now().Before(end) {
					ctx, cancel := context.WithTimeout(ctx, endlessTime)
					got := f.get(ctx, fmt.Sprintf("/services/endless-%d/%d", i, i))
					cancel()
					mu.Lock()
					outcomes[got]++
					mu.Unlock()
				}
			})
		}
	}
	answered := 0
	for time.Now().Before(end) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		got := f.get(ctx, "/services/desk/status")
		cancel()
		assert.Check(t, got == "0", "result %s beside endless responses", got)
		answered++
	}
	callers.Wait()
	cancel()
	wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.routers[0].cmd.Process.Pid))
	assert.NilError(t, err)
	var peakKB int
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &peakKB) // other lines do not match
	}
	t.Logf("peak of %d MB, %d other requests, results %v", peakKB>>10, answered, outcomes)
	assert.Assert(t, peakKB > 0 && peakKB>>10 <= hostMemoryMB, "peak of %d MB", peakKB>>10)
}
