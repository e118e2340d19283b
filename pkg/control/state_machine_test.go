package control

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/datacentre"
	"jackdawtrack.example/jackdawtrack/pkg/orders"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// testSeed makes every run of the stateful tests the same; -rapid.seed
// replaces it.
const testSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set(testSeed)
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	metrics.NewMeter().Stop() // starts the library's own goroutine outside of any synctest bubble
	os.Exit(m.Run())
}

const (
	opName = "alice"
	opKey  = "alice's key"
)

func firstOperator() catalog.Operator {
	return catalog.Operator{Name: opName, KeyHash: workspace.HashKey(opKey)}
}

func encode(t assert.TestingT, at int64, kind commandKind, m proto.Message) []byte {
	data, err := encodeCommand(command{time: at, kind: kind, message: m})
	assert.NilError(t, err)
	return data
}

func setDataCentre(name string, out bool) *apiv1.Change {
	return catalog.DataCentreChange(datacentre.DataCentre{Name: name, Out: out})
}

func submitOf(id string, expected uint64, changes ...*apiv1.Change) *apiv1.SubmitRequest {
	return &apiv1.SubmitRequest{CommandId: id, ExpectedRevision: expected, Changes: changes, OperatorName: opName, OperatorKey: opKey}
}

func beginRequest(workspace, key, content, router string, incarnation, attempt uint64) *apiv1.BeginRequest {
	sum := sha256.Sum256([]byte(content))
	return &apiv1.BeginRequest{Workspace: workspace, Key: key, Fingerprint: sum[:], Router: router, Incarnation: incarnation, Attempt: attempt}
}

func smallLimits() limits {
	return limits{
		records: 4, workspaceRecords: 2, answers: 60, workspaceAnswers: 30, sessions: 4, aborts: 5, results: 6,
		recordTTL: 6 * time.Second, sessionTTL: 3 * time.Second, sessionMemory: 5 * time.Second,
		abortMemory: 6 * time.Second, fences: 3, fenceMemory: 6 * time.Second, step: 2 * time.Second,
	}
}

// comparison runs the machine and the oracle side by side.
type comparison struct {
	machine *Machine
	oracle  *oracle
	index   uint64
	sent    []*apiv1.SubmitRequest
	begins  []*apiv1.BeginRequest
	highest map[string]uint64 // greatest fencing number that each server was given
}

func newComparison(t assert.TestingT) *comparison {
	c := &comparison{machine: newMachine(smallLimits()), oracle: newOracle(smallLimits()), highest: map[string]uint64{}}
	c.apply(t, 0, kindBootstrap, catalog.OperatorTo(firstOperator()))
	c.oracle.revision = 1
	return c
}

func (c *comparison) apply(t assert.TestingT, at int64, kind commandKind, m proto.Message) any {
	c.index++
	return c.machine.Apply(c.index, encode(t, at, kind, m))
}

// time draws a timestamp that may be old, and moves the oracle.
func (c *comparison) time(t *rapid.T) int64 {
	at := max(0, c.oracle.now+rapid.Int64Range(-1000, 3000).Draw(t, "time"))
	c.oracle.step(at)
	return at
}

func (c *comparison) submit(t *rapid.T, in *apiv1.SubmitRequest) {
	at := c.time(t)
	got := c.apply(t, at, kindSubmit, sealKey(in)).(*apiv1.SubmitResponse)
	want := c.oracle.submit(in)
	c.oracle.end()
	assert.Equal(t, got.GetCode(), want.GetCode(), "%v", got)
	assert.Equal(t, got.GetRepeatedCommand(), want.GetRepeatedCommand())
	if got.GetCode() != uint32(result.CommandReused) {
		assert.Equal(t, got.GetRevision(), want.GetRevision())
	}
}

