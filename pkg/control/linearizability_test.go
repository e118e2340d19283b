package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// historySeeds are the seeds of the injected faults, the same on each run.
var historySeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

const historyCheckTimeout = time.Minute

// history records operations for the linearizability check. A logical clock is
// sufficient: an operation that returned before another began has smaller
// times.
type history struct {
	mu         sync.Mutex
	clock      int64
	operations []porcupine.Operation
}

func (h *history) callTime() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// record adds a finished operation. An operation with an unknown outcome may
// take effect at any later time.
func (h *history) record(client int, callTime int64, in, out any, outcomeKnown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	returnedAt := h.clock
	if !outcomeKnown {
		returnedAt = 1 << 40
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: callTime, Output: out, Return: returnedAt})
}

func (h *history) check(t *testing.T, model porcupine.Model) {
	assert.Equal(t, porcupine.CheckOperationsTimeout(model, h.operations, historyCheckTimeout), porcupine.Ok, "%d operations", len(h.operations))
}

// runWithFaults runs clients concurrently against three servers with injected
// faults. Then it appends the commands that are still delayed, ends the faults
// and calls after.
func runWithFaults(t *testing.T, clients int, run func(g *cluster, client int, c *controlclient.Client, random *rand.Rand), after func(g *cluster)) {
	for _, seed := range historySeeds {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newCluster(t, 3)
				defer g.stopAll()
				g.bootstrap()
				g.random = rand.New(rand.NewPCG(seed, 0))
				var wait sync.WaitGroup
				for i := range clients {
					wait.Go(func() {
						c := g.client(fmt.Sprintf("r%d", i), 1, 2, 3)
						defer c.Close()
						run(g, i, c, rand.New(rand.NewPCG(seed, uint64(i+1))))
					})
				}
				wait.Wait()
				assert.Assert(t, g.faultCount > clients, "only %d faults", g.faultCount)
				g.endFaults()
				after(g)
			})
		})
	}
}

// operatorCall is an operation of an operator: a read if name is "", else a
// command that sets the state of a data centre.
type operatorCall struct {
	name     string
	out      bool
	expected uint64
}

// operatorOutcome is the outcome of an operatorCall. After a read, north and
// south hold the values.
type operatorOutcome struct {
	known    bool
	code     result.Code
	revision uint64
	north    bool
	south    bool
}

var operatorModel = porcupine.Model{
	Init: func() any { return operatorOutcome{revision: 1} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(operatorOutcome), input.(operatorCall), output.(operatorOutcome)
		if in.name == "" {
			return !out.known || (s.revision == out.revision && s.north == out.north && s.south == out.south), s
		}
		revisionMatches := in.expected == 0 || in.expected == s.revision
		if !revisionMatches {
			return !out.known || out.code == result.RevisionConflict, s
		}
		s.revision++
		if in.name == "north" {
			s.north = in.out
		} else {
			s.south = in.out
		}
		return !out.known || (out.code == result.OK && out.revision == s.revision), s
	},
}

// Guards against a history of concurrent operator commands that is not
// linearizable, under lost responses, duplicates, reordering and changes of
// leader (F6, F10).
func TestOperatorHistoryIsLinearizable(t *testing.T) {
	var mu sync.Mutex
	histories := map[*cluster]*history{}
	runWithFaults(t, 4, func(g *cluster, client int, c *controlclient.Client, random *rand.Rand) {
		mu.Lock()
		if histories[g] == nil {
			histories[g] = &history{}
		}
		h := histories[g]
		mu.Unlock()
		revision := uint64(1)
		for i := range 12 {
			in := operatorCall{}
			if random.IntN(4) > 0 {
				in = operatorCall{name: []string{"north", "south"}[random.IntN(2)], out: random.IntN(2) == 0}
				in.expected = []uint64{0, revision, revision}[random.IntN(3)]
			}
			callTime := h.callTime()
			out := runOperatorCall(c, fmt.Sprintf("c%d-%d", client, i), in)
			h.record(client, callTime, in, out, out.known)
			revision = max(revision, out.revision)
		}
	}, func(*cluster) {})
	for _, h := range histories {
		h.check(t, operatorModel)
	}
}

func runOperatorCall(c *controlclient.Client, id string, in operatorCall) operatorOutcome {
	ctx, cancel := timeoutContext(300 * time.Millisecond)
	defer cancel()
	if in.name == "" {
		s, err := c.Read(ctx)
		if err != nil {
			return operatorOutcome{}
		}
		now := catalog.Empty().WithChanges(s.GetRevision(), s.GetItems())
		return operatorOutcome{known: true, revision: s.GetRevision(), north: now.IsDataCentreOut("north"), south: now.IsDataCentreOut("south")}
	}
	r, err := c.Submit(ctx, submitRequest(id, in.expected, setDataCentre(in.name, in.out)))
	if err != nil {
		return operatorOutcome{}
	}
	return operatorOutcome{known: true, code: result.Code(r.GetCode()), revision: r.GetRevision()}
}

// keyedCall is one call for a keyed request.
type keyedCall struct {
	method  string
	key     string
	attempt string
}

type keyedOutcome struct {
	known  bool
	state  apiv1.BeginState
	answer string
}

// keyedState models the record of one key: owner is "" if there is no record,
// answer is the attempt that finished it, aborted holds the aborted attempts in
// sorted order.
type keyedState struct {
	owner, answer string
	aborted       []string
}

var keyedModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			byKey[op.Input.(keyedCall).key] = append(byKey[op.Input.(keyedCall).key], op)
		}
		var out [][]porcupine.Operation
		for _, keyCalls := range byKey {
			out = append(out, keyCalls)
		}
		return out
	},
	Init: func() any { return keyedState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(keyedState), input.(keyedCall), output.(keyedOutcome)
		want, next := applyKeyedCall(s, in)
		return !out.known || want == out, next
	},
	Equal: func(a, b any) bool {
		x, y := a.(keyedState), b.(keyedState)
		return x.owner == y.owner && x.answer == y.answer && slices.Equal(x.aborted, y.aborted)
	},
}

func applyKeyedCall(s keyedState, in keyedCall) (keyedOutcome, keyedState) {
	out := keyedOutcome{known: true}
	isOwner := s.owner == in.attempt
	switch in.method {
	case "begin":
		switch {
		case slices.Contains(s.aborted, in.attempt):
		case s.answer != "":
			out.state, out.answer = apiv1.BeginState_BEGIN_DONE, s.answer
		case s.owner == "" || isOwner:
			out.state, s.owner = apiv1.BeginState_BEGIN_STARTED, in.attempt
		default:
			out.state = apiv1.BeginState_BEGIN_RUNNING
		}
	case "finish":
		if isOwner && s.answer == "" {
			s.answer = in.attempt
		}
	case "abort":
		if isOwner && s.answer != "" {
			return out, s
		}
		if isOwner {
			s.owner = ""
		}
		if i, found := slices.BinarySearch(s.aborted, in.attempt); !found {
			s.aborted = slices.Insert(slices.Clone(s.aborted), i, in.attempt)
		}
	}
	return out, s
}

// keyedCaller sends keyed requests as a router does (design, section 3.8) and
// counts the dispatches.
type keyedCaller struct {
	client   *controlclient.Client
	name     string
	history  *history
	index    int
	dispatch func(key string)
}

func (r *keyedCaller) request(key string, attempt uint64, random *rand.Rand) {
	in := beginRequest("w", key, "a", r.name, 1, attempt)
	call := keyedCall{key: key, attempt: fmt.Sprintf("%s-%d", r.name, attempt)}
	out, repeated := r.callOnce(call, "begin", in)
	if !out.known || (repeated && out.state != apiv1.BeginState_BEGIN_STARTED) || (out.state == apiv1.BeginState_BEGIN_STARTED && random.IntN(3) == 0) {
		r.callUntilKnown(call, "abort", in) // aborted before the dispatch
		return
	}
	if out.state != apiv1.BeginState_BEGIN_STARTED {
		return
	}
	r.dispatch(key)
	r.callUntilKnown(call, "finish", in)
}

func (r *keyedCaller) callUntilKnown(op keyedCall, method string, in *apiv1.BeginRequest) {
	for {
		if out, _ := r.callOnce(op, method, in); out.known {
			return
		}
	}
}

func (r *keyedCaller) callOnce(op keyedCall, method string, in *apiv1.BeginRequest) (out keyedOutcome, repeated bool) {
	ctx, cancel := timeoutContext(100 * time.Millisecond)
	defer cancel()
	op.method = method
	callTime := r.history.callTime()
	var err error
	switch method {
	case "begin":
		var b *apiv1.BeginResponse
		b, repeated, err = r.client.Begin(ctx, in)
		out.state, out.answer = b.GetState(), string(b.GetAnswer().GetBody())
	case "finish":
		_, err = r.client.Finish(ctx, &apiv1.FinishRequest{Begin: in, Answer: &apiv1.StoredAnswer{Status: 200, Body: []byte(op.attempt)}})
	case "abort":
		_, err = r.client.Abort(ctx, &apiv1.AbortRequest{Begin: in})
	}
	out.known = err == nil
	r.history.record(r.index, callTime, op, out, out.known)
	if out.known && repeated && out.state != apiv1.BeginState_BEGIN_STARTED {
		// An earlier call may take effect later.
		r.history.record(r.index, callTime, op, keyedOutcome{}, false)
	}
	return out, repeated
}

const keysOfHistory = 6

// Guards against a keyed request that is dispatched twice (I7), against a
// history of keyed requests that is not linearizable, and against a key that
// stays in use without a request, under lost responses, duplicates, reordering
// and changes of leader (F10).
func TestKeyedRequestHistoryIsLinearizable(t *testing.T) {
	var mu sync.Mutex
	histories := map[*cluster]*history{}
	dispatched := map[*cluster]map[string]int{}
	runWithFaults(t, 4, func(g *cluster, client int, c *controlclient.Client, random *rand.Rand) {
		mu.Lock()
		if histories[g] == nil {
			histories[g], dispatched[g] = &history{}, map[string]int{}
		}
		r := &keyedCaller{client: c, name: fmt.Sprintf("r%d", client), index: client, history: histories[g], dispatch: func(key string) {
			mu.Lock()
			defer mu.Unlock()
			dispatched[g][key]++
		}}
		mu.Unlock()
		for attempt := range uint64(2 * keysOfHistory) {
			r.request(fmt.Sprintf("k%d", attempt/2), attempt, random)
		}
	}, func(g *cluster) {
		c := g.client("last", 1, 2, 3)
		defer c.Close()
		ctx, cancel := timeoutContext(time.Minute)
		defer cancel()
		for i := range keysOfHistory {
			out, _, err := c.Begin(ctx, beginRequest("w", fmt.Sprintf("k%d", i), "a", "last", 1, uint64(i)))
			assert.NilError(t, err)
			assert.Assert(t, out.State == apiv1.BeginState_BEGIN_STARTED || out.State == apiv1.BeginState_BEGIN_DONE, "key k%d: %v", i, out.State)
		}
	})
	total := 0
	for g, h := range histories {
		for key, n := range dispatched[g] {
			assert.Equal(t, n, 1, "key %s was dispatched %d times", key, n)
			total++
		}
		h.check(t, keyedModel)
	}
	assert.Assert(t, total > 0)
}
