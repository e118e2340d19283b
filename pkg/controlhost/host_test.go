package controlhost

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/internal/testport"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/cli"
	"jackdawtrack.example/jackdawtrack/pkg/control"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

const (
	testKey          = "the key of alice"
	testTickInterval = 50 * time.Millisecond
	waitLimit        = time.Minute // for events that must happen
)

func TestMain(m *testing.M) {
	if err := logging.SetupText("error", io.Discard); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// cluster is a group of control hosts in one process.
type cluster struct {
	t            *testing.T
	addresses    map[uint64]string
	folders      map[uint64]string
	hosts        map[uint64]*runningHost
	members      []Member
	heldProposal atomic.Pointer[string] // the response to the next applied proposal with this text is withheld
	heldAt       chan uint64            // id of the host that withholds it
	keyFile      string
}

type runningHost struct {
	host *Host
	stop context.CancelFunc
	done chan error
}

func startCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, addresses: map[uint64]string{}, folders: map[uint64]string{}, hosts: map[uint64]*runningHost{},
		heldAt: make(chan uint64, 1), keyFile: filepath.Join(t.TempDir(), "key"),
	}
	assert.NilError(t, os.WriteFile(c.keyFile, []byte(testKey), 0o600))
	listeners := map[uint64]net.Listener{}
	for id := uint64(1); id <= 3; id++ {
		listeners[id] = c.listen(id)
		c.members = append(c.members, Member{ID: id, Address: settings.Address(c.addresses[id])})
	}
	for id, l := range listeners {
		c.start(id, l, c.members)
	}
	t.Cleanup(func() {
		for id := range c.hosts {
			c.shutDown(id)
		}
	})
	c.waitFor("the first operator", func() bool {
		_, out, _ := c.runCLI("operator", "list")
		return strings.Contains(out, "alice")
	})
	return c
}

func (c *cluster) listen(id uint64) net.Listener {
	l, err := net.Listen("tcp", testport.IP(int(id))+":0") // outgoing connections take no port of it while the host is down
	assert.NilError(c.t, err)
	c.addresses[id] = l.Addr().String()
	c.folders[id] = filepath.Join(c.t.TempDir(), "data")
	return l
}

