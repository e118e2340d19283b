package streamrecord

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// statement is what a record says of a stream.
type statement struct {
	process Process    // NoProcess if the release is stated
	release release.ID // release.Unknown for a conflict
}

// namesSeveral reports whether the statements name several processes.
func namesSeveral(all []statement) bool {
	named := map[Process]bool{}
	for _, s := range all {
		if s.process != NoProcess {
			named[s.process] = true
		}
	}
	return len(named) > 1
}

// Guards against a stream that goes on at the release which a process had before, or at none
// although its process was announced: in any order of records and announcements, and whatever
// a restarted host is told again.
func TestReleaseFollowsFromTheAnnouncementOfTheProcess(t *testing.T) {
	resolved, conflicts := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w, now := NewRecords(100), start
		stated, announced := map[Key][]statement{}, map[Process]release.ID{}
		announce := func(w *Records, p Process, id release.ID) {
			w.Replace(now, Replacement{After: p, Release: id})
			w.Announce(now, p, id)
		}
		want := func(k Key) (release.ID, State) {
			var all []release.ID
			for _, s := range stated[k] {
				id, isAnnounced := announced[s.process]
				if s.process != NoProcess && !isAnnounced {
					return release.Unknown, Conflict
				}
				if s.process == NoProcess {
					id = s.release
				}
				all = append(all, id)
			}
			switch slices.Sort(all); {
			case len(all) == 0:
				return release.Unknown, Unknown
			case all[0] != all[len(all)-1] || all[0] == release.Unknown:
				return release.Unknown, Conflict
			}
			return all[0], Recorded
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			k := Key{byte(rapid.IntRange(0, 4).Draw(t, "key"))}
			p := ProcessOf(fmt.Sprint("server ", rapid.IntRange(0, 3).Draw(t, "server")), 1_700_000_000_000)
			id := release.ID(rapid.Uint64Range(1, 2).Draw(t, "release"))
			switch rapid.SampledFrom([]string{"begins", "begins", "stated", "announced", "restarted"}).Draw(t, "step") {
			case "begins":
				w.Put(now, Record{Key: k, Process: p, Expires: start.Add(MaxTTL)})
				stated[k] = append(stated[k], statement{process: p})
			case "stated":
				w.Put(now, Record{Key: k, Release: id, Expires: start.Add(MaxTTL)})
				stated[k] = append(stated[k], statement{release: id})
			case "announced":
				if _, ok := announced[p]; !ok {
					announced[p] = id
					announce(w, p, id)
				}
			case "restarted":
				other := NewRecords(100)
				for p, id := range announced {
					announce(other, p, id)
				}
				for _, r := range w.Live(now) {
					other.Put(now, r)
				}
				w = other
			}
			for k := range stated {
				wantID, wantState := want(k)
				id, state := w.Get(now, k)
				if state == Conflict && namesSeveral(stated[k]) {
					continue // the id was used for several streams, and refusing them is safe
				}
				assert.Equal(t, state, wantState, "%v", stated[k])
				assert.Equal(t, id, wantID)
				if state == Recorded && stated[k][0].process != NoProcess {
					resolved++
				}
				if state == Conflict {
					conflicts++
				}
			}
		}
	})
	assert.Assert(t, resolved > 100 && conflicts > 100, "%d resolved, %d conflicts", resolved, conflicts)
}

// Guards against memory that grows with the streams of a process that never announces itself,
// and against a guess for those that are not kept.
func TestUnannouncedStreamsAreBounded(t *testing.T) {
	const limit = 10
	w, p := NewRecords(limit), ProcessOf("a", 1_700_000_000_000)
	record := func(n int) Record {
		return Record{Key: Key{byte(n)}, Process: p, Expires: start.Add(time.Minute)}
	}
	for n := range 2 * limit {
		w.Put(start, record(n))
	}
	assert.Equal(t, len(w.unannounced), limit)
	assert.Equal(t, w.Dropped(), uint64(limit))
	for n := range 2 * limit {
		_, state := w.Get(start, record(n).Key)
		assert.Equal(t, state, Conflict)
	}
	later := start.Add(time.Minute)
	_, state := w.Get(later, record(0).Key)
	assert.Equal(t, state, Unknown)
	assert.Equal(t, len(w.Live(later)), 0)
	assert.Equal(t, len(w.unannounced)+len(w.order), 0)
	assert.Equal(t, w.Announce(later, p, 1), 0)
}