func (c *comparison) drawSubmit(t *rapid.T) {
	in := submitOf(fmt.Sprintf("c%d", len(c.sent)), 0)
	if rapid.Bool().Draw(t, "guarded") {
		in.ExpectedRevision = c.oracle.revision - uint64(rapid.IntRange(0, 1).Draw(t, "behind"))
	}
	name := rapid.SampledFrom([]string{"north", "south"}).Draw(t, "name")
	ch := setDataCentre(name, rapid.Bool().Draw(t, "out"))
	ch.Delete = rapid.IntRange(0, 3).Draw(t, "delete") == 0
	if rapid.IntRange(0, 2).Draw(t, "departure") == 0 {
		ch = catalog.DepartureChange(name)
	}
	in.Changes = []*apiv1.Change{ch}
	c.sent = append(c.sent, in)
	c.submit(t, in)
}

// resend repeats a command, sometimes with other content under its id. One
// whose result is no longer kept is left out: it would run again.
func (c *comparison) resend(t *rapid.T) {
	if len(c.oracle.results) == 0 {
		t.Skip()
	}
	in := proto.CloneOf(rapid.SampledFrom(c.oracle.results).Draw(t, "command").in)
	if rapid.IntRange(0, 3).Draw(t, "reuse") == 0 {
		in.Changes = []*apiv1.Change{setDataCentre("west", true)}
	}
	c.submit(t, in)
}

func (c *comparison) drawBegin(t *rapid.T) *apiv1.BeginRequest {
	if len(c.begins) > 0 && rapid.Bool().Draw(t, "earlier") {
		return rapid.SampledFrom(c.begins).Draw(t, "begin")
	}
	in := beginRequest(
		rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "workspace"),
		fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key")),
		rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "content"),
		fmt.Sprintf("r%d", rapid.IntRange(0, 4).Draw(t, "router")),
		rapid.Uint64Range(1, 3).Draw(t, "incarnation"), uint64(len(c.begins)))
	c.begins = append(c.begins, in)
	return in
}

func (c *comparison) begin(t *rapid.T) {
	in, at := c.drawBegin(t), c.time(t)
	got := c.apply(t, at, kindBegin, in).(*apiv1.BeginResponse)
	state, code := c.oracle.begin(in)
	assert.Equal(t, got.GetState(), state)
	assert.Equal(t, got.GetCode(), uint32(code))
	if r := c.oracle.find(in); state == apiv1.BeginState_BEGIN_DONE {
		assert.Assert(t, proto.Equal(got.GetAnswer(), r.answer), "%v, want %v", got.GetAnswer(), r.answer)
	}
	c.oracle.end()
}

func (c *comparison) finish(t *rapid.T) {
	in := &apiv1.FinishRequest{Begin: c.drawBegin(t), Unknown: rapid.IntRange(0, 3).Draw(t, "unknown") == 0}
	if !in.GetUnknown() {
		in.Answer = &apiv1.StoredAnswer{Status: 200, Body: bytes.Repeat([]byte("x"), rapid.IntRange(0, 50).Draw(t, "size"))}
	}
	at := c.time(t)
	got := c.apply(t, at, kindFinish, in).(*apiv1.FinishResponse)
	assert.Equal(t, got.GetCode(), uint32(c.oracle.finish(in)))
	c.oracle.end()
}

func (c *comparison) abort(t *rapid.T) {
	in, at := c.drawBegin(t), c.time(t)
	got := c.apply(t, at, kindAbort, &apiv1.AbortRequest{Begin: in}).(*apiv1.AbortResponse)
	assert.Equal(t, got.GetCode(), uint32(c.oracle.abort(in)))
	c.oracle.end()
}

func (c *comparison) tick(t *rapid.T) {
	tick := command{time: c.time(t), kind: kindTick}
	for _, router := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 3, rapid.ID[int]).Draw(t, "renewed") {
		r := &apiv1.RenewSessionRequest{Router: fmt.Sprintf("r%d", router), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation")}
		tick.renewed = append(tick.renewed, r)
		c.oracle.touch(r.GetRouter(), r.GetIncarnation())
	}
	data, err := encodeCommand(tick)
	assert.NilError(t, err)
	c.index++
	c.machine.Apply(c.index, data)
	c.oracle.end()
}

