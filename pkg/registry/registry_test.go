package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

var start = time.Unix(1_700_000_000, 0)

func newEntry(id, address string, startMS int64, sequence uint64, state State) Entry {
	return Entry{ID: id, Service: "s", Address: address, StartMS: startMS, Sequence: sequence, State: state, Heard: start}
}

// Guards against a late announcement that makes a draining or withdrawn server
// ready again, and against one that hides a restart.
func TestOffer(t *testing.T) {
	for _, c := range []struct {
		name    string
		offers  []Entry
		state   State
		startMS int64
	}{
		{"late ready after draining", []Entry{newEntry("a", "x", 1, 5, Draining), newEntry("a", "x", 1, 4, Ready)}, Draining, 1},
		{"repeated", []Entry{newEntry("a", "x", 1, 5, Ready), newEntry("a", "x", 1, 5, Draining)}, Ready, 1},
		{"ready after withdrawal", []Entry{newEntry("a", "x", 1, 5, Ready), newEntry("a", "", 1, 0, Gone), newEntry("a", "x", 1, 9, Ready)}, Gone, 1},
		{"new start under the same id", []Entry{newEntry("a", "x", 1, 500, Draining), newEntry("a", "x", 2, 1, Ready)}, Ready, 2},
		{"old start after a new one", []Entry{newEntry("a", "x", 2, 1, Ready), newEntry("a", "x", 1, 900, Draining)}, Ready, 2},
		{"withdrawal of an old start", []Entry{newEntry("a", "x", 2, 1, Ready), newEntry("a", "", 1, 0, Gone)}, Ready, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			for _, e := range c.offers {
				r.Merge(e)
			}
			got, ok := r.Get("a")
			assert.Assert(t, ok)
			assert.Equal(t, got.State, c.state)
			assert.Equal(t, got.StartMS, c.startMS)
			assert.Equal(t, got.Address, "x")
		})
	}
}

// Guards against sending requests to a server whose address another one has taken
// over: a partition may delay an announcement until after its sender has stopped.
func TestUsableReturnsNewestStartPerAddress(t *testing.T) {
	r := New()
	r.Merge(newEntry("new", "x", 20, 1, Ready))
	r.Merge(newEntry("old", "x", 10, 9, Ready))
	usable := r.NewestPerAddress()
	assert.Equal(t, len(usable), 1)
	assert.Equal(t, usable[0].ID, "new")
}

// Guards against hosts that disagree after receiving the same announcements in a
// different order.
func TestOfferIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "announcements")
		var all []Entry
		seen := map[[2]uint64]State{}
		for range n {
			startMS, seq := rapid.Uint64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 6).Draw(t, "sequence")
			state := rapid.SampledFrom([]State{Ready, Draining, Gone}).Draw(t, "state")
			if state != Gone {
				// A server announces one state under one sequence number.
				if s, ok := seen[[2]uint64{startMS, seq}]; ok {
					state = s
				}
				seen[[2]uint64{startMS, seq}] = state
			}
			all = append(all, newEntry("a", "x", int64(startMS), seq, state))
		}
		other := rapid.Permutation(all).Draw(t, "order")
		a, b := New(), New()
		for i := range all {
			a.Merge(all[i])
			b.Merge(other[i])
		}
		x, _ := a.Get("a")
		y, _ := b.Get("a")
		if x.State != y.State || x.StartMS != y.StartMS {
			t.Fatalf("%v from %v, %v from %v", x, all, y, other)
		}
	})
}

// Guards against comparing times of one host with the clock of another: clocks are
// stepped by seconds, and hosts differ.
func TestMessagesCarryAges(t *testing.T) {
	const age, cold = 700 * time.Millisecond, 1500 * time.Millisecond
	e := newEntry("a", "x", 1, 1, Ready)
	e.ColdUntil = start.Add(age + cold)
	m := e.ToProto(start.Add(age))
	for _, step := range []time.Duration{0, 3 * time.Hour, -3 * time.Hour} {
		now := start.Add(step)
		got := FromProto(m, now)
		assert.Equal(t, got.Heard, now.Add(-age))
		assert.Equal(t, got.ColdUntil, now.Add(cold))
	}
}

// Guards against sending requests to a server that is shutting down: its responses
// may say so while its announcements still state that it is ready.
func TestLeavingMarkLastsForOneStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		startMS int64
		later   []Entry
		leaving bool
	}{
		{"announced as ready again", 5, []Entry{newEntry("a", "x", 5, 2, Ready), newEntry("a", "x", 5, 3, Ready)}, true},
		{"late announcement", 5, []Entry{newEntry("a", "x", 5, 1, Ready)}, true},
		{"announced as draining", 5, []Entry{newEntry("a", "x", 5, 2, Draining)}, true},
		{"new start", 5, []Entry{newEntry("a", "x", 6, 1, Ready)}, false},
		{"response of an earlier start", 4, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Merge(newEntry("a", "x", 5, 1, Ready))
			assert.Equal(t, r.MarkLeaving("a", c.startMS), c.startMS == 5)
			assert.Assert(t, !r.MarkLeaving("a", c.startMS), "the mark must be new only once")
			for _, e := range c.later {
				r.Merge(e)
			}
			got, _ := r.Get("a")
			assert.Equal(t, got.Leaving, c.leaving)
		})
	}
	assert.Assert(t, !New().MarkLeaving("unknown", 1))
}

