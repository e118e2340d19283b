package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const beat = 1200 * time.Millisecond // announcement interval of a server

// heard returns e as heard at the given time after start.
func heard(e Entry, directly bool, after time.Duration) Entry {
	e.Heard, e.HeardDirectly = start.Add(after), directly
	return e
}

// Guards against a server that stays shut out because one announcement of another
// writer under its id seems newer than all of its own.
func TestServerRecoversItsID(t *testing.T) {
	for name, odd := range map[string]Entry{
		"sequence ahead": newEntry("a", "odd", 1, 1<<50, Ready),
		"later start":    newEntry("a", "odd", 1_000_000, 1, Ready),
	} {
		t.Run(name, func(t *testing.T) {
			core, edge := New(), New()
			core.Merge(heard(newEntry("a", "x", 1, 1, Ready), true, 0))
			core.Merge(heard(odd, true, beat/2))
			edge.Merge(heard(odd, false, beat/2))
			recoveredAt := time.Duration(0)
			for n := time.Duration(1); recoveredAt == 0 && n*beat < 20*time.Second; n++ {
				core.Merge(heard(newEntry("a", "x", 1, uint64(n)+1, Ready), true, n*beat))
				if e, _ := core.Get("a"); e.Address == "x" {
					recoveredAt = n * beat
					edge.Merge(FromProto(e.ToProto(e.Heard), e.Heard))
				}
			}
			assert.Assert(t, recoveredAt > 0 && recoveredAt < restartGap+3*beat, "after %s", recoveredAt)
			e, _ := edge.Get("a")
			assert.Equal(t, e.Address, "x")
		})
	}
}

// Guards against late announcements that replace a newer one whose server has fallen
// silent: a partition may delay several, which then arrive together.
func TestLateAnnouncementsDoNotReplaceNewerOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		r.Merge(heard(newEntry("a", "x", 5, 50, Ready), true, 0))
		at := time.Duration(rapid.IntRange(0, 50).Draw(t, "silent seconds")) * time.Second
		end := at + confirmGap
		for i := range rapid.IntRange(1, 6).Draw(t, "late") {
			r.Merge(heard(newEntry("a", "y", rapid.Int64Range(4, 5).Draw(t, "start"), rapid.Uint64Range(1, 49).Draw(t, "sequence"), Ready), true, at))
			if got, _ := r.Get("a"); got.Address != "x" {
				t.Fatalf("announcement %d replaced the entry: %+v", i, got)
			}
			at = min(at+time.Duration(rapid.IntRange(0, 300).Draw(t, "delay ms"))*time.Millisecond, end-1)
		}
	})
}

// Guards against one late announcement that is sent twice, because the first call was
// lost, and so seems to come from a live server.
func TestRepeatedLateAnnouncementDoesNotReplaceNewerOne(t *testing.T) {
	r := New()
	r.Merge(heard(newEntry("a", "x", 5, 50, Ready), true, 0))
	for _, after := range []time.Duration{10 * time.Second, 12 * time.Second} {
		r.Merge(heard(newEntry("a", "y", 5, 49, Ready), true, after))
	}
	got, _ := r.Get("a")
	assert.Equal(t, got.Address, "x")
}

// Guards against a server that becomes ready again after it withdrew or announced
// its shutdown.
func TestOlderAnnouncementsDoNotEndAShutdown(t *testing.T) {
	for _, state := range []State{Draining, Gone} {
		r := New()
		r.Merge(heard(newEntry("a", "x", 5, 50, state), true, 0))
		for n := time.Duration(1); n < 20; n++ {
			r.Merge(heard(newEntry("a", "x", 5, uint64(n), Ready), true, n*beat))
		}
		got, _ := r.Get("a")
		assert.Equal(t, got.State, state)
	}
}

// Guards against an entry of another writer with the address of a server, which hid
// the server until it expired.
func TestSilentEntryDoesNotHideServerAtItsAddress(t *testing.T) {
	for _, c := range []struct {
		name  string
		state State
		after time.Duration
		want  string
	}{
		{"newer start", Ready, restartGap, "odd"},
		{"silent", Ready, restartGap + time.Millisecond, "a"},
		{"withdrew", Gone, time.Minute, "odd"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Merge(heard(newEntry("odd", "x", 9, 1, c.state), true, 0))
			r.Merge(heard(newEntry("a", "x", 1, 1, Ready), true, c.after))
			got := r.NewestPerAddress()
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].ID, c.want)
		})
	}
}
