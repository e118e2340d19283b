package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"jackdawtrack.example/jackdawtrack/pkg/load"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

const (
	stateTimeout   = 30 * time.Second // for a condition to become true
	loadDuration   = 10 * time.Second
	requestTimeout = 20 * time.Second
	sharedKey      = "end-to-end-key" // key of operators, callers, servers and membership
	logTailBytes   = 2000             // printed of each log after a failure
)

var binaryFolder string // set by run

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "jackdawtrack-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binaryFolder = folder
	if out, err := exec.Command("go", "build", "-o", folder+"/", "../../cmd/...").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one program with its settings file and its log.
type process struct {
	t       *testing.T
	name    string
	program string
	folder  string
	cmd     *exec.Cmd
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(binaryFolder, p.program), "--settings", p.settings())
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Dir = log, log, p.folder
	assert.NilError(p.t, p.cmd.Start())
}

// checkSettings runs the program with --check.
func (p *process) checkSettings() (string, error) {
	out, err := exec.Command(filepath.Join(binaryFolder, p.program), "--settings", p.settings(), "--check").CombinedOutput()
	return string(out), err
}

func (p *process) log() string      { return filepath.Join(p.folder, p.name+".log") }
func (p *process) settings() string { return filepath.Join(p.folder, p.name+".yaml") }

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s))
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill() // the process may have ended
	_ = p.cmd.Wait()         // returns the signal as an error
	p.cmd = nil
}

// fleet consists of three control hosts, three routers in two data centres and
// one process with all stand-in servers.
type fleet struct {
	t                *testing.T
	folder           string
	ip               string
	usedAddresses    map[string]bool // returned by freeAddresses
	controlHosts     []*process
	routers          []*process
	standin          *process
	controlAddresses []string
	callerAddresses  []settings.Address
	executions       string
	seed             uint64
}

// fleetCount numbers the fleets of this test process to give each its own IP
// address.
var fleetCount atomic.Uint32

// freeAddresses returns free loopback addresses. It returns none of them twice,
// because the process that got an address may not listen on it yet. Each fleet
// has its own IP address in 127.0.0.0/8, because on 127.0.0.1 an outgoing
// connection can take a port before the process listens on it.
func (f *fleet) freeAddresses(count int) []string {
	t := f.t
	t.Helper()
	var addresses []string
	for len(addresses) < count {
		l, err := net.Listen("tcp", f.ip+":0")
		assert.NilError(t, err)
		defer l.Close()
		address := l.Addr().String()
		if f.usedAddresses[address] {
			continue
		}
		f.usedAddresses[address] = true
		addresses = append(addresses, address)
	}
	return addresses
}

// newFleet starts and configures a fleet and waits until each router answers.
// The processes are killed when the test ends.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir(), usedAddresses: map[string]bool{}}
	pid := os.Getpid()
	f.ip = fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, fleetCount.Add(1))
	f.executions = filepath.Join(f.folder, "executions")
	t.Cleanup(func() {
		for _, p := range f.processes() {
			p.kill()
		}
		if t.Failed() {
			f.printLogs()
		}
	})
	f.writeControl(f.freeAddresses(6))
	f.writeRouters(f.freeAddresses(15))
	for _, p := range f.controlHosts {
		p.start()
	}
	f.configure()
	f.standin.start()
	for _, p := range f.routers {
		p.start()
	}
	f.waitForAnswers()
	return f
}

// reportTo makes later failures fail the subtest t.
func (f *fleet) reportTo(t *testing.T) {
	f.t = t
	for _, p := range f.processes() {
		p.t = t
	}
}

func (f *fleet) processes() []*process {
	processes := append(append([]*process{}, f.controlHosts...), f.routers...)
	return append(processes, f.standin)
}

// process writes the settings file of a process and returns the process, not
// started.
func (f *fleet) process(name, program, text string) *process {
	f.t.Helper()
	p := &process{t: f.t, name: name, program: program, folder: f.folder}
	assert.NilError(f.t, os.WriteFile(p.settings(), []byte(text), 0o600))
	return p
}

