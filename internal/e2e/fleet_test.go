package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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
	generous    = 30 * time.Second // until a state is reached
	loadSpan    = 10 * time.Second
	callerLimit = 20 * time.Second
	secret      = "end-to-end-key" // of operators, callers, servers and routers
	logTail     = 2000             // bytes of each log printed after a failure
)

var binaries string // folder

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
	binaries = folder
	if out, err := exec.Command("go", "build", "-o", folder+"/", "../../cmd/...").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one binary with its settings file.
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
	p.cmd = exec.Command(filepath.Join(binaries, p.program), "--settings", p.settings())
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Dir = log, log, p.folder
	assert.NilError(p.t, p.cmd.Start())
}

// check runs the program with --check.
func (p *process) check() (string, error) {
	out, err := exec.Command(filepath.Join(binaries, p.program), "--settings", p.settings(), "--check").CombinedOutput()
	return string(out), err
}

func (p *process) log() string      { return filepath.Join(p.folder, p.name+".log") }
func (p *process) settings() string { return filepath.Join(p.folder, p.name+".yaml") }

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s))
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill() // it may have ended
	_ = p.cmd.Wait()         // killed processes report the signal
	p.cmd = nil
}

// fleet is three control hosts, three routers in two data centres and one
// process of stand-ins.
type fleet struct {
	t          *testing.T
	folder     string
	ip         string
	given      map[string]bool // addresses that ports returned
	control    []*process
	routers    []*process
	standin    *process
	controls   []string
	callers    []settings.Address
	executions string
	seed       uint64
}

// fleets numbers the fleets of this test process.
var fleets atomic.Uint32

// ports returns free loopback addresses, none of them twice: a process that was
// given one before may not have opened it yet. Each fleet has an IP address of its own in 127.0.0.0/8: on
// 127.0.0.1 an outgoing connection can take a port before its process opens
// it.
func (f *fleet) ports(count int) []string {
	t := f.t
	t.Helper()
	var all []string
	for len(all) < count {
		l, err := net.Listen("tcp", f.ip+":0")
		assert.NilError(t, err)
		defer l.Close()
		address := l.Addr().String()
		if f.given[address] {
			continue
		}
		f.given[address] = true
		all = append(all, address)
	}
	return all
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir(), given: map[string]bool{}}
	pid := os.Getpid()
	f.ip = fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, fleets.Add(1))
	f.executions = filepath.Join(f.folder, "executions")
	t.Cleanup(func() {
		for _, p := range f.all() {
			p.kill()
		}
		if t.Failed() {
			f.printLogs()
		}
	})
	f.writeControl(f.ports(6))
	f.writeRouters(f.ports(15))
	for _, p := range f.control {
		p.start()
	}
	f.configure()
	f.standin.start()
	for _, p := range f.routers {
		p.start()
	}
	f.awaitAnswers()
	return f
}

// under makes a subtest the one that fails.
func (f *fleet) under(t *testing.T) {
	f.t = t
	for _, p := range f.all() {
		p.t = t
	}
}

func (f *fleet) all() []*process {
	all := append(append([]*process{}, f.control...), f.routers...)
	return append(all, f.standin)
}

func (f *fleet) process(name, program, text string) *process {
	f.t.Helper()
	p := &process{t: f.t, name: name, program: program, folder: f.folder}
	assert.NilError(f.t, os.WriteFile(p.settings(), []byte(text), 0o600))
	return p
}

func (f *fleet) writeControl(addresses []string) {
	hash := sha256.Sum256([]byte(secret))
	f.controls = addresses[:3]
	members := ""
	for i, a := range f.controls {
		members += fmt.Sprintf("  - {id: %d, address: %q}\n", i+1, a)
	}
	for i, a := range f.controls {
		name := fmt.Sprintf("control-%d", i+1)
		f.control = append(f.control, f.process(name, "jackdawtrack-control", fmt.Sprintf(
			"id: %d\ndata_folder: %s\nlisten: %s\nadmin: %s\nmembers:\n%sfirst_operator: {name: op, key_hash: %s}\n",
			i+1, filepath.Join(f.folder, "data-"+name), a, addresses[3+i], members, hex.EncodeToString(hash[:]))))
	}
}

func (f *fleet) writeRouters(a []string) {
	seeds := fmt.Sprintf("[%q, %q, %q]", a[3], a[8], a[13])
	servers := "execution_file: " + f.executions + "\nservers:\n"
	for i, dc := range []string{"a", "a", "b"} {
		r := a[5*i : 5*i+5]
		f.callers = append(f.callers, settings.Address(r[0]))
		name := fmt.Sprintf("router-%d", i+1)
		f.routers = append(f.routers, f.process(name, "jackdawtrack-router", fmt.Sprintf(
			"name: %s\ndata_centre: %s\nlisten: {callers: %q, announce: %q, peers: %q, membership: %q, admin: %q}\ncontrol: [%q, %q, %q]\nseeds: %s\nmembership_key: %s\n",
			name, dc, r[0], r[1], r[2], r[3], r[4], f.controls[0], f.controls[1], f.controls[2], seeds, secret)))
	}
	for dc, announce := range map[string]string{"a": fmt.Sprintf("[%q, %q]", a[1], a[6]), "b": fmt.Sprintf("[%q]", a[11])} {
		// Two desks, so that a retry finds another server.
		for _, s := range []string{"engine", "desk", "desk2"} {
			kind, pool := "service", "desk"
			if s == "engine" {
				kind, pool = "engine", "model"
			}
			servers += fmt.Sprintf("  - {name: %s-%s, data_centre: %s, listen: \"127.0.0.1:0\", kind: %s, pool: %s, start_warm: true, announce: %s, credential: %s}\n",
				s, dc, dc, kind, pool, announce, secret)
		}
	}
	f.standin = f.process("standin", "jackdawtrack-standin", servers)
}

