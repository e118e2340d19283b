package pool

import (
	"fmt"
	"testing"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
)

// benchOwner returns an owner with all slots in use and waiting asks of a tenth
// of the workspaces, the present time and all asks.
func benchOwner(workspaces, servers int) (*Owner, time.Time, []Ask) {
	ledger := fairshare.NewLedger(fairshare.Origin{Name: "bench"})
	cfg := DefaultConfig()
	cfg.RecoveryWait = 0
	o := NewOwner(shardA, 1, cfg, ledger, start)
	for s := range servers {
		o.HandleAnnouncement(start, announce(fmt.Sprintf("s%d", s), 0))
	}
	backlogged := max(workspaces/10, 2)
	for w := range workspaces {
		o.queue.Flow(fmt.Sprintf("w%d", w))
	}
	asks := make([]Ask, 0, 4*servers+4*backlogged)
	for id := range cap(asks) {
		a := ask(uint64(id+1), fmt.Sprintf("w%d", id%backlogged), draft, start)
		a.PrefixHash = uint64(id%512 + 1)
		asks = append(asks, a)
		o.Ask(start, a)
	}
	return o, start, asks
}

var benchSizes = []struct{ workspaces, servers int }{{16, 14}, {4_000, 670}, {40_000, 5_000}}

// One operation is a settle, the grant of the slot that it releases, and an ask
// that keeps the queue length.
func BenchmarkDecision(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("workspaces=%d/servers=%d", size.workspaces, size.servers), func(b *testing.B) {
			o, now, asks := benchOwner(size.workspaces, size.servers)
			open := o.TakeOutput().Grants
			var out Output
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				g := &open[i%len(open)]
				o.Settle(now, Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: OutcomeServerError, CostUnits: 900})
				out.Grants = out.Grants[:0]
				o.TakeOutputInto(&out)
				nextAsk := asks[g.RequestID-1]
				*g = out.Grants[0]
				o.Ask(now, nextAsk)
			}
		})
	}
}

// One operation is the choice of a server for an ask with a cached prefix.
func BenchmarkServerChoice(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", size.servers), func(b *testing.B) {
			o, _, _ := benchOwner(16, size.servers)
			for _, g := range o.sortedGrants()[:size.servers] {
				o.settleGrant(g, Settle{Outcome: OutcomeUnused})
			}
			w := &waitingAsk{ask: Ask{PrefixHash: 7, Avoid: []string{"s1"}}}
			b.ReportAllocs()
			for b.Loop() {
				s := o.chooseServer(w)
				o.takeSlot(s)
				s.limit.Release(o.now, limiterSample(Settle{Outcome: OutcomeUnused}, o.now, 0))
				o.inFlight--
				o.reposition(s)
			}
		})
	}
}

// Guards against memory allocations on the path from a settle to the next grant.
func TestDecisionDoesNotAllocate(t *testing.T) {
	o, now, asks := benchOwner(160, 14)
	open := o.TakeOutput().Grants
	var out Output
	i := 0
	step := func() {
		g := &open[i%len(open)]
		i++
		o.Settle(now, Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: OutcomeServerError, CostUnits: 900})
		out.Grants = out.Grants[:0]
		o.TakeOutputInto(&out)
		nextAsk := asks[g.RequestID-1]
		*g = out.Grants[0]
		o.Ask(now, nextAsk)
	}
	for range 1000 {
		step()
	}
	if n := testing.AllocsPerRun(1000, step); n != 0 {
		t.Fatalf("%v allocations per decision", n)
	}
}
