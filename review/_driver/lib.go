// Command driver plays the cases of this review: it starts the programs of the deploy
// file as processes on loopback addresses and stands in for the operator, the servers,
// the clients and the platform.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployments of the pages.
const (
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	recoveryTime    = 12 * time.Second
	ackTime         = 4 * time.Second
	evacuateTime    = 5 * time.Second
	heartbeatTime   = 1200 * time.Millisecond
)

// run is one play of a case.
type run struct {
	folder      string // temporary
	bin         string
	coreProgram string // "" for that of the deploy file
	record      *os.File
	started     time.Time
	trouble     bool
	zones       []string
	cores       []*machine
	edges       []*machine
	port        int
	base        string // first two octets of the loopback addresses
	mu          sync.Mutex
	lists       struct{ seeds []string }
	stop        chan struct{}
	ending      sync.Mutex
	guards      sync.WaitGroup // that start machines again
	nextID      atomic.Int64
}

// machine is one process of the system.
type machine struct {
	name, role, zone, ip string
	run                  *run
	settings             string
	memoryMB             int // of an edge host
	cmd                  *exec.Cmd
	exited               chan struct{}
}

func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// newRun reads the environment and creates the record. It exits with 2 if it cannot.
func newRun(recordPath string) *run {
	record, err := os.Create(recordPath)
	check(err)
	folder, err := os.MkdirTemp("", "review")
	check(err)
	root, err := os.Getwd()
	check(err)
	r := &run{
		folder: folder, bin: filepath.Join(root, "target"), record: record, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		stop: make(chan struct{}),
	}
	r.choosePorts()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-signals:
			r.logf("the driver gets %v", s)
		case <-time.After(maxTime):
			r.logf("the run takes too long")
		}
		r.end(2)
	}()
	return r
}

// choosePorts chooses loopback addresses and ports that nothing uses.
func (r *run) choosePorts() {
	for n := os.Getpid(); n < os.Getpid()+100; n++ {
		r.port, r.base = 21000+(n*50)%8000, fmt.Sprintf("127.%d", 64+n%128)
		free := true
		for offset := range 41 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1.35:%d", r.base, r.port+offset))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return
		}
	}
	check(fmt.Errorf("no free ports"))
}

// maxTime is how long a run may take.
const maxTime = 115 * time.Second

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	}
}

// place lays out the machines: one core host in each of the zones (four), and edge hosts.
func (r *run) place(zones []string, edgesPerZone []int) {
	r.zones = zones
	for i, zone := range zones {
		r.cores = append(r.cores, &machine{name: "core-" + zone + "-1", role: "core", zone: zone, ip: fmt.Sprintf("%s.%d.35", r.base, i+1), run: r})
		for j := range edgesPerZone[i] {
			r.edges = append(r.edges, &machine{name: fmt.Sprintf("front-%s-%d", zone, j+1), role: "edge", zone: zone, memoryMB: 544, ip: fmt.Sprintf("%s.%d.%d", r.base, i+1, 50+j), run: r})
		}
	}
	for _, m := range r.cores[:3] {
		r.lists.seeds = append(r.lists.seeds, m.control())
	}
}

func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, m.run.port+3) }
func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, m.run.port+1) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.ip, m.run.port+2) }

