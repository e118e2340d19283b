package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

const (
	// leavingDigestCount is the number of digests and summaries that list a newly
	// learned leaving server. Complete digests list it until leavingTTL has passed.
	leavingDigestCount = 5
	// leavingTTL is how long a leaving server is listed. By then its own
	// announcements say so, or it has stopped.
	leavingTTL = 10 * time.Second
)

// leaving identifies a server process that stated in a response that it is shutting
// down.
type leaving struct {
	id        string
	startMS   int64
	learnedAt time.Time
	timesSent int // digests and summaries that have listed the server
}

// applyServerHints applies what a response head states about the server: that it
// is shutting down, that it wants no requests from this host for a time, or how many
// requests a second it takes from all hosts. The head of a stream is sent at its start
// only; later changes arrive with other responses and with announcements. sentAt is when
// the answered request was sent.
func (s *Server) applyServerHints(v dispatch.Decision, reply ResponseMetadata, sentAt time.Time) {
	s.applyLimit(v, reply.Limit, sentAt)
	if reply.Leaving {
		s.markLeaving(time.Now(), v.Server, v.StartMS)
	}
	if reply.RetryAfter > 0 {
		if s.refusalLogLimiter.Allow() {
			s.log.WithFields(logrus.Fields{"server": v.Server, "pause_ms": reply.RetryAfter.Milliseconds()}).Info("server asked this host to pause requests")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatcher.BackOff(time.Now(), v.Server, reply.RetryAfter)
	}
}

// markLeaving stops new requests to a server process that is shutting down and
// lists it in the next digests to other edge hosts.
func (s *Server) markLeaving(now time.Time, id string, startMS int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fleetView.servers.MarkLeaving(id, startMS) {
		return
	}
	s.log.WithFields(logrus.Fields{"server": id, "born_ms": startMS}).Info("server is shutting down")
	s.leaving = append(s.leaving, leaving{id: id, startMS: startMS, learnedAt: now})
	s.dispatcher.SetServers(now, s.fleetView.serverInfos(now))
}

// appendLeaving adds the leaving servers to a digest and removes expired ones. The
// caller must hold s.mu.
func (s *Server) appendLeaving(now time.Time, m *apiv1.LoadDigest) {
	kept := s.leaving[:0]
	for _, l := range s.leaving {
		if now.Sub(l.learnedAt) > leavingTTL {
			continue
		}
		if l.timesSent < leavingDigestCount || m.GetComplete() {
			l.timesSent++
			m.Leaving = append(m.Leaving, &apiv1.LeavingServer{Id: l.id, BornMs: l.startMS})
		}
		kept = append(kept, l)
	}
	s.leaving = kept
}
