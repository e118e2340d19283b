package fairshare

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const modelCount = 2

var epoch = time.Unix(1_700_000_000, 0)

func anyModel(int) bool { return true }

// referenceQueue drives a Queue and checks it against a linear search of all
// waiting requests.
type referenceQueue struct {
	q           *Queue
	ledger      *Ledger
	now         time.Time
	items       []*Item
	workspaceOf map[*Item]string
	inFlight    map[string]int
	lastService map[string]time.Time // or start of the wait, by workspace
	remoteTotal uint64
}

func newReferenceQueue() *referenceQueue {
	ledger := NewLedger(Origin{Name: "a"})
	cfg := DefaultConfig()
	cfg.UrgencyWindow, cfg.MaxLead = 400, 2000
	return &referenceQueue{
		q: NewQueue(cfg, ledger), ledger: ledger, now: epoch,
		workspaceOf: map[*Item]string{}, inFlight: map[string]int{}, lastService: map[string]time.Time{},
	}
}

func (m *referenceQueue) drawWorkspace(t *rapid.T) string {
	return fmt.Sprintf("w%d", rapid.IntRange(0, 19).Draw(t, "workspace"))
}

func (m *referenceQueue) push(t *rapid.T) {
	w := m.drawWorkspace(t)
	f := m.q.Flow(w)
	item := &Item{ModelIndex: rapid.IntRange(0, modelCount-1).Draw(t, "model"), Deadline: rapid.Int64Range(0, 1000).Draw(t, "deadline")}
	wasIdle := f.Waiting() == 0
	lowest, anyWaiting := m.floor()
	m.q.Push(m.now, f, item)
	m.items, m.workspaceOf[item] = append(m.items, item), w
	if wasIdle {
		m.lastService[w] = m.now
		if anyWaiting && f.VirtualTime() < lowest {
			t.Fatalf("idle workspace %s queued again at virtual time %d, below the floor %d", w, f.VirtualTime(), lowest)
		}
	}
}

// floor returns the lowest virtual time among the waiting workspaces, and false
// if nothing waits.
func (m *referenceQueue) floor() (int64, bool) {
	lowest := int64(math.MaxInt64)
	for _, item := range m.items {
		lowest = min(lowest, m.q.Flow(m.workspaceOf[item]).VirtualTime())
	}
	return lowest, len(m.items) > 0
}

// serve grants the next request and compares the choice with a linear search.
func (m *referenceQueue) serve(t *rapid.T) {
	item := m.q.Peek(m.now, anyModel)
	if (item == nil) != (len(m.items) == 0) {
		t.Fatalf("the queue chose %v with %d waiting requests", item, len(m.items))
	}
	if item == nil {
		return
	}
	if !m.starving(m.workspaceOf[item]) {
		lowest, _ := m.floor()
		want := int64(math.MaxInt64)
		for _, other := range m.items {
			if m.q.Flow(m.workspaceOf[other]).VirtualTime() <= lowest+m.q.cfg.UrgencyWindow {
				want = min(want, other.Deadline)
			}
		}
		if item.Deadline != want {
			t.Fatalf("the queue chose deadline %d, earliest in the urgency window is %d", item.Deadline, want)
		}
	}
	m.remove(item)
	f := m.q.Flow(m.workspaceOf[item])
	m.ledger.Charge(f.Account(), rapid.Uint64Range(1, 150).Draw(t, "cost"))
	m.q.RecordGrant(m.now, f)
	m.inFlight[f.Name]++
	m.lastService[f.Name] = m.now
}

func (m *referenceQueue) starving(w string) bool {
	return m.now.Sub(m.lastService[w]) >= m.q.cfg.StarvationTimeout
}

func (m *referenceQueue) remove(item *Item) {
	m.q.Remove(item)
	m.items = slices.DeleteFunc(m.items, func(x *Item) bool { return x == item })
}

func (m *referenceQueue) check(t *rapid.T) {
	assert.Equal(t, m.q.Len(), len(m.items))
	active := map[string]bool{}
	for _, item := range m.items {
		active[m.workspaceOf[item]] = true
	}
	assert.Equal(t, m.q.Active(), len(active))
}

