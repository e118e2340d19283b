package streamrecord

import (
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

const (
	// DoubtTime is how long after its start the announcement of a server process may
	// arrive: an announcement interval of 1.2 s and some delay. Until then, the release
	// of an answer may be that of the process before.
	DoubtTime = 5 * time.Second
	// announcementDelay is the part of DoubtTime that allows for the way of the last
	// announcement of the process before.
	announcementDelay = DoubtTime - 1200*time.Millisecond
	// MaxDoubtTime bounds DoubtWindow. A registry takes a process that seems older after
	// 5 s of silence and up to two announcement intervals.
	MaxDoubtTime = 12 * time.Second
	// replacementTime is how long a replacement is kept. Partitions last minutes, and an
	// edge host that is cut off asks the process before meanwhile.
	replacementTime = 10 * time.Minute
	// maxReplacements bounds the replacements that are kept. A core host that restarts
	// keeps one for each server.
	maxReplacements = 1 << 14
)

// Replacement states that a process of a server announced itself which was not known.
type Replacement struct {
	Before  Process // known until then, NoProcess if none was
	After   Process
	Release release.ID // of After
	// Silence is the time since Before was last heard, if After seems older and was not
	// believed meanwhile, otherwise 0.
	Silence time.Duration
}

// DoubtWindow returns how long before an announcement the new process may have written
// streams. The silence is that of Replacement.
func DoubtWindow(silence time.Duration) time.Duration {
	return min(max(DoubtTime, silence+announcementDelay), MaxDoubtTime)
}

// replaces reports whether the process may have ended by the time of the announcement.
// A process that is neither known nor older may be a newer one that this host has not
// heard of. Processes without a start time look equal to After, so one that is equal to
// it may be an earlier one.
func (r *Replacement) replaces(p Process) bool {
	if p == r.After {
		return !p.statesStart() || p == r.Before
	}
	return p.server() == r.After.server() && (p == r.Before || p.startedBefore(r.After))
}

// recentRecord is a record that was put within MaxDoubtTime.
type recentRecord struct {
	key     Key
	process Process
	at      time.Duration // since Table.base
}

// storedReplacement is the last replacement of a server.
type storedReplacement struct {
	Replacement
	at      time.Duration // since Table.base
	several bool          // replacements before named other releases
	changed bool          // the same, without the one that introduced the server to this host
}

// replacementSet holds the last replacement of each server.
type replacementSet struct {
	byServer map[uint32]storedReplacement
	order    []replacedServer // oldest first; includes those that were replaced again
}

type replacedServer struct {
	server uint32
	at     time.Duration
}

// Replace makes the release of the streams unknown that the process After of another
// release may have written: their records name a process that it replaces and were put
// within DoubtWindow, or are put later. It returns the number of records that it changed.
//
// Sound streams of the process before are among them. The time of its last announcement
// does not prove them: it may have been long on its way, and clocks differ.
func (t *Table) Replace(now time.Time, r Replacement) (doubted int) {
	at := t.advance(now)
	t.replacements.store(at, r)
	window := DoubtWindow(r.Silence)
	for _, recent := range slices.Backward(t.recent) {
		if at-recent.at > window {
			break
		}
		if !r.replaces(recent.process) {
			continue // most records are of other servers, and a look-up costs more
		}
		e := t.records[recent.key]
		if e != nil && e.release != release.Unknown && e.release != r.Release {
			e.release = release.Unknown
			doubted++
		}
	}
	return doubted
}

// noteProcess remembers the process of a record for MaxDoubtTime.
func (t *Table) noteProcess(at time.Duration, r *Record) {
	if r.Process == NoProcess || r.Release == release.Unknown {
		return
	}
	if len(t.recent) >= t.maxRecords {
		t.recent = t.recent[1:]
		t.dropped++
	}
	t.recent = append(t.recent, recentRecord{key: r.Key, process: r.Process, at: at})
}

// advanceDoubt removes the processes of older records and old replacements.
func (t *Table) advanceDoubt(at time.Duration) {
	expired := 0
	for expired < len(t.recent) && at-t.recent[expired].at > MaxDoubtTime {
		expired++
	}
	if t.recent = t.recent[expired:]; len(t.recent) == 0 {
		t.recent = nil
	}
	t.replacements.removeExpired(at)
}

// recentProcesses returns the processes of the records that were put within DoubtTime,
// several if an id was used for streams at several servers.
func (t *Table) recentProcesses(at time.Duration) map[Key][]Process {
	out := make(map[Key][]Process, len(t.recent))
	for _, r := range t.recent {
		if at-r.at <= DoubtTime && !slices.Contains(out[r.key], r.process) {
			out[r.key] = append(out[r.key], r.process)
		}
	}
	return out
}

// store keeps the replacement. The oldest one is dropped if there are too many.
func (s *replacementSet) store(at time.Duration, r Replacement) {
	server := r.After.server()
	before, known := s.byServer[server]
	differs := known && before.Release != r.Release
	s.byServer[server] = storedReplacement{
		Replacement: r, at: at, several: before.several || differs, changed: before.changed || differs && before.Before != NoProcess,
	}
	s.order = append(s.order, replacedServer{server, at})
	if len(s.order) > maxReplacements {
		s.removeOldest()
	}
}

func (s *replacementSet) removeExpired(at time.Duration) {
	for len(s.order) > 0 && at-s.order[0].at > replacementTime {
		s.removeOldest()
	}
}

func (s *replacementSet) removeOldest() {
	first := s.order[0]
	s.order = s.order[1:]
	if s.byServer[first.server].at == first.at {
		delete(s.byServer, first.server)
	}
}

// doubts reports whether another process than the one in the record may have written
// its stream: it was replaced before the record arrived.
func (s *replacementSet) doubts(at time.Duration, r *Record) bool {
	if r.Process == NoProcess {
		return false
	}
	last, known := s.byServer[r.Process.server()]
	switch {
	case !known || !last.replaces(r.Process):
		return false
	case last.Release != r.Release:
		return true
	}
	// A record that names After can be one of a process before that looks equal, but
	// those of After itself must not be refused for replacementTime.
	if r.Process == last.After {
		return last.changed && at-last.at <= DoubtTime
	}
	return last.several
}