// Guards against treating a modification as a renewal, which watchers are not
// notified of: of cold time, slots, data centre and release.
func TestOfferSeparatesChangesFromRenewals(t *testing.T) {
	known := newEntry("a", "x", 1, 1, Ready)
	known.HeardDirectly, known.ColdUntil, known.Slots, known.DataCentre = true, start, 6, "z"
	known.Release = release.Of("s", "v1")
	for _, c := range []struct {
		name    string
		startMS int64 // 0 for what a process that states its start can't change
		change  func(e *Entry)
		want    Change
	}{
		{"renewal", 1, func(*Entry) {}, Renewed},
		{"end of cold start within the tolerance", 1, func(e *Entry) { e.ColdUntil = e.Heard.Add(-coldTimeTolerance) }, Renewed},
		{"cold time changed within the tolerance", 1, func(e *Entry) { e.ColdUntil = e.Heard.Add(coldTimeTolerance / 2) }, Renewed},
		{"cold time", 1, func(e *Entry) { e.ColdUntil = e.Heard.Add(time.Second) }, Modified},
		{"slots", 1, func(e *Entry) { e.Slots = 7 }, Modified},
		{"data centre", 0, func(e *Entry) { e.DataCentre = "y" }, Modified},
		{"release", 0, func(e *Entry) { e.Release = release.Of("s", "v2") }, Modified},
		{"release no longer stated", 0, func(e *Entry) { e.Release = release.Unknown }, Modified},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			known := known
			known.StartMS = c.startMS
			r.Merge(known)
			_, cursor := r.ModifiedSince(0)
			e := known
			e.Sequence, e.Heard, e.ColdUntil = 2, start.Add(time.Second), start.Add(time.Second)
			c.change(&e)
			assert.Equal(t, r.Merge(e), c.want)
			modified, _ := r.ModifiedSince(cursor)
			assert.Equal(t, len(modified) == 1, c.want == Modified)
		})
	}
}

// Guards against a withdrawn server that is renewed or reported as alive: it would
// never expire.
func TestWithdrawnServerIsNotRenewed(t *testing.T) {
	direct := newEntry("a", "x", 1, 1, Ready)
	direct.HeardDirectly = true
	r := New()
	r.Merge(direct)
	_, known := r.Withdraw(Withdrawal{ID: "a"}, start)
	assert.Assert(t, known)
	r.Renew("a", 1, start.Add(time.Second))
	got, _ := r.Get("a")
	assert.Equal(t, got.Heard, start)
	assert.Assert(t, !got.Vouched)
	gone := newEntry("b", "y", 2, 1, Gone)
	gone.HeardDirectly = true
	r.Merge(gone)
	got, _ = r.Get("b")
	assert.Assert(t, !got.Vouched)
}

// Guards against a stream that goes on at a server of another release: a server may come
// back under its id with another version, and hosts learn of it from each other.
func TestReleaseBelongsToAProcess(t *testing.T) {
	v1, v2 := release.Of("s", "v1"), release.Of("s", "v2")
	with := func(e Entry, id release.ID) Entry { e.Release = id; return e }
	for _, c := range []struct {
		name  string
		later Entry
		want  release.ID
	}{
		{"late announcement", with(newEntry("a", "x", 5, 1, Ready), v2), v1},
		{"draining", with(newEntry("a", "x", 5, 3, Draining), v1), v1},
		{"withdrawal", newEntry("a", "", 5, 0, Gone), v1},
		{"withdrawal of an earlier start", newEntry("a", "", 4, 0, Gone), v1},
		{"later start", with(newEntry("a", "x", 6, 1, Ready), v2), v2},
		{"later start without a version", newEntry("a", "x", 6, 1, Ready), release.Unknown},
		{"same start time", with(newEntry("a", "x", 5, 3, Ready), v2), v2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, other := New(), New()
			r.Merge(with(newEntry("a", "x", 5, 2, Ready), v1))
			r.Merge(c.later)
			e, _ := r.Get("a")
			assert.Equal(t, e.Release, c.want)
			other.Merge(FromProto(e.ToProto(start), start))
			e, _ = other.Get("a")
			assert.Equal(t, e.Release, c.want)
		})
	}
}