func (c *cluster) start(id uint64, l net.Listener, members []Member) {
	s := NewSettings()
	s.ID, s.DataFolder, s.Members = id, c.folders[id], members
	s.Listen, s.Admin = settings.Address(c.addresses[id]), "127.0.0.1:0"
	s.FirstOperator = FirstOperator{Name: "alice", KeyHash: hex.EncodeToString(workspace.HashKey(testKey))}
	assert.NilError(c.t, s.Validate())
	host, err := Open(s, Options{
		Listener:         l,
		ConfigureReplica: func(r *replica.Config) { r.Tick = testTickInterval },
		Log:              func(inner control.Log) control.Log { return &answerHoldingLog{Log: inner, cluster: c, id: id} },
	})
	assert.NilError(c.t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &runningHost{host: host, stop: stop, done: make(chan error, 1)}
	c.hosts[id] = r
	go func() { r.done <- host.Run(ctx) }()
}

// shutDown stops a host gracefully.
func (c *cluster) shutDown(id uint64) {
	r := c.hosts[id]
	delete(c.hosts, id)
	r.stop()
	assert.Check(c.t, <-r.done)
}

// kill closes all connections of a host and stops its replica.
func (c *cluster) kill(id uint64) {
	r := c.hosts[id]
	delete(c.hosts, id)
	r.host.grpc.Stop()
	_ = r.host.replica.Close()
	r.stop()
	<-r.done
}

// answerHoldingLog withholds the response to the held proposal until its call
// ends.
type answerHoldingLog struct {
	control.Log
	cluster *cluster
	id      uint64
}

func (l *answerHoldingLog) Propose(ctx context.Context, command []byte) (any, error) {
	out, err := l.Log.Propose(ctx, command)
	held := l.cluster.heldProposal.Load()
	// Hosts also propose ticks; compare the content so that they do not match.
	if err == nil && held != nil && bytes.Contains(command, []byte(*held)) && l.cluster.heldProposal.CompareAndSwap(held, nil) {
		l.cluster.heldAt <- l.id
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return out, err
}

func (c *cluster) client(router string) *controlclient.Client {
	config := controlclient.Config{Router: router, Incarnation: 1}
	for _, a := range c.addresses {
		config.Addresses = append(config.Addresses, a)
	}
	client, err := controlclient.New(config)
	assert.NilError(c.t, err)
	c.t.Cleanup(client.Close)
	return client
}

func (c *cluster) runCLI(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	global := []string{"--operator", "alice", "--key-file", c.keyFile, "--timeout", "30s"}
	for _, a := range c.addresses {
		global = append(global, "--control", a)
	}
	code = cli.Run(c.t.Context(), append(global, args...), cli.Streams{Out: &o, Err: &e}, "test")
	return code, o.String(), e.String()
}

func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !ok() {
		assert.Assert(c.t, time.Now().Before(deadline), "no %s within %s", what, waitLimit)
	}
}

func dataCentreSubmitRequest(id string, expected uint64, out bool) *apiv1.SubmitRequest {
	return &apiv1.SubmitRequest{
		CommandId: id, ExpectedRevision: expected, OperatorName: "alice", OperatorKey: testKey,
		Changes: []*apiv1.Change{catalog.DataCentreChange(datacentre.DataCentre{Name: "north", Out: out})},
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a command that runs twice, or whose first result is lost, when
// the leader is killed after it applied the command and before it responded
// (F6, F10), and against watchers that miss the change.
func TestLeaderKilledBetweenProposeAndAnswer(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	store := catalog.NewStore()
	changed, unsubscribe := store.Subscribe()
	defer unsubscribe()
	watching, endWatch := context.WithCancel(ctx)
	defer endWatch()
	router := c.client("r1")
	go func() { _ = router.Watch(watching, store) }()

	operator := c.client("")
	id := "c1"
	c.heldProposal.Store(&id)
	responses := make(chan *apiv1.SubmitResponse, 1)
	go func() {
		out, err := operator.Submit(ctx, dataCentreSubmitRequest(id, 1, true))
		assert.Check(t, err)
		responses <- out
	}()
	leader := <-c.heldAt
	c.kill(leader)
	out := <-responses
	assert.Equal(t, out.GetCode(), uint32(0), out.GetMessage())
	assert.Equal(t, out.GetRevision(), uint64(2))
	assert.Assert(t, out.GetRepeatedCommand())
	for store.Revision() < 2 {
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatal("the watcher missed the change")
		}
	}
	assert.Assert(t, store.Load().IsDataCentreOut("north"))

	c.restart(leader)
	again, err := c.client("").Submit(ctx, dataCentreSubmitRequest("c1", 1, true))
	assert.NilError(t, err)
	assert.Equal(t, again.GetRevision(), uint64(2))
	conflict, err := operator.Submit(ctx, dataCentreSubmitRequest("c2", 1, false))
	assert.NilError(t, err)
	assert.Equal(t, result.Code(conflict.GetCode()), result.RevisionConflict)
}

// restart starts a host again with its folder and address.
func (c *cluster) restart(id uint64) {
	l, err := net.Listen("tcp", c.addresses[id])
	assert.NilError(c.t, err)
	c.start(id, l, c.members)
}

func keyedBeginRequest(router string, attempt uint64) *apiv1.BeginRequest {
	sum := sha256.Sum256([]byte("order"))
	return &apiv1.BeginRequest{Workspace: "w", Key: "idempotency-key", Fingerprint: sum[:], Router: router, Incarnation: 1, Attempt: attempt}
}

// Guards against a keyed request that a second router may dispatch, or whose
// answer is lost, after the leader was killed and all hosts restarted (I7, F8,
// F10).
func TestKeyedRequestSurvivesLeaderAndRestart(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	firstClient, secondClient := c.client("r1"), c.client("r2")
	begin := func(client *controlclient.Client, in *apiv1.BeginRequest) *apiv1.BeginResponse {
		out, _, err := client.Begin(ctx, in)
		assert.NilError(t, err)
		return out
	}
	key := "idempotency-key"
	c.heldProposal.Store(&key)
	beginStates := make(chan apiv1.BeginState, 1)
	go func() {
		out, _, err := firstClient.Begin(ctx, keyedBeginRequest("r1", 1))
		assert.Check(t, err)
		beginStates <- out.GetState()
	}()
	leader := <-c.heldAt
	c.kill(leader)
	assert.Equal(t, <-beginStates, apiv1.BeginState_BEGIN_STARTED)
	assert.Equal(t, begin(secondClient, keyedBeginRequest("r2", 1)).GetState(), apiv1.BeginState_BEGIN_RUNNING)
	answer := &apiv1.StoredAnswer{Status: 201, Body: []byte("printed")}
	_, err := firstClient.Finish(ctx, &apiv1.FinishRequest{Begin: keyedBeginRequest("r1", 1), Answer: answer})
	assert.NilError(t, err)

	c.restart(leader)
	for id := uint64(1); id <= 3; id++ {
		c.shutDown(id)
	}
	for id := uint64(1); id <= 3; id++ {
		c.restart(id)
	}
	out := begin(secondClient, keyedBeginRequest("r2", 2))
	assert.Equal(t, out.GetState(), apiv1.BeginState_BEGIN_DONE)
	assert.Equal(t, string(out.GetAnswer().GetBody()), "printed")
}

// Guards against a replacement of a lost host that requires the lost host, and
// against losing the configuration when a second host is lost right after (F7).
func TestReplaceLostHostThenLoseAnother(t *testing.T) {
	c := startCluster(t)
	code, _, errs := c.runCLI("datacentre", "out", "north")
	assert.Equal(t, code, cli.ExitOK, errs)
	c.kill(3)
	l := c.listen(4)
	c.start(4, l, nil)
	code, out, errs := c.runCLI("member", "replace", "3", "4", c.addresses[4])
	assert.Equal(t, code, cli.ExitOK, out+errs)
	delete(c.addresses, 3)
	c.kill(2)
	delete(c.addresses, 2)
	code, out, errs = c.runCLI("datacentre", "list")
	assert.Equal(t, code, cli.ExitOK, errs)
	assert.Assert(t, strings.Contains(out, "true"), out)
	code, _, errs = c.runCLI("datacentre", "in", "north")
	assert.Equal(t, code, cli.ExitOK, errs)
}

// Guards against a host with a wiped disk that cannot rejoin under its id, or
// that rejoins without the configuration.
func TestWipedHostRejoinsUnderItsID(t *testing.T) {
	c := startCluster(t)
	code, _, errs := c.runCLI("datacentre", "out", "north")
	assert.Equal(t, code, cli.ExitOK, errs)
	c.kill(3)
	assert.NilError(t, os.RemoveAll(c.folders[3]))
	l, err := net.Listen("tcp", c.addresses[3])
	assert.NilError(t, err)
	c.start(3, l, nil)
	for _, memberArgs := range [][]string{{"add", "3", c.addresses[3]}, {"promote", "3"}} {
		code, _, errs = c.runCLI(append([]string{"member"}, memberArgs...)...)
		assert.Equal(t, code, cli.ExitOK, errs)
	}
	c.kill(2)
	delete(c.addresses, 2)
	code, out, errs := c.runCLI("datacentre", "list")
	assert.Equal(t, code, cli.ExitOK, errs)
	assert.Assert(t, strings.Contains(out, "true"), out)
}

// Guards against a host that reports ready although it cannot serve, and
// against a graceful shutdown that hangs on a watch stream.
func TestAdminAndGracefulShutdown(t *testing.T) {
	c := startCluster(t)
	ctx := testContext(t)
	store := catalog.NewStore()
	go func() { _ = c.client("r1").Watch(ctx, store) }()
	get := func(path string) (int, string) {
		in, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", c.hosts[1].host.admin.Addr(), path), nil)
		assert.NilError(t, err)
		answer, err := http.DefaultClient.Do(in)
		assert.NilError(t, err)
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		return answer.StatusCode, string(body)
	}
	c.waitFor("readiness", func() bool { code, _ := get("/readyz"); return code == http.StatusOK })
	code, body := get("/metrics")
	assert.Equal(t, code, http.StatusOK)
	assert.Assert(t, strings.Contains(body, "control.revision"), body)
	c.shutDown(2)
	c.shutDown(3)
	c.waitFor("loss of readiness without a majority", func() bool { code, _ := get("/readyz"); return code == http.StatusServiceUnavailable })
	code, _ = get("/healthz")
	assert.Equal(t, code, http.StatusOK)
	c.shutDown(1)
}

// Guards against a nonzero exit code when a host is stopped before its
// listeners serve.
func TestShutdownBeforeServeIsGraceful(t *testing.T) {
	c := &cluster{t: t, addresses: map[uint64]string{}, folders: map[uint64]string{}}
	l := c.listen(1)
	s := NewSettings()
	s.ID, s.DataFolder, s.Members = 1, c.folders[1], []Member{{ID: 1, Address: settings.Address(c.addresses[1])}}
	s.Listen, s.Admin = settings.Address(c.addresses[1]), "127.0.0.1:0"
	assert.NilError(t, s.Validate())
	host, err := Open(s, Options{Listener: l})
	assert.NilError(t, err)
	host.grpc.Stop() // reproduces the order of events: Stop before Serve
	ended, stop := context.WithCancel(context.Background())
	stop()
	assert.NilError(t, host.Run(ended))
}
