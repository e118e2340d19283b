package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamHost    = "chat.example"
	streamService = "textmodell"
	eventCount    = 120 // of a stream
)

// streamConfig is a configuration with one route of streams that may be resumed, as that of
// order-chat of the sheet.
func streamConfig(version int, service string) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-chat", "host": streamHost, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 300, "priority": 1,
			"service": service, "maxAttempts": 2, "public": false, "sticky": true, "streamResume": true, "targetItlMs": 200,
		}},
		"services": []any{map[string]any{
			"name": streamService, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 629359, "kvTokenBytes": 163840, "linkMbps": 740000.0, "moves": true, "backups": true, "stride": 5, "most": 12,
				"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 290000},
		"tenants": []any{map[string]any{"name": "tenant-one", "apiKeys": []string{orderKey}, "priority": 1}},
	})
	check(err)
	return data
}

// engine is a model server with one process at a time, which can be replaced by one of
// another software version under the same id and address.
type engine struct {
	run            *run
	id, zone, addr string
	events         int
	gap            time.Duration
	quiet          bool          // runs are not in the record
	firstEvent     time.Duration // from the start of a run

	mu       sync.Mutex
	process  int // number of the process, 0 while none runs
	last     int
	version  string
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	ran      map[string]bool // by request id
}

func (r *run) newEngine(id, zone, addr string) *engine {
	return &engine{run: r, id: id, zone: zone, addr: addr, events: eventCount, gap: 50 * time.Millisecond, firstEvent: 40 * time.Millisecond, ran: map[string]bool{}, conns: map[net.Conn]bool{}}
}

// start starts a process of the version. Its heartbeats arrive later by the delay.
func (e *engine) start(version string, delay time.Duration) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", e.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	e.mu.Lock()
	e.last++
	n := e.last
	e.process, e.version, e.born, e.listener = n, version, time.Now().UnixMilli(), l
	born := e.born
	e.mu.Unlock()
	e.run.logf("server %s starts, version %s, its heartbeats arrive %v late", e.id, version, delay)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, version) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.conns[c] = true; s == http.StateClosed || s == http.StateHijacked {
				delete(e.conns, c)
			}
		},
	}
	go server.Serve(l)
	go e.announce(n, version, born, delay)
}

// crash ends the process: all its connections are reset.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.run.logf("server %s crashes", e.id)
	e.process = 0
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(e.conns)
}

func (e *engine) announce(n int, version string, born int64, delay time.Duration) {
	for sequence := 1; ; sequence++ {
		e.mu.Lock()
		running := e.process == n
		e.mu.Unlock()
		if !running {
			return
		}
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":64,"state":"ready","coldRemainingMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,"born":%d}`,
			streamService, e.addr, e.zone, version, sequence, born)
		time.AfterFunc(delay, func() {
			for i := range e.run.cores {
				m := e.run.cores[(sequence+i)%len(e.run.cores)]
				if status, _, err := call("PUT", "http://"+m.control()+"/jackdawtrack/instances/"+e.id, []byte(body), time.Second); err == nil && status/100 == 2 {
					if sequence == 1 {
						e.run.logf("the first heartbeat of %s, version %s, is acknowledged by %s", e.id, version, m.name)
					}
					return
				}
			}
		})
		select {
		case <-e.run.stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request, version string) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Jackdawtrack-Instance-Id", e.id)
		return
	case r.URL.Path == "/jackdawtrack/hold-take":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"hold":"h%d"}`, time.Now().UnixNano())
		return
	case strings.HasPrefix(r.URL.Path, "/jackdawtrack/"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := r.Header.Get("Jackdawtrack-Request-Id")
	w.Header().Set("Jackdawtrack-Request-Id", id)
	if expected := r.Header.Get("Jackdawtrack-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Jackdawtrack-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	e.mu.Lock()
	e.ran[id] = true
	e.mu.Unlock()
	if !e.quiet {
		e.run.logf("server %s, version %s, runs %s from event %d", e.id, version, id, first)
	}
	w.Header().Set("Jackdawtrack-Response-Seal", "seal-"+e.id+"-"+id)
	w.Header().Set("Jackdawtrack-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	time.Sleep(e.firstEvent)
	for n := first; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"piece\":%d,\"by\":%q,\"version\":%q}\n\n", n, n, e.id, version); err != nil {
			return
		}
		if out.Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(e.gap)
	}
}

