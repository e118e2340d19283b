package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func entry(id, address string, born int64, sequence uint64, state State) Entry {
	return Entry{ID: id, Service: "s", Address: address, BornMS: born, Sequence: sequence, State: state, Heard: start}
}

// Guards against a late announcement that brings a draining or withdrawn
// server back, and against one that hides a new start.
func TestOffer(t *testing.T) {
	for _, c := range []struct {
		name   string
		offers []Entry
		state  State
		born   int64
	}{
		{"late ready after draining", []Entry{entry("a", "x", 1, 5, Draining), entry("a", "x", 1, 4, Ready)}, Draining, 1},
		{"repeated", []Entry{entry("a", "x", 1, 5, Ready), entry("a", "x", 1, 5, Draining)}, Ready, 1},
		{"ready after withdrawal", []Entry{entry("a", "x", 1, 5, Ready), entry("a", "", 1, 0, Gone), entry("a", "x", 1, 9, Ready)}, Gone, 1},
		{"new start under the same id", []Entry{entry("a", "x", 1, 500, Draining), entry("a", "x", 2, 1, Ready)}, Ready, 2},
		{"old start after a new one", []Entry{entry("a", "x", 2, 1, Ready), entry("a", "x", 1, 900, Draining)}, Ready, 2},
		{"withdrawal of an old start", []Entry{entry("a", "x", 2, 1, Ready), entry("a", "", 1, 0, Gone)}, Ready, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			for _, e := range c.offers {
				r.Offer(e)
			}
			got, ok := r.Get("a")
			assert.Assert(t, ok)
			assert.Equal(t, got.State, c.state)
			assert.Equal(t, got.BornMS, c.born)
			assert.Equal(t, got.Address, "x")
		})
	}
}

// Guards against work for a server whose address another one has taken over:
// an announcement that a partition delayed may arrive after its sender died.
func TestUsableTakesTheNewestStartAtAnAddress(t *testing.T) {
	r := New()
	r.Offer(entry("new", "x", 20, 1, Ready))
	r.Offer(entry("old", "x", 10, 9, Ready))
	usable := r.Usable()
	assert.Equal(t, len(usable), 1)
	assert.Equal(t, usable[0].ID, "new")
}

// Guards against hosts that disagree after the same announcements came in
// another order.
func TestOfferDoesNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "announcements")
		var all []Entry
		seen := map[[2]uint64]State{}
		for range n {
			born, seq := rapid.Uint64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 6).Draw(t, "sequence")
			state := rapid.SampledFrom([]State{Ready, Draining, Gone}).Draw(t, "state")
			if state != Gone {
				// A server says one thing under one sequence.
				if s, ok := seen[[2]uint64{born, seq}]; ok {
					state = s
				}
				seen[[2]uint64{born, seq}] = state
			}
			all = append(all, entry("a", "x", int64(born), seq, state))
		}
		other := rapid.Permutation(all).Draw(t, "order")
		a, b := New(), New()
		for i := range all {
			a.Offer(all[i])
			b.Offer(other[i])
		}
		x, _ := a.Get("a")
		y, _ := b.Get("a")
		if x.State != y.State || x.BornMS != y.BornMS {
			t.Fatalf("%v from %v, %v from %v", x, all, y, other)
		}
	})
}

// Guards against times of one host that are compared with the clock of another
// one: clocks are stepped by seconds, and hosts differ.
func TestMessagesCarryAges(t *testing.T) {
	const age, cold = 700 * time.Millisecond, 1500 * time.Millisecond
	e := entry("a", "x", 1, 1, Ready)
	e.ColdUntil = start.Add(age + cold)
	m := e.Message(start.Add(age))
	for _, step := range []time.Duration{0, 3 * time.Hour, -3 * time.Hour} {
		now := start.Add(step)
		got := FromMessage(m, now)
		assert.Equal(t, got.Heard, now.Add(-age))
		assert.Equal(t, got.ColdUntil, now.Add(cold))
	}
}

// Guards against work for a server that leaves: its answers say so before or
// after its announcements, which go on saying that it is ready.
func TestLeavingHoldsForOneStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		born    int64
		later   []Entry
		leaving bool
	}{
		{"announced ready again", 5, []Entry{entry("a", "x", 5, 2, Ready), entry("a", "x", 5, 3, Ready)}, true},
		{"late announcement", 5, []Entry{entry("a", "x", 5, 1, Ready)}, true},
		{"announced as draining", 5, []Entry{entry("a", "x", 5, 2, Draining)}, true},
		{"new start", 5, []Entry{entry("a", "x", 6, 1, Ready)}, false},
		{"answer of an earlier start", 4, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Offer(entry("a", "x", 5, 1, Ready))
			assert.Equal(t, r.Leave("a", c.born), c.born == 5)
			assert.Assert(t, !r.Leave("a", c.born), "it is no news")
			for _, e := range c.later {
				r.Offer(e)
			}
			got, _ := r.Get("a")
			assert.Equal(t, got.Leaving, c.leaving)
		})
	}
	assert.Assert(t, !New().Leave("unknown", 1))
}

// Guards against a change that is taken for a mere renewal, which watchers are
// not told of: cold time, slots and place.
func TestNewsIsToldFromRenewals(t *testing.T) {
	known := entry("a", "x", 1, 1, Ready)
	known.Direct, known.ColdUntil, known.Slots, known.DataCentre = true, start, 6, "z"
	for _, c := range []struct {
		name   string
		change func(e *Entry)
		want   Change
	}{
		{"renewal", func(*Entry) {}, Renewed},
		{"no longer cold by a late announcement", func(e *Entry) { e.ColdUntil = e.Heard.Add(-coldStep) }, Renewed},
		{"cold by a little", func(e *Entry) { e.ColdUntil = e.Heard.Add(coldStep / 2) }, Renewed},
		{"cold", func(e *Entry) { e.ColdUntil = e.Heard.Add(time.Second) }, Modified},
		{"slots", func(e *Entry) { e.Slots = 7 }, Modified},
		{"data centre", func(e *Entry) { e.DataCentre = "y" }, Modified},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Offer(known)
			_, cursor := r.ModifiedSince(0)
			e := known
			e.Sequence, e.Heard, e.ColdUntil = 2, start.Add(time.Second), start.Add(time.Second)
			c.change(&e)
			assert.Equal(t, r.Offer(e), c.want)
			modified, _ := r.ModifiedSince(cursor)
			assert.Equal(t, len(modified) == 1, c.want == Modified)
		})
	}
}

// Guards against a withdrawn server that is vouched for or renewed: it would
// stay known for ever.
func TestWithdrawnServerIsNotRenewed(t *testing.T) {
	direct := entry("a", "x", 1, 1, Ready)
	direct.Direct = true
	r := New()
	r.Offer(direct)
	assert.Assert(t, r.Withdraw("a", 0, start))
	r.Renew("a", 1, start.Add(time.Second))
	got, _ := r.Get("a")
	assert.Equal(t, got.Heard, start)
	assert.Assert(t, !got.Vouched)
	gone := entry("b", "y", 2, 1, Gone)
	gone.Direct = true
	r.Offer(gone)
	got, _ = r.Get("b")
	assert.Assert(t, !got.Vouched)
}
