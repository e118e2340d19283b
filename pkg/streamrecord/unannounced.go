package streamrecord

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Records is a Table that also holds records of streams whose process has not announced itself:
// they name the process and no release. Until the process is announced, and if it never is, the
// state of such a stream is Conflict, then its release is that of the process. It is not safe
// for concurrent use.
type Records struct {
	*Table
	unannounced map[Key]Record
	order       []Record // of unannounced, oldest first; includes some that were removed
}

// NewRecords returns empty Records of at most maxRecords records of each kind.
func NewRecords(maxRecords int) *Records {
	return &Records{Table: New(maxRecords), unannounced: map[Key]Record{}}
}

// Put merges a record like Table.Put.
func (w *Records) Put(now time.Time, r Record) (changed bool) {
	if r.Release != release.Unknown || r.Process == NoProcess {
		return w.Table.Put(now, r)
	}
	w.removeExpiredUnannounced(now)
	known, isKnown := w.unannounced[r.Key]
	latest := now.Add(MaxTTL)
	switch id, isAnnounced := w.announced(now, r.Process); {
	case isAnnounced:
		r.Release = id
	case isKnown && known.Process != r.Process: // the id was used twice
		delete(w.unannounced, r.Key)
	case len(w.order) >= w.maxRecords:
		w.dropped++
	case !r.Expires.After(now):
		return false
	default:
		if r.Expires.After(latest) {
			r.Expires = latest
		}
		if isKnown && !r.Expires.After(known.Expires) {
			return false
		}
		w.unannounced[r.Key] = r
		w.order = append(w.order, r)
		return true
	}
	r.Process = NoProcess
	return w.Table.Put(now, r)
}

// Get returns what is known like Table.Get.
func (w *Records) Get(now time.Time, k Key) (release.ID, State) {
	if r, ok := w.unannounced[k]; ok && r.Expires.After(now) {
		return release.Unknown, Conflict
	}
	return w.Table.Get(now, k)
}

// Announce gives the streams of the process their release, and returns how many there are.
func (w *Records) Announce(now time.Time, p Process, id release.ID) (resolved int) {
	w.removeExpiredUnannounced(now)
	for k, r := range w.unannounced {
		if r.Process != p {
			continue
		}
		delete(w.unannounced, k)
		r.Release, r.Process = id, NoProcess
		w.Table.Put(now, r)
		resolved++
	}
	return resolved
}

// Live returns all records like Table.Live.
func (w *Records) Live(now time.Time) []Record {
	w.removeExpiredUnannounced(now)
	out := w.Table.Live(now)
	for _, r := range w.unannounced {
		out = append(out, r)
	}
	return out
}

// announced returns the release of a process that is the last one which its server has
// announced, as far as it is remembered.
func (w *Records) announced(now time.Time, p Process) (release.ID, bool) {
	w.advance(now)
	last, known := w.replacements.byServer[p.server()]
	return last.Release, known && last.After == p
}

// removeExpiredUnannounced removes expired records from the front of the order. Records have
// about the same lifetime.
func (w *Records) removeExpiredUnannounced(now time.Time) {
	for len(w.order) > 0 {
		first := w.order[0]
		current, ok := w.unannounced[first.Key]
		isCurrent := ok && current == first
		if isCurrent && first.Expires.After(now) {
			return
		}
		if isCurrent {
			delete(w.unannounced, first.Key)
		}
		w.order = w.order[1:]
	}
	w.order = nil
}
