package dispatch

import "time"

// maxAnnouncementDelay is the longest time that an announcement takes. A process that is
// heard later than that after its end was recorded has not ended.
const maxAnnouncementDelay = 10 * time.Second

// RecordEnd records that the process of a server with that start has ended. Another one
// may run there before it announces itself, with another release: no stream goes on or
// begins there until then.
func (d *Dispatcher) RecordEnd(now time.Time, id string, startMS int64) {
	if s := d.servers[id]; s != nil && s.info.StartMS == startMS {
		s.endedAt = now
	}
}

// RecordOtherProcess records that another process than the announced one, with that start, has
// answered on a connection to the server. No stream goes on there until that process has
// announced itself. Others begin there: what they need no proof for is not refused by a
// statement that may be wrong.
func (d *Dispatcher) RecordOtherProcess(now time.Time, id string, startMS int64) {
	if s := d.servers[id]; s != nil && s.info.StartMS == startMS {
		s.otherAt = now
	}
}

// HasEnded reports whether the end of the process was recorded and no other one of the
// server has announced itself since.
func (d *Dispatcher) HasEnded(id string, startMS int64) bool {
	s := d.servers[id]
	return s != nil && s.info.StartMS == startMS && s.hasEnded()
}

// hasEnded reports whether the process that the server announced has ended.
func (s *server) hasEnded() bool { return !s.endedAt.IsZero() }

// refuteEnd forgets the end, or the other process, if the process announces itself later than
// it could have before.
func (s *server) refuteEnd(heard time.Time) {
	if s.hasEnded() && heard.Sub(s.endedAt) > maxAnnouncementDelay {
		s.endedAt = time.Time{}
	}
	if heard.Sub(s.otherAt) > maxAnnouncementDelay {
		s.otherAt = time.Time{}
	}
}
