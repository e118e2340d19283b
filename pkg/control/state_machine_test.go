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

// testSeed makes the property tests reproducible; the flag -rapid.seed
// overrides it.
const testSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set(testSeed)
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	metrics.NewMeter().Stop() // starts the library's background goroutine outside any synctest bubble
	os.Exit(m.Run())
}

const (
	operatorName = "alice"
	operatorKey  = "alice's key"
)

func firstOperator() catalog.Operator {
	return catalog.Operator{Name: operatorName, KeyHash: workspace.HashKey(operatorKey)}
}

func mustEncodeCommand(t assert.TestingT, at int64, kind commandKind, m proto.Message) []byte {
	data, err := encodeCommand(command{timestamp: at, kind: kind, message: m})
	assert.NilError(t, err)
	return data
}

func setDataCentre(name string, out bool) *apiv1.Change {
	return catalog.DataCentreChange(datacentre.DataCentre{Name: name, Out: out})
}

func submitRequest(id string, expected uint64, changes ...*apiv1.Change) *apiv1.SubmitRequest {
	return &apiv1.SubmitRequest{CommandId: id, ExpectedRevision: expected, Changes: changes, OperatorName: operatorName, OperatorKey: operatorKey}
}

func beginRequest(workspace, key, content, router string, incarnation, attempt uint64) *apiv1.BeginRequest {
	sum := sha256.Sum256([]byte(content))
	return &apiv1.BeginRequest{Workspace: workspace, Key: key, Fingerprint: sum[:], Router: router, Incarnation: incarnation, Attempt: attempt}
}

func smallLimits() limits {
	return limits{
		records: 4, workspaceRecords: 2, answerBytes: 60, workspaceAnswerBytes: 30, sessions: 4, abortedAttempts: 5, commandResults: 6,
		recordTTL: 6 * time.Second, sessionTTL: 3 * time.Second, endedSessionTTL: 5 * time.Second,
		abortTTL: 6 * time.Second, fences: 3, fenceTTL: 6 * time.Second, advance: 2 * time.Second,
	}
}

// modelTest runs the state machine and the oracle side by side.
type modelTest struct {
	machine       *StateMachine
	oracle        *oracle
	index         uint64
	sent          []*apiv1.SubmitRequest
	begins        []*apiv1.BeginRequest
	highestNumber map[string]uint64 // highest fencing number granted per server
}

func newModelTest(t assert.TestingT) *modelTest {
	c := &modelTest{machine: newStateMachine(smallLimits()), oracle: newOracle(smallLimits()), highestNumber: map[string]uint64{}}
	c.apply(t, 0, kindBootstrap, catalog.OperatorToMessage(firstOperator()))
	c.oracle.revision = 1
	return c
}

func (c *modelTest) apply(t assert.TestingT, at int64, kind commandKind, m proto.Message) any {
	c.index++
	return c.machine.Apply(c.index, mustEncodeCommand(t, at, kind, m))
}

// timestamp draws a command timestamp, which may be in the past, and advances
// the oracle to it.
func (c *modelTest) timestamp(t *rapid.T) int64 {
	at := max(0, c.oracle.now+rapid.Int64Range(-1000, 3000).Draw(t, "time"))
	c.oracle.advance(at)
	return at
}

func (c *modelTest) submit(t *rapid.T, in *apiv1.SubmitRequest) {
	at := c.timestamp(t)
	got := c.apply(t, at, kindSubmit, hashOperatorKey(in)).(*apiv1.SubmitResponse)
	want := c.oracle.submit(in)
	c.oracle.expireSessions()
	assert.Equal(t, got.GetCode(), want.GetCode(), "%v", got)
	assert.Equal(t, got.GetRepeatedCommand(), want.GetRepeatedCommand())
	if got.GetCode() != uint32(result.CommandReused) {
		assert.Equal(t, got.GetRevision(), want.GetRevision())
	}
}

