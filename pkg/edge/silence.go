package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// avoidanceLogInterval is the time between two looks at which silent servers are avoided.
const avoidanceLogInterval = 200 * time.Millisecond

// watchAvoidance logs and counts which servers are avoided because they are silent.
func (s *Server) watchAvoidance() {
	s.runEvery(avoidanceLogInterval, func() {
		s.mu.Lock()
		changes := s.dispatcher.TakeAvoidanceChanges()
		s.mu.Unlock()
		s.recordAvoidance(changes)
	})
}

// recordAvoidance logs and counts changes of which servers are avoided.
func (s *Server) recordAvoidance(changes []dispatch.AvoidanceChange) {
	for _, c := range changes {
		name := "edge.servers.avoided"
		if !c.Avoided {
			name = "edge.servers.avoided_no_longer"
		}
		metrics.GetOrRegisterCounter(name, s.metrics.registry).Inc(1)
		s.log.WithFields(logrus.Fields{
			"server": c.Server, "avoided": c.Avoided, "since_heard_ms": c.SinceHeard.Milliseconds(), "since_announcement_ms": c.SinceAnnouncement.Milliseconds(), "own": c.OwnRequests,
		}).Info("avoidance of a silent server changed")
	}
}
