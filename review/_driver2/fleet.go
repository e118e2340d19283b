package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as its settings state them.
const (
	contactTime   = 3 * time.Second
	ackTime       = 4 * time.Second
	catchUpTime   = 4 * time.Second
	graceTime     = 8 * time.Second
	evacuateTime  = 5 * time.Second
	recoveryTime  = 12 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

// record writes record.txt: one line for each thing sent, answered or run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// host is one process of the system.
type host struct {
	name, ip, zone string
	core           bool
	folder         string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// deployment runs the programs of the deploy file on loopback addresses.
type deployment struct {
	rec      *record
	dir      string
	programs string // folder of the programs
	network  string // first three numbers of the loopback addresses
	ports    [4]int // internal, control or front, ready, last internal
	seeds    []*host
	hosts    []*host

	mu      sync.Mutex
	started []*os.Process
}

func newDeployment(rec *record, dir, programs string) (*deployment, error) {
	pid := os.Getpid()
	d := &deployment{rec: rec, dir: dir, programs: programs, network: fmt.Sprintf("127.%d.%d", 2+pid%240, 1+pid/240%250)}
	for i := range d.ports {
		l, err := net.Listen("tcp", d.network+".1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		d.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	if d.ports[0] > d.ports[3] {
		d.ports[0], d.ports[3] = d.ports[3], d.ports[0]
	}
	return d, nil
}

func (d *deployment) addHost(name, zone string, number int, core bool) *host {
	h := &host{name: name, ip: fmt.Sprintf("%s.%d", d.network, number), zone: zone, core: core}
	if core {
		h.folder = filepath.Join(d.dir, name)
	}
	d.hosts = append(d.hosts, h)
	return h
}

func (d *deployment) address(h *host) string { return fmt.Sprintf("%s:%d", h.ip, d.ports[1]) }

// start writes the settings of h and starts its program with the command of the deploy file.
func (d *deployment) start(h *host, bootstrap bool) error {
	listen := map[string]string{"control": d.address(h)}
	program, class := "jackdawtrack-core", "core"
	limits := map[string]any{"cpuShare": 0.48, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128}
	if !h.core {
		listen = map[string]string{"front": d.address(h), "ready": fmt.Sprintf("%s:%d", h.ip, d.ports[2])}
		program, class = "jackdawtrack-edge", "front"
		limits = map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 544, "maxFds": 8200, "linkMbps": 2000.0, "diskMb": 0}
	}
	zones := map[string]string{}
	for _, o := range d.hosts {
		zones[o.zone] = "region"
	}
	seeds := []string{}
	for _, s := range d.seeds {
		seeds = append(seeds, d.address(s))
	}
	settings := map[string]any{
		"nodeName": h.name, "role": class, "machineClass": class, "serves": []string{"control"}, "ip": h.ip, "zone": h.zone, "region": "region", "zones": zones,
		"listen": listen, "internalPorts": []int{d.ports[0], d.ports[3]}, "seeds": seeds, "bootstrap": bootstrap, "lossCounts": h.core, "limits": limits,
		"discovery": "registration", "entry": "vip", "heartbeatMs": heartbeatTime.Milliseconds(), "dataDir": nil,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": contactTime.Milliseconds(), "ackMs": ackTime.Milliseconds(), "catchUpS": catchUpTime.Seconds(),
			"drainMs": 2000, "graceS": graceTime.Seconds(), "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000,
			"strictRevocation": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtraRetries": 56, "coldOverage": 1.5, "coldSlack": 5,
			"evacuateMs": evacuateTime.Milliseconds(), "recoveryS": recoveryTime.Seconds(), "passMs": 120, "reuseWindowS": 10, "quotaWindowS": 4,
		},
		"configMode": "highest",
	}
	if h.core {
		if err := os.MkdirAll(h.folder, 0o700); err != nil {
			return err
		}
		settings["dataDir"] = h.folder
	} else {
		settings["serves"] = []string{"front"}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, h.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command(filepath.Join(d.programs, program))
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWTRACK_BOOT=" + path}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.started = append(d.started, h.cmd.Process)
	d.mu.Unlock()
	d.rec.add("%s starts at %s in zone %s, bootstrap %t, process %d", h.name, h.ip, h.zone, bootstrap, h.cmd.Process.Pid)
	cmd, exited := h.cmd, make(chan struct{})
	h.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (d *deployment) signal(h *host, s syscall.Signal) {
	if h.cmd != nil {
		d.rec.add("%s gets %s", h.name, s)
		_ = h.cmd.Process.Signal(s)
	}
}

// end sends the signal and waits for the end of the process, which is killed after the grace
// time.
func (d *deployment) end(h *host, s syscall.Signal) {
	if h.cmd == nil {
		return
	}
	d.signal(h, s)
	select {
	case <-h.exited:
	case <-time.After(graceTime):
		d.signal(h, syscall.SIGKILL)
		<-h.exited
	}
	d.rec.add("%s has ended", h.name)
	h.cmd = nil
}

// wipe empties the folder of a host that does not run.
func (d *deployment) wipe(h *host) error {
	d.rec.add("%s loses its disk", h.name)
	return os.RemoveAll(h.folder)
}

// killAll kills all processes without waiting for their end.
func (d *deployment) killAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.started {
		_ = p.Kill() // fails if it has ended
	}
}

// endAll ends all processes.
func (d *deployment) endAll() {
	for _, h := range d.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.exited
			h.cmd = nil
		}
	}
}

// leaderOf returns the core host that its own log names as the latest leader, nil if none is.
func (d *deployment) leaderOf(cores []*host) (leader *host) {
	highest := 0
	for _, h := range cores {
		data, _ := os.ReadFile(filepath.Join(d.dir, h.name+".log")) // there is none before the first start
		for _, line := range strings.Split(string(data), "\n") {
			term := 0
			_, rest, ok := strings.Cut(line, "became leader in term ")
			if !ok {
				continue
			}
			if _, err := fmt.Sscanf(rest, "%d", &term); err == nil && term >= highest {
				highest, leader = term, h
			}
		}
	}
	return leader
}