func (c *modelTest) drawSubmit(t *rapid.T) {
	in := submitRequest(fmt.Sprintf("c%d", len(c.sent)), 0)
	if rapid.Bool().Draw(t, "with expected revision") {
		in.ExpectedRevision = c.oracle.revision - uint64(rapid.IntRange(0, 1).Draw(t, "revisions behind"))
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

// resendCommand repeats a command, sometimes with other content under the same
// id. Commands whose result was evicted are left out: they would run again.
func (c *modelTest) resendCommand(t *rapid.T) {
	if len(c.oracle.commandResults) == 0 {
		t.Skip()
	}
	in := proto.CloneOf(rapid.SampledFrom(c.oracle.commandResults).Draw(t, "command").in)
	if rapid.IntRange(0, 3).Draw(t, "reuse id") == 0 {
		in.Changes = []*apiv1.Change{setDataCentre("west", true)}
	}
	c.submit(t, in)
}

func (c *modelTest) drawBegin(t *rapid.T) *apiv1.BeginRequest {
	if len(c.begins) > 0 && rapid.Bool().Draw(t, "repeat earlier begin") {
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

func (c *modelTest) begin(t *rapid.T) {
	in, at := c.drawBegin(t), c.timestamp(t)
	got := c.apply(t, at, kindBegin, in).(*apiv1.BeginResponse)
	state, code := c.oracle.begin(in)
	assert.Equal(t, got.GetState(), state)
	assert.Equal(t, got.GetCode(), uint32(code))
	if r := c.oracle.findRecord(in); state == apiv1.BeginState_BEGIN_DONE {
		assert.Assert(t, proto.Equal(got.GetAnswer(), r.answer), "%v, want %v", got.GetAnswer(), r.answer)
	}
	c.oracle.expireSessions()
}

func (c *modelTest) finish(t *rapid.T) {
	in := &apiv1.FinishRequest{Begin: c.drawBegin(t), Unknown: rapid.IntRange(0, 3).Draw(t, "unknown") == 0}
	if !in.GetUnknown() {
		in.Answer = &apiv1.StoredAnswer{Status: 200, Body: bytes.Repeat([]byte("x"), rapid.IntRange(0, 50).Draw(t, "size"))}
	}
	at := c.timestamp(t)
	got := c.apply(t, at, kindFinish, in).(*apiv1.FinishResponse)
	assert.Equal(t, got.GetCode(), uint32(c.oracle.finish(in)))
	c.oracle.expireSessions()
}

func (c *modelTest) abort(t *rapid.T) {
	in, at := c.drawBegin(t), c.timestamp(t)
	got := c.apply(t, at, kindAbort, &apiv1.AbortRequest{Begin: in}).(*apiv1.AbortResponse)
	assert.Equal(t, got.GetCode(), uint32(c.oracle.abort(in)))
	c.oracle.expireSessions()
}

func (c *modelTest) tick(t *rapid.T) {
	tick := command{timestamp: c.timestamp(t), kind: kindTick}
	for _, router := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 3, rapid.ID[int]).Draw(t, "renewed") {
		r := &apiv1.RenewSessionRequest{Router: fmt.Sprintf("r%d", router), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation")}
		tick.renewals = append(tick.renewals, r)
		c.oracle.renewSession(r.GetRouter(), r.GetIncarnation())
	}
	data, err := encodeCommand(tick)
	assert.NilError(t, err)
	c.index++
	c.machine.Apply(c.index, data)
	c.oracle.expireSessions()
}

// acquireFence draws a lease request whose observed record is the current one,
// an earlier one or one that never existed, with a next record that follows it.
func (c *modelTest) acquireFence(t *rapid.T) {
	server := fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "server"))
	observed := c.oracle.currentFence(server)
	if rapid.IntRange(0, 2).Draw(t, "stale") == 0 {
		observed.Number += rapid.Uint64Range(0, 1).Draw(t, "number") - 1
		observed.Renewal = rapid.Uint64Range(0, 2).Draw(t, "renewal")
	}
	router, incarnation := fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "router")), rapid.Uint64Range(1, 2).Draw(t, "incarnation")
	next := orders.LeaseRecord{Server: server, Number: observed.Number + 1, Holder: orders.Holder(router, incarnation)}
	if next.Holder == observed.Holder && rapid.Bool().Draw(t, "renew") {
		next = observed
		next.Renewal++
	}
	before, at := c.highestNumber[server], c.timestamp(t)
	got := c.apply(t, at, kindFence, &apiv1.AcquireFenceRequest{
		Observed: orders.LeaseRecordToMessage(observed), Next: orders.LeaseRecordToMessage(next), Router: router, Incarnation: incarnation,
	}).(*apiv1.AcquireFenceResponse)
	assert.Equal(t, result.Code(got.GetCode()), c.oracle.acquireFence(observed, next))
	assert.Equal(t, orders.LeaseRecordFromMessage(got.GetPresent()), c.oracle.currentFence(server))
	if got.GetCode() == 0 {
		if next.Number < before {
			t.Fatalf("fencing number %d of server %s decreased to %d", before, server, next.Number)
		}
		c.highestNumber[server] = next.Number
	}
	c.oracle.expireSessions()
}

