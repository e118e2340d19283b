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
	historySeed                 = 20260301
	historyClients              = 4
	historyOperations           = 12  // per client
	soakOperations              = 100 // per client
	operationTimeout            = 3 * time.Second
	linearizabilityCheckTimeout = time.Minute
)

// listOp is an append of Command, or a read of the list if Command is empty.
type listOp struct{ Command string }

// listOut is the result of a listOp: the list or, for an append, its new length.
// Unknown is set if the append may or may not have happened.
type listOut struct {
	List    string
	Length  int
	Unknown bool
}

// listModel is the sequential model of the list. Its state is the commands, each
// followed by a space.
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

// history records operations with their call and return times.
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

// resolveUnknown determines the result of appends with an unknown outcome from the
// final list: an append in the list took effect at some time after its call, any
// other had no effect and is removed from the history.
func (h *history) resolveUnknown(final []string) {
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

// runOperation runs one operation on a member and records it. Rejected operations
// have no effect and are not recorded; it returns false for them.
func (h *history) runOperation(ctx context.Context, m *member, client int, command string) bool {
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
	case strings.Contains(err.Error(), "the outcome of the command is unknown"):
		h.add(client, call, listOp{command}, listOut{Unknown: true})
	default:
		return false
	}
	return true
}

// Reads must not be stale, and commands must not be lost or applied twice, while
// leaders are partitioned or their disks stall or are full and they return (F1, F5).
func TestHistoryIsLinearizable(t *testing.T) {
	ops := historyOperations
	if os.Getenv("JACKDAWTRACK_SOAK_SEEDS") != "" {
		ops = soakOperations
	}
	t.Logf("seed %d, %d operations of each of %d clients", historySeed, ops, historyClients)
	g := newGroup(t, 3)
	for id := range uint64(3) {
		g.fs[id+1] = &waltest.FaultyDisk{}
	}
	g.startAll()
	g.propose("first")
	h := &history{start: time.Now()}
	h.add(-1, 0, listOp{"first"}, listOut{Length: 1})
	done := make(chan struct{})
	var disturber sync.WaitGroup
	disturber.Go(func() { g.disturbLeaders(h, done) })
	var wait sync.WaitGroup
	for c := range historyClients {
		rng := rand.New(rand.NewPCG(historySeed, uint64(c)))
		wait.Go(func() {
			for i, effective := 0, 0; effective < ops; i++ {
				command := ""
				if rng.IntN(2) == 0 {
					command = fmt.Sprintf("%d/%d", c, i)
				}
				ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
				if h.runOperation(ctx, g.pickLeader(ctx, rng), c, command) {
					effective++
				}
				cancel()
			}
		})
	}
	wait.Wait()
	close(done)
	disturber.Wait()
	h.resolveUnknown(g.leader().machine.list())
	verdict := porcupine.CheckOperationsTimeout(listModel, h.ops, linearizabilityCheckTimeout)
	assert.Equal(t, verdict, porcupine.Ok)
}

// pickLeader returns a member in the leader role, possibly a stale leader, or any
// member if ctx ends.
func (g *group) pickLeader(ctx context.Context, rng *rand.Rand) *member {
	first := rng.Uint64N(3)
	for ctx.Err() == nil {
		for i := range uint64(3) {
			if m := g.members[(first+i)%3+1]; m.Status().Role == "leader" {
				return m
			}
		}
		g.members[first+1].WaitForStatus(ctx, func(s Status) bool { return s.Leader != 0 })
	}
	return g.members[first+1]
}

// disturbLeaders isolates one leader, stalls the disk of the next and fills that of the
// one after it, each until there is another leader. No ticks reach a leader during a stall, so it may serve
// stale reads right after it.
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
		disk := g.fs[old.config.ID].(*waltest.FaultyDisk)
		switch round % 3 {
		case 0:
			g.net.setIsolated(old.config.Address, true)
			g.leader(others...)
			g.net.setIsolated(old.config.Address, false)
		case 1:
			disk.StallSyncs.Lock()
			// The stall takes effect only on a sync, so a write is needed.
			var write sync.WaitGroup
			write.Go(func() { h.runOperation(g.context(), old, -2, fmt.Sprint("stalled/", round)) })
			g.leader(others...)
			disk.StallSyncs.Unlock()
			write.Wait()
		case 2:
			disk.Full.Store(true)
			h.runOperation(g.context(), old, -2, fmt.Sprint("full/", round))
			g.leader(others...)
			disk.Full.Store(false)
		}
	}
}