func (f *fleet) writeControl(addresses []string) {
	hash := sha256.Sum256([]byte(sharedKey))
	f.controlAddresses = addresses[:3]
	members := ""
	for i, a := range f.controlAddresses {
		members += fmt.Sprintf("  - {id: %d, address: %q}\n", i+1, a)
	}
	for i, a := range f.controlAddresses {
		name := fmt.Sprintf("control-%d", i+1)
		f.controlHosts = append(f.controlHosts, f.process(name, "jackdawtrack-control", fmt.Sprintf(
			"id: %d\ndata_folder: %s\nlisten: %s\nadmin: %s\nmembers:\n%sfirst_operator: {name: op, key_hash: %s}\n",
			i+1, filepath.Join(f.folder, "data-"+name), a, addresses[3+i], members, hex.EncodeToString(hash[:]))))
	}
}

func (f *fleet) writeRouters(addresses []string) {
	seeds := fmt.Sprintf("[%q, %q, %q]", addresses[3], addresses[8], addresses[13])
	servers := "execution_file: " + f.executions + "\nservers:\n"
	for i, dc := range []string{"a", "a", "b"} {
		r := addresses[5*i : 5*i+5]
		f.callerAddresses = append(f.callerAddresses, settings.Address(r[0]))
		name := fmt.Sprintf("router-%d", i+1)
		f.routers = append(f.routers, f.process(name, "jackdawtrack-router", fmt.Sprintf(
			"name: %s\ndata_centre: %s\nlisten: {callers: %q, announce: %q, peers: %q, membership: %q, admin: %q}\ncontrol: [%q, %q, %q]\nseeds: %s\nmembership_key: %s\n",
			name, dc, r[0], r[1], r[2], r[3], r[4], f.controlAddresses[0], f.controlAddresses[1], f.controlAddresses[2], seeds, sharedKey)))
	}
	for dc, announce := range map[string]string{"a": fmt.Sprintf("[%q, %q]", addresses[1], addresses[6]), "b": fmt.Sprintf("[%q]", addresses[11])} {
		// Two servers per plain service, so that a retry finds another server.
		for _, s := range []string{"engine", "desk", "desk2"} {
			kind, pool, more := "service", "desk", ""
			if s == "engine" {
				kind, pool, more = "engine", "model", ", software_version: v1, keep_streams: true"
			}
			servers += fmt.Sprintf("  - {name: %s-%s, data_centre: %s, listen: \"127.0.0.1:0\", kind: %s, pool: %s, start_warm: true, announce: %s, credential: %s%s}\n",
				s, dc, dc, kind, pool, announce, sharedKey, more)
		}
	}
	f.standin = f.process("standin", "jackdawtrack-standin", servers)
}

// runCtl runs jackdawctl with the shared key on its standard input and returns
// its output.
func (f *fleet) runCtl(args ...string) (string, error) {
	key := filepath.Join(f.folder, "operator.key")
	if err := os.WriteFile(key, []byte(sharedKey), 0o600); err != nil {
		return "", err
	}
	allArgs := []string{"--operator", "op", "--key-file", key, "--timeout", "5s"}
	for _, c := range f.controlAddresses {
		allArgs = append(allArgs, "--control", c)
	}
	cmd := exec.Command(filepath.Join(binaryFolder, "jackdawctl"), append(allArgs, args...)...)
	cmd.Stdin = strings.NewReader(sharedKey + "\n")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// runCtlUntilSuccess repeats a jackdawctl command until it succeeds and returns
// its output.
func (f *fleet) runCtlUntilSuccess(args ...string) string {
	f.t.Helper()
	var out string
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		var err error
		if out, err = f.runCtl(args...); err != nil {
			return poll.Continue("%s: %s", strings.Join(args, " "), out)
		}
		return poll.Success()
	}, poll.WithTimeout(stateTimeout))
	return out
}

func (f *fleet) configure() {
	f.t.Helper()
	for _, command := range []string{
		"class set chat --first-token 2s --may-run-twice",
		"class set order --answer 5s --may-wait --max-wait 15s",
		"class set payment --answer 5s --may-wait --max-wait 15s",
		"class set status --answer 2s --may-run-twice",
		"workspace set shop --key-stdin",
		"credential set engine-* --key-stdin",
		"credential set desk* --key-stdin",
	} {
		f.runCtlUntilSuccess(strings.Fields(command)...)
	}
}