// ctl runs jackdawctl with the key on its standard input.
func (f *fleet) ctl(args ...string) (string, error) {
	key := filepath.Join(f.folder, "operator.key")
	if err := os.WriteFile(key, []byte(secret), 0o600); err != nil {
		return "", err
	}
	all := []string{"--operator", "op", "--key-file", key, "--timeout", "5s"}
	for _, c := range f.controls {
		all = append(all, "--control", c)
	}
	cmd := exec.Command(filepath.Join(binaries, "jackdawctl"), append(all, args...)...)
	cmd.Stdin = strings.NewReader(secret + "\n")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// await runs a command until it succeeds.
func (f *fleet) await(args ...string) string {
	f.t.Helper()
	var out string
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		var err error
		if out, err = f.ctl(args...); err != nil {
			return poll.Continue("%s: %s", strings.Join(args, " "), out)
		}
		return poll.Success()
	}, poll.WithTimeout(generous))
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
		f.await(strings.Fields(command)...)
	}
}

// experiment returns a run with its own seed, so that its requests differ from
// those of all other runs.
func (f *fleet) experiment() *load.Experiment {
	f.seed++
	e := load.New()
	e.Routers, e.Executions, e.Seed = f.callers, f.executions, f.seed
	e.Duration, e.Timeout = settings.Duration(loadSpan), settings.Duration(callerLimit)
	e.Workspaces = []load.Workspace{{Name: "shop", Key: secret}}
	shop := []string{"shop"}
	e.Streams = []load.Stream{
		{Name: "chat", Class: "chat", Workspaces: shop, Rate: 5, Model: "model", Stream: true, MaxTokens: 40},
		{Name: "order", Class: "order", Workspaces: shop, Rate: 4, Service: "desk", Path: "/orders", Keyed: true, Copies: 2, Once: true},
		{Name: "payment", Class: "payment", Workspaces: shop, Rate: 4, Service: "desk", Path: "/payments", Once: true},
		{Name: "status", Class: "status", Workspaces: shop, Rate: 4, Service: "desk", Path: "/status", Method: "GET"},
	}
	return e
}

func (f *fleet) run(e *load.Experiment) *load.Report {
	f.t.Helper()
	assert.NilError(f.t, e.Validate())
	report, err := e.Run(context.Background(), logging.For("load"))
	assert.NilError(f.t, err)
	var text strings.Builder
	report.Print(&text)
	f.t.Logf("seed %d\n%s", e.Seed, text.String())
	return report
}

// awaitAnswers waits until each router answers one request of each stream.
func (f *fleet) awaitAnswers() {
	f.t.Helper()
	for _, router := range f.callers {
		poll.WaitOn(f.t, func(poll.LogT) poll.Result {
			e := f.experiment()
			e.Routers, e.Executions = []settings.Address{router}, ""
			e.Duration, e.Timeout = settings.Duration(time.Millisecond), settings.Duration(5*time.Second)
			for i := range e.Streams {
				e.Streams[i].Rate, e.Streams[i].Copies = 1000, 1
			}
			e.MayBreak = true
			assert.NilError(f.t, e.Validate())
			report, err := e.Run(context.Background(), logging.For("load"))
			if sent, answered := report.Totals(); err != nil || answered < sent || sent == 0 {
				return poll.Continue("router at %s answers %d of %d: %v", router, answered, sent, err)
			}
			return poll.Success()
		}, poll.WithTimeout(generous), poll.WithDelay(200*time.Millisecond))
	}
}

// fault returns a function that sets a fault at a stand-in server.
func (f *fleet) fault(server string, kind standin.FaultKind, count int) func() {
	return func() {
		f.t.Helper()
		log, err := os.ReadFile(f.standin.log())
		assert.NilError(f.t, err)
		line := regexp.MustCompile(`serves \w+ \w+ on ([\d.:]+) server=` + server + `\n`).FindSubmatch(log)
		assert.Assert(f.t, line != nil, "no address of %s", server)
		body := fmt.Sprintf(`{"fault":%q,"count":%d}`, kind, count)
		answer, err := http.Post("http://"+string(line[1])+"/v1/faults", "application/json", strings.NewReader(body))
		assert.NilError(f.t, err)
		answer.Body.Close()
		assert.Equal(f.t, answer.StatusCode, http.StatusNoContent)
	}
}

// awaitExecutions waits until that many more requests ran.
func (f *fleet) awaitExecutions(more int) {
	f.t.Helper()
	count := func() int {
		all, _ := standin.ReadExecutions(f.executions) // absent before the first one
		return len(all)
	}
	before := count()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if now := count(); now < before+more {
			return poll.Continue("%d of %d more executions", now-before, more)
		}
		return poll.Success()
	}, poll.WithTimeout(generous))
}

func (f *fleet) printLogs() {
	for _, p := range f.all() {
		text, _ := os.ReadFile(p.log()) // absent if it never started
		f.t.Logf("%s:\n%s", p.name, text[max(0, len(text)-logTail):])
	}
}