// acquire draws a fence request with the present record, an earlier one, or one
// that was never there, and a next record that follows it.
func (c *comparison) acquire(t *rapid.T) {
	server := fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "server"))
	observed := c.oracle.presentFence(server)
	if rapid.IntRange(0, 2).Draw(t, "stale") == 0 {
		observed.Number += rapid.Uint64Range(0, 1).Draw(t, "number") - 1
		observed.Renewal = rapid.Uint64Range(0, 2).Draw(t, "renewal")
	}
	router, incarnation := fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "router")), rapid.Uint64Range(1, 2).Draw(t, "incarnation")
	next := orders.Record{Server: server, Number: observed.Number + 1, Holder: orders.Holder(router, incarnation)}
	if next.Holder == observed.Holder && rapid.Bool().Draw(t, "renew") {
		next = observed
		next.Renewal++
	}
	before, at := c.highest[server], c.time(t)
	got := c.apply(t, at, kindFence, &apiv1.AcquireFenceRequest{
		Observed: orders.ToFence(observed), Next: orders.ToFence(next), Router: router, Incarnation: incarnation,
	}).(*apiv1.AcquireFenceResponse)
	assert.Equal(t, result.Code(got.GetCode()), c.oracle.acquire(observed, next))
	assert.Equal(t, orders.FromFence(got.GetPresent()), c.oracle.presentFence(server))
	if got.GetCode() == 0 {
		if next.Number < before {
			t.Fatalf("number %d of server %s fell to %d", before, server, next.Number)
		}
		c.highest[server] = next.Number
	}
	c.oracle.end()
}

// restart replaces the machine by one that was restored from its snapshot.
func (c *comparison) restart(t *rapid.T) {
	data, err := c.machine.Snapshot()
	assert.NilError(t, err)
	next := newMachine(smallLimits())
	assert.NilError(t, next.Restore(data))
	again, err := next.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, again), "a restored machine differs")
	c.machine = next
}

func (c *comparison) check(t *rapid.T) {
	assert.Equal(t, c.machine.Now(), c.oracle.now)
	assert.Equal(t, c.machine.Catalog().Revision(), c.oracle.revision)
	assert.Equal(t, c.machine.Records(), len(c.oracle.records))
	assert.Equal(t, len(c.machine.results.byID), len(c.oracle.results))
	assert.Equal(t, len(c.machine.fences.byServer), len(c.oracle.fences))
	assert.Equal(t, len(c.machine.aborts.known), len(c.oracle.aborts))
	for _, ch := range c.machine.Catalog().Items() {
		if ch.GetOperator() == nil {
			assert.Assert(t, proto.Equal(ch, c.oracle.items[itemID(ch)]), "%v", ch)
		}
	}
	bytes := 0
	for _, u := range c.machine.records.byWorkspace {
		bytes += u.bytes
	}
	assert.Equal(t, bytes, c.machine.records.bytes)
}

// Guards against any difference between the machine and the oracle: a race of
// commands with two winners, a resent command that runs again, a keyed request
// that two attempts may dispatch, a record evicted early, an expired session
// that leaves a record running, and a restored machine that goes on otherwise.
func TestMachineAgreesWithOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newComparison(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": c.drawSubmit, "resend": c.resend, "begin": c.begin, "begin2": c.begin, "finish": c.finish,
			"abort": c.abort, "tick": c.tick, "restart": c.restart, "fence": c.acquire, "": c.check,
		})
	})
}

// Guards against members that differ because of the order of a map, and
// against a panic on bytes that are no command.
func TestApplyIsDeterministicOnAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewMachine(), NewMachine()
		for i, data := range rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 40), 1, 20).Draw(t, "commands") {
			if len(data) > 2 {
				data[0], data[1] = commandVersion, data[1]%8
			}
			a.Apply(uint64(i), data)
			b.Apply(uint64(i), data)
		}
		one, err := a.Snapshot()
		assert.NilError(t, err)
		two, err := b.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(one, two))
	})
}