// restoreFromSnapshot replaces the state machine with one restored from its
// snapshot.
func (c *modelTest) restoreFromSnapshot(t *rapid.T) {
	data, err := c.machine.Snapshot()
	assert.NilError(t, err)
	next := newStateMachine(smallLimits())
	assert.NilError(t, next.Restore(data))
	again, err := next.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, again), "restored state differs")
	c.machine = next
}

func (c *modelTest) checkState(t *rapid.T) {
	assert.Equal(t, c.machine.Now(), c.oracle.now)
	assert.Equal(t, c.machine.Catalog().Revision(), c.oracle.revision)
	assert.Equal(t, c.machine.RecordCount(), len(c.oracle.records))
	assert.Equal(t, len(c.machine.commandResults.byID), len(c.oracle.commandResults))
	assert.Equal(t, len(c.machine.fences.byServer), len(c.oracle.fences))
	assert.Equal(t, len(c.machine.abortedAttempts.expiresAt), len(c.oracle.abortedAttempts))
	for _, ch := range c.machine.Catalog().Items() {
		if ch.GetOperator() == nil {
			assert.Assert(t, proto.Equal(ch, c.oracle.items[itemKey(ch)]), "%v", ch)
		}
	}
	bytes := 0
	for _, u := range c.machine.records.byWorkspace {
		bytes += u.bytes
	}
	assert.Equal(t, bytes, c.machine.records.bytes)
}

// Guards against any difference between the state machine and the oracle: two
// commands that succeed with the same expected revision, a resent command that
// runs again, a keyed request that two attempts may dispatch, a record that is
// evicted early, an ended session with running records, and a restored state
// that behaves differently.
func TestStateMachineMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newModelTest(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": c.drawSubmit, "resend": c.resendCommand, "begin": c.begin, "begin2": c.begin, "finish": c.finish,
			"abort": c.abort, "tick": c.tick, "restart": c.restoreFromSnapshot, "fence": c.acquireFence, "": c.checkState,
		})
	})
}

// Guards against state that depends on the iteration order of a map, and
// against a panic on invalid commands.
func TestApplyIsDeterministicOnAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewStateMachine(), NewStateMachine()
		for i, data := range rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 40), 1, 20).Draw(t, "commands") {
			if len(data) > 2 {
				data[0], data[1] = commandVersion, data[1]%8
			}
			a.Apply(uint64(i), data)
			b.Apply(uint64(i), data)
		}
		snapshotA, err := a.Snapshot()
		assert.NilError(t, err)
		snapshotB, err := b.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(snapshotA, snapshotB))
	})
}

