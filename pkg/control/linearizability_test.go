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

// historySeeds makes the faults of the history tests the same on each run.
var historySeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

const historyCheckLimit = time.Minute

// history records operations in the order of their calls. A logical clock is
// enough: an operation that returned before another began has lesser times.
type history struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
}

func (h *history) call() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// done adds an operation. One whose outcome is not known may take effect at
// any later time.
func (h *history) done(client int, call int64, in, out any, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	end := h.clock
	if !known {
		end = 1 << 40
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

func (h *history) check(t *testing.T, model porcupine.Model) {
	assert.Equal(t, porcupine.CheckOperationsTimeout(model, h.ops, historyCheckLimit), porcupine.Ok, "%d operations", len(h.ops))
}

// withFaultyGroup runs clients in parallel over three faulty servers.
func withFaultyGroup(t *testing.T, clients int, run func(g *group, client int, c *controlclient.Client, random *rand.Rand)) {
	for _, seed := range historySeeds {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 3)
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
				assert.Assert(t, g.faults > clients, "only %d faults", g.faults)
			})
		})
	}
}

// operation of an operator; read if name is "".
type operation struct {
	name     string
	out      bool
	expected uint64
}

// outcome of an operation. out holds the values after a read.
type outcome struct {
	known    bool
	code     result.Code
	revision uint64
	north    bool
	south    bool
}