// experiment returns an experiment with its own seed, so that its requests
// differ from those of all other experiments.
func (f *fleet) experiment() *load.Experiment {
	f.seed++
	e := load.NewExperiment()
	e.Routers, e.ExecutionFile, e.Seed = f.callerAddresses, f.executions, f.seed
	e.Duration, e.Timeout = settings.Duration(loadDuration), settings.Duration(requestTimeout)
	e.Workspaces = []load.Workspace{{Name: "shop", Key: sharedKey}}
	shop := []string{"shop"}
	e.Streams = []load.Stream{
		{Name: "chat", Class: "chat", Workspaces: shop, Rate: 5, Model: "model", Stream: true, MaxTokens: 40},
		{Name: "order", Class: "order", Workspaces: shop, Rate: 4, Service: "desk", Path: "/orders", Keyed: true, Copies: 2, AtMostOnce: true},
		{Name: "payment", Class: "payment", Workspaces: shop, Rate: 4, Service: "desk", Path: "/payments", AtMostOnce: true},
		{Name: "status", Class: "status", Workspaces: shop, Rate: 4, Service: "desk", Path: "/status", Method: "GET"},
	}
	return e
}

func (f *fleet) runLoad(e *load.Experiment) *load.Report {
	f.t.Helper()
	assert.NilError(f.t, e.Validate())
	report, err := e.Run(context.Background(), logging.ForComponent("load"))
	assert.NilError(f.t, err)
	var text strings.Builder
	report.Print(&text)
	f.t.Logf("seed %d\n%s", e.Seed, text.String())
	return report
}

// waitForAnswers waits until each router answers one request of each stream.
func (f *fleet) waitForAnswers() {
	f.t.Helper()
	for _, router := range f.callerAddresses {
		poll.WaitOn(f.t, func(poll.LogT) poll.Result {
			e := f.experiment()
			e.Routers, e.ExecutionFile = []settings.Address{router}, ""
			e.Duration, e.Timeout = settings.Duration(time.Millisecond), settings.Duration(5*time.Second)
			for i := range e.Streams {
				e.Streams[i].Rate, e.Streams[i].Copies = 1000, 1
			}
			e.AllowBroken = true
			assert.NilError(f.t, e.Validate())
			report, err := e.Run(context.Background(), logging.ForComponent("load"))
			if sent, answered := report.Totals(); err != nil || answered < sent || sent == 0 {
				return poll.Continue("router at %s answers %d of %d: %v", router, answered, sent, err)
			}
			return poll.Success()
		}, poll.WithTimeout(stateTimeout), poll.WithDelay(200*time.Millisecond))
	}
}

// setFault returns a function that injects a fault into a stand-in server, whose
// address it takes from the log.
func (f *fleet) setFault(server string, kind standin.FaultKind, count int) func() {
	return f.sendFault(server, standin.Fault{Kind: kind, Count: count})
}

// sendFault is setFault with all members of a fault.
func (f *fleet) sendFault(server string, fault standin.Fault) func() {
	return func() {
		f.t.Helper()
		log, err := os.ReadFile(f.standin.log())
		assert.NilError(f.t, err)
		line := regexp.MustCompile(`serves \w+ \w+ on ([\d.:]+) server=` + server + `\n`).FindSubmatch(log)
		assert.Assert(f.t, line != nil, "no address of server %s in the log", server)
		body, err := json.Marshal(fault)
		assert.NilError(f.t, err)
		response, err := http.Post("http://"+string(line[1])+"/v1/faults", "application/json", bytes.NewReader(body))
		assert.NilError(f.t, err)
		response.Body.Close()
		assert.Equal(f.t, response.StatusCode, http.StatusNoContent)
	}
}

// waitForExecutions waits for this many more executions.
func (f *fleet) waitForExecutions(more int) {
	f.t.Helper()
	count := func() int {
		all, _ := standin.ReadExecutions(f.executions) // the file does not exist before the first execution
		return len(all)
	}
	before := count()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if now := count(); now < before+more {
			return poll.Continue("%d of %d more executions", now-before, more)
		}
		return poll.Success()
	}, poll.WithTimeout(stateTimeout))
}

func (f *fleet) printLogs() {
	for _, p := range f.processes() {
		text, _ := os.ReadFile(p.log()) // the file does not exist if the process never started
		f.t.Logf("%s:\n%s", p.name, text[max(0, len(text)-logTailBytes):])
	}
}
