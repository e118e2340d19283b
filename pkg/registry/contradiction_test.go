package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newProcess returns an announcement that a server of data centre z1 sends directly.
func newProcess(sequence uint64, at time.Duration) Entry {
	e := newEntry("a", "x", 7, sequence, Ready)
	e.DataCentre, e.Release, e.Heard, e.HeardDirectly = "z1", 3, start.Add(at), true
	return e
}

// otherWriters are changes of what a server process can't change.
var otherWriters = map[string]func(e *Entry){
	"service": func(e *Entry) { e.Service = "t" },
	"address": func(e *Entry) { e.Address = "y" },
	"zone":    func(e *Entry) { e.DataCentre = "z2" },
	"no zone": func(e *Entry) { e.DataCentre = "" },
	"release": func(e *Entry) { e.Release = 4 },
	"unknown": func(e *Entry) { e.Release = 0 },
}

// Guards against an announcement of another writer that replaces what a running server
// states of itself, and against the server's own announcements that count as late after it.
func TestContradictionChangesNothing(t *testing.T) {
	for name, change := range otherWriters {
		for _, state := range []State{Ready, Draining} {
			t.Run(name+"/"+state.String(), func(t *testing.T) {
				r := New()
				first := newProcess(1, 0)
				first.State = state
				r.Merge(first)
				for i := range 30 { // it goes on for half a minute
					own, odd := newProcess(uint64(i+2), time.Duration(i)*time.Second), newProcess(uint64(i+1_000_000), time.Duration(i)*time.Second)
					own.State = state
					change(&odd)
					assert.Equal(t, r.Merge(odd), Stale)
					assert.Equal(t, r.Merge(own), Renewed)
				}
				got, _ := r.Get("a")
				assert.Equal(t, got.DataCentre+got.Service+got.Address+got.Release.String()+got.State.String(), "z1sx3"+state.String())
			})
		}
	}
}

// Guards against a server that is shut out because another writer announced it first:
// the server's own announcements replace that entry, on all hosts.
func TestServerOutlivesTheContradictionBeforeIt(t *testing.T) {
	for name, change := range otherWriters {
		t.Run(name, func(t *testing.T) {
			core, other := New(), New()
			odd := newProcess(1_000_000, 0)
			change(&odd)
			core.Merge(odd)
			other.Merge(FromProto(odd.ToProto(start), start))
			for i := range 10 {
				core.Merge(newProcess(uint64(i), time.Duration(i)*time.Second))
			}
			now := start.Add(9 * time.Second)
			got, _ := core.Get("a")
			assert.Equal(t, got.DataCentre, "z1")
			assert.Equal(t, got.Release.String(), "3")
			other.Renew("a", 7, now.Add(-time.Second)) // hosts state the start alone
			other.Merge(FromProto(got.ToProto(now), now))
			got, _ = other.Get("a")
			assert.Equal(t, got.DataCentre+got.Service+got.Address+got.Release.String(), "z1sx3")
		})
	}
}

// Guards against a host that has just started, knows no server yet, and spreads what
// another writer told it over what the others know.
func TestContradictionThroughAnotherHostChangesNothing(t *testing.T) {
	for name, change := range otherWriters {
		t.Run(name, func(t *testing.T) {
			known, started := New(), New()
			known.Merge(newProcess(1, 0))
			odd := newProcess(1_000_000, 10*time.Second)
			change(&odd)
			now := start.Add(10 * time.Second)
			own := newProcess(9, 10*time.Second)
			known.Merge(own)
			started.Merge(odd)
			fromStarted, _ := started.Get("a")
			fromKnown, _ := known.Get("a")
			known.Merge(FromProto(fromStarted.ToProto(now), now))
			started.Merge(FromProto(fromKnown.ToProto(now), now))
			for _, r := range []*Registry{known, started} {
				got, _ := r.Get("a")
				assert.Equal(t, got.DataCentre+got.Service+got.Address+got.Release.String(), "z1sx3")
			}
		})
	}
}