// Guards against a damaged snapshot that is accepted, that causes a panic, or
// that changes the state before it is rejected.
func TestRestoreRejectsDamagedSnapshot(t *testing.T) {
	m := NewStateMachine()
	m.Apply(1, mustEncodeCommand(t, 0, kindBootstrap, catalog.OperatorToMessage(firstOperator())))
	m.Apply(2, mustEncodeCommand(t, 0, kindBegin, beginRequest("w", "k", "a", "r", 1, 1)))
	data, err := m.Snapshot()
	assert.NilError(t, err)
	for n := range data {
		other := NewStateMachine()
		code, _ := result.CodeOf(other.Restore(data[:n]))
		assert.Equal(t, code, result.LogDamaged, "first %d of %d bytes", n, len(data))
		assert.Equal(t, other.Catalog().Revision(), uint64(0))
	}
}

// Guards against accepting a wrong operator key, a command without changes, and
// the removal of the last operator.
func TestSubmitRejectsInvalidCommands(t *testing.T) {
	m := NewStateMachine()
	m.Apply(1, mustEncodeCommand(t, 0, kindBootstrap, catalog.OperatorToMessage(firstOperator())))
	remove := catalog.OperatorChange(firstOperator())
	remove.Delete = true
	wrong := submitRequest("a", 0, setDataCentre("north", true))
	wrong.OperatorKey = "wrong"
	for name, c := range map[string]struct {
		in   *apiv1.SubmitRequest
		want result.Code
	}{
		"key":           {wrong, result.NotAuthorized},
		"no change":     {submitRequest("b", 0), result.InvalidCommand},
		"last operator": {submitRequest("c", 0, remove), result.InvalidCommand},
		"twice":         {submitRequest("f", 0, setDataCentre("north", true), setDataCentre("north", false)), result.InvalidCommand},
		"no id":         {submitRequest("", 0, setDataCentre("north", true)), result.InvalidCommand},
	} {
		out := m.Apply(2, mustEncodeCommand(t, 0, kindSubmit, hashOperatorKey(c.in))).(*apiv1.SubmitResponse)
		assert.Equal(t, result.Code(out.GetCode()), c.want, name)
	}
	assert.Equal(t, m.Catalog().Revision(), uint64(1))
	assert.Assert(t, !bytes.Contains(mustEncodeCommand(t, 0, kindSubmit, hashOperatorKey(submitRequest("g", 0))), []byte(operatorKey)), "the log contains the key")
}

// Guards against stored answers that exceed the limit of one workspace (F3) or
// of all workspaces, and against an answer that is dropped although there is
// room.
func TestStoredAnswersAreBounded(t *testing.T) {
	for name, bounds := range map[string]limits{
		"workspace": {answerBytes: 1000, workspaceAnswerBytes: 25},
		"all":       {answerBytes: 25, workspaceAnswerBytes: 1000},
	} {
		l := smallLimits()
		l.records, l.workspaceRecords, l.answerBytes, l.workspaceAnswerBytes = 10, 10, bounds.answerBytes, bounds.workspaceAnswerBytes
		m := newStateMachine(l)
		var bodyStored []bool
		for i, workspace := range []string{"w1", "w1", "w1", "w2"} {
			in := beginRequest(workspace, fmt.Sprintf("k%d", i), "a", "r", 1, uint64(i))
			m.Apply(1, mustEncodeCommand(t, 0, kindBegin, in))
			m.Apply(2, mustEncodeCommand(t, 0, kindFinish, &apiv1.FinishRequest{Begin: in, Answer: &apiv1.StoredAnswer{Body: make([]byte, 10)}}))
			out := m.Apply(3, mustEncodeCommand(t, 0, kindBegin, in)).(*apiv1.BeginResponse)
			assert.Equal(t, out.GetState(), apiv1.BeginState_BEGIN_DONE)
			bodyStored = append(bodyStored, !out.GetAnswer().GetTruncated())
		}
		assert.DeepEqual(t, bodyStored, []bool{true, true, false, name == "workspace"})
	}
}
