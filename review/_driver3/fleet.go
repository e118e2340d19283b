package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheet of the small deployments.
const (
	contactTime     = 3 * time.Second
	evacuateTime    = 5 * time.Second
	outerTime       = 5 * time.Second
	heartbeat       = 1200 * time.Millisecond
	operatorTimeout = time.Second // after which a caller of control moves on to another node
)

var zones = []string{"vasteras", "orebro", "uppsala", "eskilstuna"}

// record is what was sent, answered and run, for the reader of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is a program of the deploy file on a machine of its own loopback address.
type process struct {
	name, zone, ip string
	isCore         bool
	cmd            *exec.Cmd
}

// fleet runs the project's programs and the stand-ins of a case.
type fleet struct {
	dir       string
	record    *record
	base      string // first three bytes of the loopback addresses
	ports     [3]int // control and front, ready, internal
	cores     []*process
	edges     []*process
	bootstrap bool

	mu      sync.Mutex    // guards the start and the end of processes
	stopped chan struct{} // closed by close
}

// runCommands returns the programs of the roles in the deploy file, by class of machine.
func runCommands() (map[string][]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	out := map[string][]string{}
	for _, role := range regexp.MustCompile(`(?m)^\[roles\.`).Split(string(data), -1)[1:] {
		run := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindStringSubmatch(role)
		on := regexp.MustCompile(`(?m)^on = "([^"]*)"`).FindStringSubmatch(role)
		if run == nil || on == nil {
			return nil, fmt.Errorf("a role of the deploy file has no program or class")
		}
		out[on[1]] = strings.Fields(run[1])
	}
	return out, nil
}

func newFleet(r *record, cores, edges int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{dir: dir, record: r, base: fmt.Sprintf("127.%d.%d", 20+pid%200, 1+pid/200%250), bootstrap: true, stopped: make(chan struct{})}
	for i := range f.ports {
		l, err := net.Listen("tcp", f.base+".1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // after all ports are found, so that they differ
		f.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	for i := range cores {
		f.cores = append(f.cores, &process{name: fmt.Sprintf("core-%s-%d", zones[i%4], 1+i/4), zone: zones[i%4], ip: fmt.Sprintf("%s.%d", f.base, 1+i), isCore: true})
	}
	for i := range edges {
		f.edges = append(f.edges, &process{name: fmt.Sprintf("front-%s-%d", zones[i%4], 1+i/4), zone: zones[i%4], ip: fmt.Sprintf("%s.%d", f.base, 101+i)})
	}
	go f.closeOnSignal()
	return f, nil
}

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// closeOnSignal ends the case with status 2 when it takes too long or is interrupted.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-f.stopped:
		return
	case <-signals:
	case <-time.After(maxTime):
	}
	f.record.printf("the case was interrupted or took too long")
	f.close()
	os.Exit(2)
}

func (f *fleet) controlAddress(p *process) string { return fmt.Sprintf("%s:%d", p.ip, f.ports[0]) }

// start writes the settings of a process and starts it.
func (f *fleet) start(p *process) error {
	commands, err := runCommands()
	if err != nil {
		return err
	}
	class, listen, disk := "front", map[string]string{"front": f.controlAddress(p), "ready": fmt.Sprintf("%s:%d", p.ip, f.ports[1])}, any(nil)
	limits := map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 544, "maxFds": 8200, "linkMbps": 2000, "diskMb": 0}
	if p.isCore {
		class, listen, disk = "core", map[string]string{"control": f.controlAddress(p)}, filepath.Join(f.dir, p.name)
		limits = map[string]any{"cpuShare": 0.48, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000, "diskMb": 128}
		if err := os.MkdirAll(disk.(string), 0o700); err != nil {
			return err
		}
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "svealand"
	}
	var seeds []string
	for _, c := range f.cores[:min(3, len(f.cores))] {
		seeds = append(seeds, f.controlAddress(c))
	}
	settings, err := json.MarshalIndent(map[string]any{
		"nodeName": p.name, "role": class, "machineClass": class, "serves": []string{map[bool]string{true: "control", false: "front"}[p.isCore]},
		"ip": p.ip, "zone": p.zone, "region": "svealand", "zones": regions, "listen": listen, "internalPorts": []int{f.ports[2], f.ports[2]},
		"seeds": seeds, "bootstrap": f.bootstrap, "lossCounts": p.isCore, "limits": limits, "dataDir": disk, "discovery": "registration", "entry": "vip",
		"heartbeatMs": heartbeat.Milliseconds(), "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": contactTime.Milliseconds(), "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": outerTime.Milliseconds(), "strictRevocation": false, "revokeMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetExtraRetries": 58, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": evacuateTime.Milliseconds(), "recoveryS": 12, "passMs": 120,
			"reuseWindowS": 10, "quotaWindowS": 4,
		},
		"configMode": "highest",
	}, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, p.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := commands[class]
	p.cmd = exec.Command(command[0], command[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C.UTF-8", "JACKDAWTRACK_BOOT=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.stopped:
		return errors.New("the case is ending")
	default:
	}
	return p.cmd.Start()
}

// startAll starts the core and the edge hosts.
func (f *fleet) startAll() error {
	for _, p := range append(append([]*process{}, f.cores...), f.edges...) {
		if err := f.start(p); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a process of the case.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.record.printf("%s gets %s", p.name, map[syscall.Signal]string{syscall.SIGSTOP: "SIGSTOP", syscall.SIGCONT: "SIGCONT", syscall.SIGKILL: "SIGKILL", syscall.SIGTERM: "SIGTERM"}[s])
	_ = p.cmd.Process.Signal(s)
}

// close ends all processes that the case has started. It may be called twice.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.stopped:
		return
	default:
	}
	close(f.stopped)
	for _, p := range append(append([]*process{}, f.cores...), f.edges...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
	_ = os.RemoveAll(f.dir)
}

// control makes one call to a core host on a connection of its own, which is closed if there
// is no answer within a second.
func (f *fleet) control(p *process, method, path string, body []byte) (int, []byte, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: operatorTimeout}
	req, err := http.NewRequest(method, "http://"+f.controlAddress(p)+path, bytes.NewReader(body))
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

// order sends an order of the operator to the core hosts in turn until one acknowledges it,
// with increasing pauses, and returns when that was.
func (f *fleet) order(cores []*process, method, path string, body []byte) (time.Time, error) {
	pause := 50 * time.Millisecond
	for n := range 40 {
		p := cores[n%len(cores)]
		status, _, err := f.control(p, method, path, body)
		f.record.printf("operator: %s %s to %s -> %s", method, path, p.name, outcomeOf(status, err))
		if err == nil && status/100 == 2 {
			return time.Now(), nil
		}
		if err == nil && status/100 == 4 {
			return time.Time{}, fmt.Errorf("%s %s was refused with %d", method, path, status)
		}
		time.Sleep(pause)
		pause = min(pause*3/2, 500*time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%s %s was not acknowledged", method, path)
}

func outcomeOf(status int, err error) string {
	if err != nil {
		return "no answer"
	}
	return fmt.Sprint(status)
}

// awaitReady waits until all edge hosts are ready.
func (f *fleet) awaitReady() error {
	for _, p := range f.edges {
		for n := 0; ; n++ {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/jackdawtrack/readyz", p.ip, f.ports[1]))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if n == 200 {
				return fmt.Errorf("%s did not get ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
