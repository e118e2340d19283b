package edge

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

const (
	// limitLogInterval is the time between two looks at which servers limit their requests.
	limitLogInterval = 200 * time.Millisecond
	// limitLogRate (lines per second) and limitLogBurst bound the lines about changes. A
	// server may state another limit in each answer.
	limitLogRate  = 10
	limitLogBurst = 200
)

// applyLimit applies what a response states about the limit of its server.
func (s *Server) applyLimit(v dispatch.Decision, l RequestLimit, sentAt time.Time) {
	if l.Invalid {
		metrics.GetOrRegisterCounter("edge.limits.invalid", s.metrics.registry).Inc(1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.RecordLimit(time.Now(), v.Server, v.StartMS, sentAt, l.PerSecond, l.Stated)
}

// watchLimits logs and counts which servers limit their requests.
func (s *Server) watchLimits() {
	limiter := rate.NewLimiter(limitLogRate, limitLogBurst)
	s.runEvery(limitLogInterval, func() {
		s.mu.Lock()
		news := s.dispatcher.TakeLimitNews(time.Now())
		s.mu.Unlock()
		metrics.GetOrRegisterGauge("edge.limits.servers", s.metrics.registry).Update(int64(news.Limited))
		metrics.GetOrRegisterCounter("edge.limits.held", s.metrics.registry).Inc(int64(news.Held))
		s.logLimits(limiter, news.Changes)
	})
}

func (s *Server) logLimits(limiter *rate.Limiter, changes []dispatch.LimitChange) {
	for _, c := range changes {
		metrics.GetOrRegisterCounter("edge.limits.changes", s.metrics.registry).Inc(1)
		if !limiter.Allow() {
			continue
		}
		s.log.WithFields(logrus.Fields{"server": c.Server, "before": loggedLimit(c.Before), "after": loggedLimit(c.After)}).Info("request limit of a server changed")
	}
}

// loggedLimit returns a limit for a log line in JSON, which has no infinity.
func loggedLimit(perSecond float64) any {
	if math.IsInf(perSecond, 1) {
		return "none"
	}
	return perSecond
}