var operatorModel = porcupine.Model{
	Init: func() any { return outcome{revision: 1} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(outcome), input.(operation), output.(outcome)
		if in.name == "" {
			return !out.known || (s.revision == out.revision && s.north == out.north && s.south == out.south), s
		}
		wins := in.expected == 0 || in.expected == s.revision
		if !wins {
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

// Guards against a history of racing operators that no order of their commands
// explains, under lost answers, duplicates, reordering and changes of leader
// (F6, F10).
func TestOperatorHistoryIsLinearizable(t *testing.T) {
	var mu sync.Mutex
	histories := map[*group]*history{}
	withFaultyGroup(t, 4, func(g *group, client int, c *controlclient.Client, random *rand.Rand) {
		mu.Lock()
		if histories[g] == nil {
			histories[g] = &history{}
		}
		h := histories[g]
		mu.Unlock()
		revision := uint64(1)
		for i := range 12 {
			in := operation{}
			if random.IntN(4) > 0 {
				in = operation{name: []string{"north", "south"}[random.IntN(2)], out: random.IntN(2) == 0}
				in.expected = []uint64{0, revision, revision}[random.IntN(3)]
			}
			call := h.call()
			out := operate(c, fmt.Sprintf("c%d-%d", client, i), in)
			h.done(client, call, in, out, out.known)
			revision = max(revision, out.revision)
		}
	})
	for _, h := range histories {
		h.check(t, operatorModel)
	}
}

func operate(c *controlclient.Client, id string, in operation) outcome {
	ctx, cancel := within(300 * time.Millisecond)
	defer cancel()
	if in.name == "" {
		s, err := c.Read(ctx)
		if err != nil {
			return outcome{}
		}
		now := catalog.Empty().With(s.GetRevision(), s.GetItems())
		return outcome{known: true, revision: s.GetRevision(), north: now.DataCentreOut("north"), south: now.DataCentreOut("south")}
	}
	r, err := c.Submit(ctx, submitOf(id, in.expected, setDataCentre(in.name, in.out)))
	if err != nil {
		return outcome{}
	}
	return outcome{known: true, code: result.Code(r.GetCode()), revision: r.GetRevision()}
}

// keyedOp is one call about a keyed request.
type keyedOp struct {
	verb    string
	key     string
	attempt string
}

type keyedOutcome struct {
	known  bool
	state  apiv1.BeginState
	answer string
}

// keyedState is the record of one key: owner is "" without a record, answer
// the attempt that finished it. aborted lists attempts in order.
type keyedState struct {
	owner, answer string
	aborted       []string
}

var keyedModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range ops {
			byKey[op.Input.(keyedOp).key] = append(byKey[op.Input.(keyedOp).key], op)
		}
		var out [][]porcupine.Operation
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Init: func() any { return keyedState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(keyedState), input.(keyedOp), output.(keyedOutcome)
		want, next := keyedStep(s, in)
		return !out.known || want == out, next
	},
	Equal: func(a, b any) bool {
		x, y := a.(keyedState), b.(keyedState)
		return x.owner == y.owner && x.answer == y.answer && slices.Equal(x.aborted, y.aborted)
	},
}

func keyedStep(s keyedState, in keyedOp) (keyedOutcome, keyedState) {
	out := keyedOutcome{known: true}
	own := s.owner == in.attempt
	switch in.verb {
	case "begin":
		switch {
		case slices.Contains(s.aborted, in.attempt):
		case s.answer != "":
			out.state, out.answer = apiv1.BeginState_BEGIN_DONE, s.answer
		case s.owner == "" || own:
			out.state, s.owner = apiv1.BeginState_BEGIN_STARTED, in.attempt
		default:
			out.state = apiv1.BeginState_BEGIN_RUNNING
		}
	case "finish":
		if own && s.answer == "" {
			s.answer = in.attempt
		}
	case "abort":
		if own && s.answer != "" {
			return out, s
		}
		if own {
			s.owner = ""
		}
		if i, found := slices.BinarySearch(s.aborted, in.attempt); !found {
			s.aborted = slices.Insert(slices.Clone(s.aborted), i, in.attempt)
		}
	}
	return out, s
}

// router follows the rules of section 3.8 for one keyed request after the
// other and counts what it dispatches.
type router struct {
	client   *controlclient.Client
	name     string
	history  *history
	index    int
	dispatch func(key string)
}

func (r *router) request(key string, attempt uint64, random *rand.Rand) {
	in := beginRequest("w", key, "a", r.name, 1, attempt)
	op := keyedOp{key: key, attempt: fmt.Sprintf("%s-%d", r.name, attempt)}
	out := r.do(op, "begin", in)
	if !out.known || (out.state == apiv1.BeginState_BEGIN_STARTED && random.IntN(3) == 0) {
		r.until(op, "abort", in) // it gave up before the dispatch
		return
	}
	if out.state != apiv1.BeginState_BEGIN_STARTED {
		return
	}
	r.dispatch(key)
	r.until(op, "finish", in)
}

func (r *router) until(op keyedOp, verb string, in *apiv1.BeginRequest) {
	for !r.do(op, verb, in).known {
	}
}

func (r *router) do(op keyedOp, verb string, in *apiv1.BeginRequest) keyedOutcome {
	ctx, cancel := within(100 * time.Millisecond)
	defer cancel()
	op.verb = verb
	call := r.history.call()
	out := keyedOutcome{}
	var err error
	switch verb {
	case "begin":
		var b *apiv1.BeginResponse
		b, err = r.client.Begin(ctx, in)
		out.state, out.answer = b.GetState(), string(b.GetAnswer().GetBody())
	case "finish":
		_, err = r.client.Finish(ctx, &apiv1.FinishRequest{Begin: in, Answer: &apiv1.StoredAnswer{Status: 200, Body: []byte(op.attempt)}})
	case "abort":
		_, err = r.client.Abort(ctx, &apiv1.AbortRequest{Begin: in})
	}
	out.known = err == nil
	r.history.done(r.index, call, op, out, out.known)
	return out
}

// Guards against a keyed request that is dispatched twice (I7) and against a
// history of keyed requests that no order explains, under lost answers,
// duplicates, reordering and changes of leader (F10).
func TestKeyedRequestHistoryIsLinearizable(t *testing.T) {
	var mu sync.Mutex
	histories := map[*group]*history{}
	dispatched := map[*group]map[string]int{}
	withFaultyGroup(t, 4, func(g *group, client int, c *controlclient.Client, random *rand.Rand) {
		mu.Lock()
		if histories[g] == nil {
			histories[g], dispatched[g] = &history{}, map[string]int{}
		}
		r := &router{client: c, name: fmt.Sprintf("r%d", client), index: client, history: histories[g], dispatch: func(key string) {
			mu.Lock()
			defer mu.Unlock()
			dispatched[g][key]++
		}}
		mu.Unlock()
		for attempt := range uint64(12) {
			r.request(fmt.Sprintf("k%d", attempt/2), attempt, random)
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
