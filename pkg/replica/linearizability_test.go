package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/wal/waltest"
)

const (
	historySeed    = 20260301
	historyClients = 4
	historyOps     = 12 // of each client
	soakOps        = 100
	opTimeout      = 3 * time.Second
	checkLimit     = time.Minute
)

// listOp appends Command, or reads the list if Command is empty.
type listOp struct{ Command string }

// listOut is the list or, for an append, its new length. Unknown means that
// the append may or may not have happened.
type listOut struct {
	List    string
	Length  int
	Unknown bool
}

// listModel has the commands, each followed by a space, as its state.
var listModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		list, op, out := state.(string), input.(listOp), output.(listOut)
		if op.Command == "" {
			return out.List == list, list
		}
		next := list + op.Command + " "
		return out.Length == strings.Count(next, " "), next
	},
	Equal: func(a, b any) bool { return a == b },
}

type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) add(client int, call time.Duration, in listOp, out listOut) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(time.Since(h.start)),
	})
}

// resolve uses the list at the end for the appends of unknown fate: those in
// it happened there at some time after their call, the others did not.
func (h *history) resolve(final []string) {
	end := int64(time.Since(h.start))
	var known []porcupine.Operation
	for _, op := range h.ops {
		if op.Output.(listOut).Unknown {
			at := slices.Index(final, op.Input.(listOp).Command)
			if at < 0 {
				continue
			}
			op.Output, op.Return = listOut{Length: at + 1}, end
		}
		known = append(known, op)
	}
	h.ops = known
}

// step runs one operation against a random member. Operations that were
// refused have no effect and are left out; step returns false for them.
func (h *history) step(ctx context.Context, m *member, client int, command string) bool {
	call := time.Since(h.start)
	if command == "" {
		if m.ReadBarrier(ctx) != nil {
			return false
		}
		list := strings.Join(append(m.machine.list(), ""), " ")
		h.add(client, call, listOp{}, listOut{List: list})
		return true
	}
	v, err := m.Propose(ctx, []byte(command))
	switch {
	case err == nil:
		h.add(client, call, listOp{command}, listOut{Length: v.(int)})
	case strings.Contains(err.Error(), "fate"):
		h.add(client, call, listOp{command}, listOut{Unknown: true})
	default:
		return false
	}
	return true
}

// Guards against stale reads, lost commands and commands applied twice while
// leaders are cut off or stall and return (F1, F5).
func TestHistoryIsLinearizable(t *testing.T) {
	ops := historyOps
	if os.Getenv("JACKDAWTRACK_SOAK_SEEDS") != "" {
		ops = soakOps
	}
	t.Logf("seed %d, %d operations of each of %d clients", historySeed, ops, historyClients)
	g := newGroup(t, 3)
	for id := range uint64(3) {
		g.fs[id+1] = &waltest.Disk{}
	}
	g.startAll()
	g.propose("first")
	h := &history{start: time.Now()}
	h.add(-1, 0, listOp{"first"}, listOut{Length: 1})
	done := make(chan struct{})
	var cutter sync.WaitGroup
	cutter.Go(func() { g.disturbLeaders(h, done) })
	var wait sync.WaitGroup
	for c := range historyClients {
		rng := rand.New(rand.NewPCG(historySeed, uint64(c)))
		wait.Go(func() {
			for i, effective := 0, 0; effective < ops; i++ {
				command := ""
				if rng.IntN(2) == 0 {
					command = fmt.Sprintf("%d/%d", c, i)
				}
				ctx, cancel := context.WithTimeout(context.Background(), opTimeout)
				if h.step(ctx, g.pick(ctx, rng), c, command) {
					effective++
				}
				cancel()
			}
		})
	}
	wait.Wait()
	close(done)
	cutter.Wait()
	h.resolve(g.leader().machine.list())
	verdict := porcupine.CheckOperationsTimeout(listModel, h.ops, checkLimit)
	assert.Equal(t, verdict, porcupine.Ok)
}

// pick returns a host that believes to lead, an old leader too, or any host
// when the context ends.
func (g *group) pick(ctx context.Context, rng *rand.Rand) *member {
	first := rng.Uint64N(3)
	for ctx.Err() == nil {
		for i := range uint64(3) {
			if m := g.members[(first+i)%3+1]; m.Status().Role == "leader" {
				return m
			}
		}
		g.members[first+1].Wait(ctx, func(s Status) bool { return s.Leader != 0 })
	}
	return g.members[first+1]
}

// disturbLeaders cuts off one leader and stalls the disk of the next, each
// until there is another leader. A stalled leader does not notice that time
// passes, so its first answers after the stall may be stale.
func (g *group) disturbLeaders(h *history, done chan struct{}) {
	for round := 0; ; round++ {
		old := g.leader()
		select {
		case <-done:
			return
		default:
		}
		var others []uint64
		for id, m := range g.members {
			if m != old {
				others = append(others, id)
			}
		}
		if round%2 == 0 {
			g.net.setCut(old.config.Address, true)
			g.leader(others...)
			g.net.setCut(old.config.Address, false)
			continue
		}
		disk := g.fs[old.config.ID].(*waltest.Disk)
		disk.Stall.Lock()
		// A write makes sure that the stall is noticed.
		var write sync.WaitGroup
		write.Go(func() { h.step(g.context(), old, -2, fmt.Sprint("stalled/", round)) })
		g.leader(others...)
		disk.Stall.Unlock()
		write.Wait()
	}
}