// Guards against requests that are lost or served twice, choices outside the
// urgency window, credit for idle workspaces, and a treap whose order differs
// from the virtual times.
func TestQueueAgainstFullSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReferenceQueue()
		t.Repeat(map[string]func(*rapid.T){
			"push":  m.push,
			"push2": m.push,
			"push3": m.push,
			"serve": m.serve,
			"cancel": func(t *rapid.T) {
				if len(m.items) > 0 {
					m.remove(m.items[rapid.IntRange(0, len(m.items)-1).Draw(t, "index")])
				}
			},
			"end": func(t *rapid.T) {
				w := m.drawWorkspace(t)
				if m.inFlight[w] > 0 {
					f := m.q.Flow(w)
					m.inFlight[w]--
					m.ledger.Settle(f.Account(), 50, rapid.Uint64Range(0, 100).Draw(t, "cost"))
					m.q.RecordEnd(m.now, f)
					m.lastService[w] = m.now
				}
			},
			"remote": func(t *rapid.T) {
				m.remoteTotal += rapid.Uint64Range(0, 300).Draw(t, "units")
				m.ledger.Merge(Origin{Name: "b"}, []ServiceTotal{{Workspace: m.drawWorkspace(t), Units: m.remoteTotal}}, false)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				m.q.RefreshVirtualTimes()
			},
			"": m.check,
		})
	})
}

// Guards against starvation: a workspace far above the floor that has no request
// in flight gets a slot after the starvation timeout, while another workspace
// keeps sending requests.
func TestStarvationGuard(t *testing.T) {
	m := newReferenceQueue()
	m.q.cfg.MaxLead = 1 << 40
	ahead, atFloor := m.q.Flow("ahead"), m.q.Flow("atFloor")
	m.q.Push(m.now, atFloor, &Item{Deadline: 1})
	m.q.Push(m.now, atFloor, &Item{Deadline: 1}) // keeps the workspace waiting while the first request is served
	m.ledger.Charge(ahead.Account(), 1<<30)
	m.q.Push(m.now, ahead, &Item{Deadline: 1})
	for range 60 {
		item := m.q.Peek(m.now, anyModel)
		f := item.Flow()
		m.q.Remove(item)
		if f == ahead {
			assert.Assert(t, m.now.Sub(epoch) >= DefaultStarvationTimeout)
			return
		}
		m.q.RecordGrant(m.now, f)
		m.q.Push(m.now, atFloor, &Item{Deadline: 1})
		m.now = m.now.Add(100 * time.Millisecond)
	}
	t.Fatal("the starving workspace was not served in 6 s")
}

// Guards against an unbounded wait after a partition: when the totals of another
// router arrive late, a workspace can be far above the floor. Its virtual time is
// lowered to the floor plus MaxLead.
func TestMaxLead(t *testing.T) {
	m := newReferenceQueue()
	low, high := m.q.Flow("low"), m.q.Flow("high")
	m.q.Push(m.now, low, &Item{})
	m.ledger.Merge(Origin{Name: "b"}, []ServiceTotal{{Workspace: "high", Units: 1 << 40}}, true)
	m.q.Push(m.now, high, &Item{})
	assert.Equal(t, high.VirtualTime(), low.VirtualTime()+m.q.cfg.MaxLead)
}

// Guards against an unbalanced treap: its depth bounds the cost of a scheduling
// decision.
func TestDepthIsLogarithmic(t *testing.T) {
	for _, n := range []int{16, 4_000, 40_000} {
		m := newReferenceQueue()
		for i := range n {
			f := m.q.Flow(fmt.Sprint(i))
			f.offset = int64(i) // ascending order, the worst case for an unbalanced tree
			m.q.Push(m.now, f, &Item{Deadline: int64(n - i)})
		}
		maxDepth := 4 * math.Log2(float64(n))
		if d := float64(depth(m.q.byModel[0].root)); d > maxDepth {
			t.Errorf("treap depth is %v with %d workspaces, maximum %v", d, n, maxDepth)
		}
	}
}

func depth(n *node) int {
	if n == nil {
		return 0
	}
	return 1 + max(depth(n.left), depth(n.right))
}