// Guards against a damaged snapshot that is taken for a whole one or that
// panics, and against one that changes the machine before it is refused.
func TestRestoreRefusesDamagedSnapshot(t *testing.T) {
	m := NewMachine()
	m.Apply(1, encode(t, 0, kindBootstrap, catalog.OperatorTo(firstOperator())))
	m.Apply(2, encode(t, 0, kindBegin, beginRequest("w", "k", "a", "r", 1, 1)))
	data, err := m.Snapshot()
	assert.NilError(t, err)
	for n := range data {
		other := NewMachine()
		code, _ := result.CodeOf(other.Restore(data[:n]))
		assert.Equal(t, code, result.LogDamaged, "first %d of %d bytes", n, len(data))
		assert.Equal(t, other.Catalog().Revision(), uint64(0))
	}
}

// Guards against a wrong operator key, a command without changes and
// the removal of the last operator.
func TestSubmitRefusals(t *testing.T) {
	m := NewMachine()
	m.Apply(1, encode(t, 0, kindBootstrap, catalog.OperatorTo(firstOperator())))
	remove := catalog.OperatorChange(firstOperator())
	remove.Delete = true
	wrong := submitOf("a", 0, setDataCentre("north", true))
	wrong.OperatorKey = "wrong"
	for name, c := range map[string]struct {
		in   *apiv1.SubmitRequest
		want result.Code
	}{
		"key":           {wrong, result.NotAuthorized},
		"no change":     {submitOf("b", 0), result.InvalidCommand},
		"last operator": {submitOf("c", 0, remove), result.InvalidCommand},
		"twice":         {submitOf("f", 0, setDataCentre("north", true), setDataCentre("north", false)), result.InvalidCommand},
		"no id":         {submitOf("", 0, setDataCentre("north", true)), result.InvalidCommand},
	} {
		out := m.Apply(2, encode(t, 0, kindSubmit, sealKey(c.in))).(*apiv1.SubmitResponse)
		assert.Equal(t, result.Code(out.GetCode()), c.want, name)
	}
	assert.Equal(t, m.Catalog().Revision(), uint64(1))
	assert.Assert(t, !bytes.Contains(encode(t, 0, kindSubmit, sealKey(submitOf("g", 0))), []byte(opKey)), "the key is in the log")
}

// Guards against stored answers that together outgrow the memory of a control
// host, of one workspace (F3) or of all, and against an answer that is dropped
// while there is room.
func TestAnswersStayWithinTheirBounds(t *testing.T) {
	for name, bound := range map[string]limits{
		"workspace": {answers: 1000, workspaceAnswers: 25},
		"all":       {answers: 25, workspaceAnswers: 1000},
	} {
		l := smallLimits()
		l.records, l.workspaceRecords, l.answers, l.workspaceAnswers = 10, 10, bound.answers, bound.workspaceAnswers
		m := newMachine(l)
		var kept []bool
		for i, workspace := range []string{"w1", "w1", "w1", "w2"} {
			in := beginRequest(workspace, fmt.Sprintf("k%d", i), "a", "r", 1, uint64(i))
			m.Apply(1, encode(t, 0, kindBegin, in))
			m.Apply(2, encode(t, 0, kindFinish, &apiv1.FinishRequest{Begin: in, Answer: &apiv1.StoredAnswer{Body: make([]byte, 10)}}))
			out := m.Apply(3, encode(t, 0, kindBegin, in)).(*apiv1.BeginResponse)
			assert.Equal(t, out.GetState(), apiv1.BeginState_BEGIN_DONE)
			kept = append(kept, !out.GetAnswer().GetTruncated())
		}
		assert.DeepEqual(t, kept, []bool{true, true, false, name == "workspace"})
	}
}