// start starts the process. bootstrap is set at the first start of the system only.
func (m *machine) start(bootstrap bool) {
	r := m.run
	zones := map[string]string{}
	for _, z := range r.zones {
		zones[z] = "region-1"
	}
	s := map[string]any{
		"nodeName": m.name, "role": m.role, "ip": m.ip, "zone": m.zone, "region": "region-1", "zones": zones,
		"internalPorts": []int{r.port + 10, r.port + 25}, "seeds": r.lists.seeds, "bootstrap": bootstrap, "lossCounts": m.role == "core",
		"discovery": "registration", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"configMode":     "highest",
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevocation": false, "revokeMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetExtraRetries": 58, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120,
			"reuseWindowS": 10, "quotaWindowS": 4,
		},
	}
	if m.role == "core" {
		s["machineClass"], s["serves"], s["listen"] = "core", []string{"control"}, map[string]string{"control": m.control()}
		s["dataDir"] = filepath.Join(r.folder, m.name)
		s["limits"] = map[string]any{"cpuShare": 0.48, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128}
		check(os.MkdirAll(filepath.Join(r.folder, m.name), 0o755))
	} else {
		s["machineClass"], s["serves"], s["listen"] = "front", []string{"front"}, map[string]string{"front": m.front(), "ready": m.ready()}
		s["dataDir"] = nil
		s["limits"] = map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": m.memoryMB, "maxFds": 8200, "linkMbps": 2000.0, "diskMb": 0}
	}
	data, err := json.Marshal(s)
	check(err)
	m.settings = filepath.Join(r.folder, m.name+".json")
	check(os.WriteFile(m.settings, data, 0o644))
	out, err := os.OpenFile(filepath.Join(r.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	program := filepath.Join(r.bin, "jackdawtrack-"+m.role)
	if m.role == "core" && r.coreProgram != "" {
		program = r.coreProgram
	}
	m.cmd = exec.Command(program)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWTRACK_BOOT=" + m.settings, "REVIEW_DISK_NOTES=" + m.notes()}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	check(m.cmd.Start())
	out.Close()
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(m.cmd, m.exited)
	r.logf("started %s (pid %d)", m.name, m.cmd.Process.Pid)
}

func (m *machine) signal(s syscall.Signal) {
	m.run.logf("%s gets %s", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// startAll starts all machines and waits until the edge hosts listen.
func (r *run) startAll() {
	for _, m := range append(append([]*machine{}, r.cores...), r.edges...) {
		m.start(true)
	}
}

// end ends all processes and exits.
func (r *run) end(code int) {
	r.ending.Lock() // for good
	close(r.stop)
	r.guards.Wait()
	for _, m := range append(append([]*machine{}, r.cores...), r.edges...) {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println("logs:", r.folder)
	}
	r.logf("ends with %d", code)
	r.record.Close()
	os.Exit(code)
}

// call makes one call to a control or front address with a new connection, as the
// pages say that callers do: a second without a response ends it.
func call(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: timeout}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// order sends an order of the operator to the core hosts in the given sequence until one
// acknowledges it, and returns the time of the acknowledgement, zero if there was none.
func (r *run) order(method, path string, body []byte, to []*machine) time.Time {
	for turn := 0; turn < 12; turn++ {
		m := to[turn%len(to)]
		status, _, err := call(method, "http://"+m.control()+path, body, time.Second)
		r.logf("operator: %s %s to %s: status %d, error %v", method, path, m.name, status, err)
		if err == nil && status/100 == 2 {
			return time.Now()
		}
		time.Sleep(time.Duration(50+50*turn) * time.Millisecond)
	}
	return time.Time{}
}

// arrival is a request that reached a server.
type arrival struct {
	id, server, zone, method, target, path, host string
	at                                           time.Time
	ran                                          bool
}

// server stands in for a server of a plain service.
type server struct {
	run                     *run
	id, service, zone, addr string
	version                 string
	born                    int64
	sequence                uint64
	workTime                time.Duration
	mu                      sync.Mutex
	state                   string
	arrivals                []arrival
	http                    *http.Server
}

// newServer starts a server at the address and announces it.
func (r *run) newServer(id, service, zone, addr string) *server {
	s := &server{run: r, id: id, service: service, zone: zone, addr: addr, version: "v1", born: time.Now().UnixMilli(), state: "ready", workTime: 30 * time.Millisecond}
	l, err := net.Listen("tcp", addr)
	check(err)
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	return s
}

func (s *server) announce() {
	go func() {
		for n := 0; ; n++ {
			s.beat(n)
			select {
			case <-s.run.stop:
				return
			case <-time.After(heartbeatTime):
			}
		}
	}()
}

func (s *server) beat(n int) bool {
	s.mu.Lock()
	s.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":6,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		s.service, s.addr, s.zone, s.version, s.state, s.sequence, s.born)
	s.mu.Unlock()
	for i := range s.run.cores {
		m := s.run.cores[(len(s.id)+n+i)%len(s.run.cores)]
		status, _, err := call("PUT", "http://"+m.control()+"/jackdawtrack/instances/"+s.id, []byte(body), time.Second)
		if err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Jackdawtrack-Instance-Id", s.id)
		return
	}
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Jackdawtrack-Request-Id")
	a := arrival{id: id, server: s.id, zone: s.zone, method: r.Method, target: r.RequestURI, path: r.URL.Path, host: r.Host, at: time.Now()}
	expected := r.Header.Get("Jackdawtrack-Expect-Instance")
	a.ran = id != "" && (expected == "" || expected == s.id)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	w.Header().Set("Jackdawtrack-Request-Id", id)
	if !a.ran {
		w.Header().Set("Jackdawtrack-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(s.workTime)
	answer := []byte(fmt.Sprintf("answer of %s to %s, %d bytes\n", s.id, id, len(body)))
	w.Header().Set("Jackdawtrack-Response-Seal", "seal-"+s.id+"-"+id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// seen returns the arrivals so far.
func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival{}, s.arrivals...)
}

// answer is what a client saw.
type answer struct {
	id     string
	at     time.Time // sent
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// send sends one attempt of a client to an edge host over a new connection.
func (r *run) send(m *machine, method, host, path, key string, body []byte, deadline time.Duration, extra map[string]string) answer {
	a := answer{id: r.newID(), at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front()+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Jackdawtrack-Request-Id", a.id)
	req.Header.Set("Jackdawtrack-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range extra {
		req.Header.Set(k, v)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err, a.took = err, time.Since(a.at)
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	a.took = time.Since(a.at)
	return a
}

func (r *run) newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), r.nextID.Add(1)) }

// waitReady waits until all edge hosts are ready; it ends the run with 2 if they are not.
func (r *run) waitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, m := range r.edges {
		for {
			status, _, err := call("GET", "http://"+m.ready()+"/jackdawtrack/readyz", nil, time.Second)
			if err == nil && status == 200 {
				break
			}
			if time.Now().After(deadline) {
				r.logf("%s is not ready in time: status %d, error %v", m.name, status, err)
				r.end(2)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.logf("all edge hosts are ready")
}
