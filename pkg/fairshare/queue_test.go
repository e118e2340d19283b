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

const lanes = 2

var epoch = time.Unix(1_700_000_000, 0)

func anyLane(int) bool { return true }

// queueModel checks a Queue against a list that is searched in full.
type queueModel struct {
	q      *Queue
	ledger *Ledger
	now    time.Time
	items  []*Item
	names  map[*Item]string
	open   map[string]int
	served map[string]time.Time // last service or first wait
	remote uint64
}

func newModel() *queueModel {
	ledger := NewLedger(Origin{Name: "a"})
	cfg := DefaultConfig()
	cfg.Window, cfg.MaxLead = 400, 2000
	return &queueModel{
		q: NewQueue(cfg, ledger), ledger: ledger, now: epoch,
		names: map[*Item]string{}, open: map[string]int{}, served: map[string]time.Time{},
	}
}

func (m *queueModel) workspace(t *rapid.T) string {
	return fmt.Sprintf("w%d", rapid.IntRange(0, 19).Draw(t, "workspace"))
}

func (m *queueModel) push(t *rapid.T) {
	w := m.workspace(t)
	f := m.q.Flow(w)
	item := &Item{Lane: rapid.IntRange(0, lanes-1).Draw(t, "lane"), Deadline: rapid.Int64Range(0, 1000).Draw(t, "deadline")}
	fresh := f.Waiting() == 0
	lowest, others := m.floor()
	m.q.Push(m.now, f, item)
	m.items, m.names[item] = append(m.items, item), w
	if fresh {
		m.served[w] = m.now
		if others && f.Value() < lowest {
			t.Fatalf("%s came back at %d, below the floor %d", w, f.Value(), lowest)
		}
	}
}

// floor returns the lowest value over the waiting workspaces.
func (m *queueModel) floor() (int64, bool) {
	lowest := int64(math.MaxInt64)
	for _, item := range m.items {
		lowest = min(lowest, m.q.Flow(m.names[item]).Value())
	}
	return lowest, len(m.items) > 0
}

// serve takes the next request and compares it with a full search.
func (m *queueModel) serve(t *rapid.T) {
	item := m.q.Next(m.now, anyLane)
	if (item == nil) != (len(m.items) == 0) {
		t.Fatalf("next is %v with %d waiting", item, len(m.items))
	}
	if item == nil {
		return
	}
	if !m.starved(m.names[item]) {
		lowest, _ := m.floor()
		want := int64(math.MaxInt64)
		for _, other := range m.items {
			if m.q.Flow(m.names[other]).Value() <= lowest+m.q.cfg.Window {
				want = min(want, other.Deadline)
			}
		}
		if item.Deadline != want {
			t.Fatalf("deadline %d chosen, earliest in the window is %d", item.Deadline, want)
		}
	}
	m.take(item)
	f := m.q.Flow(m.names[item])
	m.ledger.Charge(f.Account(), rapid.Uint64Range(1, 150).Draw(t, "cost"))
	m.q.Served(m.now, f)
	m.open[f.Name]++
	m.served[f.Name] = m.now
}

func (m *queueModel) starved(w string) bool {
	return m.now.Sub(m.served[w]) >= m.q.cfg.Starvation
}

func (m *queueModel) take(item *Item) {
	m.q.Remove(item)
	m.items = slices.DeleteFunc(m.items, func(x *Item) bool { return x == item })
}

func (m *queueModel) check(t *rapid.T) {
	assert.Equal(t, m.q.Len(), len(m.items))
	active := map[string]bool{}
	for _, item := range m.items {
		active[m.names[item]] = true
	}
	assert.Equal(t, m.q.Active(), len(active))
}

// Guards against a request that is lost or served twice, a choice outside the
// urgency window, credit for idleness, and a tree that no longer matches the
// values.
func TestQueueAgainstFullSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"push":  m.push,
			"push2": m.push,
			"push3": m.push,
			"serve": m.serve,
			"cancel": func(t *rapid.T) {
				if len(m.items) > 0 {
					m.take(m.items[rapid.IntRange(0, len(m.items)-1).Draw(t, "index")])
				}
			},
			"end": func(t *rapid.T) {
				w := m.workspace(t)
				if m.open[w] > 0 {
					f := m.q.Flow(w)
					m.open[w]--
					m.ledger.Settle(f.Account(), 50, rapid.Uint64Range(0, 100).Draw(t, "cost"))
					m.q.Ended(m.now, f)
					m.served[w] = m.now
				}
			},
			"remote": func(t *rapid.T) {
				m.remote += rapid.Uint64Range(0, 300).Draw(t, "units")
				m.ledger.Merge(Origin{Name: "b"}, []Total{{Workspace: m.workspace(t), Units: m.remote}}, false)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				m.q.Refresh()
			},
			"": m.check,
		})
	})
}

// Guards against starvation: a workspace far above the floor with nothing in
// flight gets a slot after the starvation time although others keep asking.
func TestStarvationGuard(t *testing.T) {
	m := newModel()
	m.q.cfg.MaxLead = 1 << 40
	rich, poor := m.q.Flow("rich"), m.q.Flow("poor")
	m.q.Push(m.now, poor, &Item{Deadline: 1})
	m.q.Push(m.now, poor, &Item{Deadline: 1}) // one stays while the other is served
	m.ledger.Charge(rich.Account(), 1<<30)
	m.q.Push(m.now, rich, &Item{Deadline: 1})
	for range 60 {
		item := m.q.Next(m.now, anyLane)
		f := item.Flow()
		m.q.Remove(item)
		if f == rich {
			assert.Assert(t, m.now.Sub(epoch) >= DefaultStarvation)
			return
		}
		m.q.Served(m.now, f)
		m.q.Push(m.now, poor, &Item{Deadline: 1})
		m.now = m.now.Add(100 * time.Millisecond)
	}
	t.Fatal("the workspace was not served in 6 s")
}

// Guards against a wait without bound after a partition: a workspace far above
// the floor is lowered to the floor plus MaxLead.
func TestMaxLead(t *testing.T) {
	m := newModel()
	low, high := m.q.Flow("low"), m.q.Flow("high")
	m.q.Push(m.now, low, &Item{})
	m.ledger.Merge(Origin{Name: "b"}, []Total{{Workspace: "high", Units: 1 << 40}}, true)
	m.q.Push(m.now, high, &Item{})
	assert.Equal(t, high.Value(), low.Value()+m.q.cfg.MaxLead)
}

// Guards against a treap that degenerates: the cost of a decision is bounded
// by its depth.
func TestDepthIsLogarithmic(t *testing.T) {
	for _, n := range []int{16, 4_000, 40_000} {
		m := newModel()
		for i := range n {
			f := m.q.Flow(fmt.Sprint(i))
			f.offset = int64(i) // ascending values, the worst case without balance
			m.q.Push(m.now, f, &Item{Deadline: int64(n - i)})
		}
		most := 4 * math.Log2(float64(n))
		if d := float64(depth(m.q.lanes[0].root)); d > most {
			t.Errorf("depth %v with %d workspaces, at most %v", d, n, most)
		}
	}
}

func depth(n *node) int {
	if n == nil {
		return 0
	}
	return 1 + max(depth(n.left), depth(n.right))
}