// streamSeen is what a client saw of one stream, over its attempts.
type streamSeen struct {
	id       string // of the first attempt
	attempts int
	status   int      // of the last attempt
	versions []string // in order, without repetition
	last     int      // number of the last piece
	gaps     int      // pieces out of order
	err      error    // of the last attempt
}

// stream reads one stream. If it is cut off, the client takes it up once, as the sheet says.
func (r *run) stream(m *machine, n int) *streamSeen {
	s := &streamSeen{id: r.newID()}
	deadline := time.Now().Add(12 * time.Second)
	s.attempt(r, m, n, s.id, deadline)
	if s.err != nil && s.last > 0 && s.last < eventCount {
		s.attempt(r, m, n, r.newID(), deadline)
	}
	return s
}

// attempt sends one attempt of the client, from where the stream was cut off.
func (s *streamSeen) attempt(r *run, m *machine, n int, id string, deadline time.Time) {
	s.attempts++
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+m.front()+"/chat/"+strconv.Itoa(n), strings.NewReader("a prompt"))
	check(err)
	req.Host = streamHost
	req.Header.Set("Jackdawtrack-Request-Id", id)
	req.Header.Set("Jackdawtrack-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	req.Header.Set("Jackdawtrack-Model", "m")
	req.Header.Set("Jackdawtrack-Token-Count", "826,600")
	req.Header.Set("Jackdawtrack-Length-Hint", "600")
	req.Header.Set("Jackdawtrack-Prompt-Prefix", fmt.Sprintf("5c1e07a2:119,%x:79,%x:628", 0x91bd0000+n%20, 0xe4400000+n))
	req.Header.Set("Authorization", "Bearer "+orderKey)
	if s.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		req.Header.Set("Resumes", s.id)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.err = err
		return
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var piece struct {
			Piece   int    `json:"piece"`
			Version string `json:"version"`
		}
		if json.Unmarshal([]byte(data), &piece) != nil {
			continue
		}
		if piece.Piece != s.last+1 {
			s.gaps++
		}
		s.last = piece.Piece
		if len(s.versions) == 0 || s.versions[len(s.versions)-1] != piece.Version {
			s.versions = append(s.versions, piece.Version)
		}
	}
	s.err = lines.Err()
}

// playUpgrade lets servers of a service crash, one each 1.5 s, and come back in place with
// another software version, each under its id. The heartbeats of the new processes arrive
// seconds late. There are four servers, five edge hosts and four core hosts.
func playUpgrade(r *run) {
	r.place([]string{"vasteras", "orebro", "uppsala", "eskilstuna"}, []int{2, 1, 1, 1})
	r.startAll()
	engines := []*engine{}
	for i, zone := range r.zones {
		e := r.newEngine("i-text-"+zone, zone, r.address(i+1, 200))
		e.start("v1", 0)
		engines = append(engines, e)
	}
	if r.order("PUT", "/jackdawtrack/config", streamConfig(1, streamService), r.cores).IsZero() {
		r.end(2)
	}
	r.waitReady(15 * time.Second)
	time.Sleep(contactTime)

	const streams = 120
	seen := make([]*streamSeen, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			seen[i] = r.stream(r.edges[i%len(r.edges)], i)
		}()
		time.Sleep(12 * time.Millisecond)
	}
	delay := time.Duration(0)
	if r.trouble {
		delay = 4 * time.Second
	}
	// One server of four is down at a time, for 0.3 s. The last one stays.
	for _, e := range engines[:3] {
		at := time.Now()
		e.crash()
		time.Sleep(300 * time.Millisecond)
		e.start("v2", delay)
		time.Sleep(time.Until(at.Add(1500 * time.Millisecond)))
	}
	wg.Wait()
	mixed, whole := 0, 0
	for _, s := range seen {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.err == nil && s.status == 200 && s.last == eventCount {
			whole++
		}
		r.logf("client: stream %s: %d attempts, the last one with status %d and error %v, %d pieces, %d out of order, of versions %v", s.id, s.attempts, s.status, s.err, s.last, s.gaps, s.versions)
	}
	r.logf("%d of %d streams hold events of two software versions (the rule allows two), %d are whole", mixed, streams, whole)
	switch {
	case whole == 0:
		r.end(2)
	case mixed > 2:
		r.end(1)
	}
	r.end(0)
}
