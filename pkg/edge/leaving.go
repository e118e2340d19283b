package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

const (
	// leavingRepeats is in how many digests and summaries after the news a server
	// that leaves is named; complete ones name it as well for leavingMemory.
	leavingRepeats = 5
	// leavingMemory is how long a server that leaves is named. It has then
	// announced it, or is gone.
	leavingMemory = 10 * time.Second
)

// leaving is a start of a server that said in an answer that it leaves.
type leaving struct {
	id     string
	bornMS int64
	since  time.Time
	told   int
}

// heed takes what the head of an answer says about the server itself. A stream
// says it in its head only; what it says later comes with other answers and
// with announcements.
func (s *Server) heed(v dispatch.Verdict, reply Reply) {
	if reply.Leaving {
		s.leaves(time.Now(), v.Server, v.BornMS)
	}
	if reply.Pause > 0 {
		if s.refusals.Allow() {
			s.log.WithFields(logrus.Fields{"server": v.Server, "pause_ms": reply.Pause.Milliseconds()}).Info("a server wants nothing from this host for a while")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatcher.TurnedAway(time.Now(), v.Server, reply.Pause)
	}
}

// leaves keeps new work from a start of a server, and tells the other edge
// hosts of it.
func (s *Server) leaves(now time.Time, id string, bornMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.view.servers.Leave(id, bornMS) {
		return
	}
	s.log.WithFields(logrus.Fields{"server": id, "born_ms": bornMS}).Info("a server leaves")
	s.leaving = append(s.leaving, leaving{id: id, bornMS: bornMS, since: now})
	s.dispatcher.SetServers(now, s.view.infos(now))
}

// addLeaving names the servers that leave in a digest; it needs the lock.
func (s *Server) addLeaving(now time.Time, m *apiv1.LoadDigest) {
	kept := s.leaving[:0]
	for _, l := range s.leaving {
		if now.Sub(l.since) > leavingMemory {
			continue
		}
		if l.told < leavingRepeats || m.GetComplete() {
			l.told++
			m.Leaving = append(m.Leaving, &apiv1.LeavingServer{Id: l.id, BornMs: l.bornMS})
		}
		kept = append(kept, l)
	}
	s.leaving = kept
}
