package core

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

const (
	// maxStreamRecords bounds the records of all edge hosts: 4,369 new streams a second
	// at the longest lifetime.
	maxStreamRecords = 1 << 18
	// dropLogInterval bounds the log lines on dropped records.
	dropLogInterval = 10 * time.Second
)

// streamRecords holds the records of this host on which release began a stream. They
// are in memory only: edge hosts send theirs again to a host that restarted. It is safe
// for concurrent use.
type streamRecords struct {
	log      *logrus.Entry
	records  metrics.Gauge
	dropped  metrics.Counter
	doubted  metrics.Counter // records whose release became unknown because their server was restarted
	answers  map[streamrecord.State]metrics.Counter
	logDrops rate.Sometimes

	mu    sync.Mutex // guards table
	table *streamrecord.Records
}

func newStreamRecords(log *logrus.Entry, r metrics.Registry, maxRecords int) *streamRecords {
	s := &streamRecords{
		log:      log,
		records:  metrics.GetOrRegisterGauge("core.streams.records", r),
		dropped:  metrics.GetOrRegisterCounter("core.streams.dropped", r),
		doubted:  metrics.GetOrRegisterCounter("core.streams.doubted", r),
		answers:  map[streamrecord.State]metrics.Counter{},
		logDrops: rate.Sometimes{Interval: dropLogInterval},
		table:    streamrecord.NewRecords(maxRecords),
	}
	for state := streamrecord.Unknown; state <= streamrecord.Unconfirmed; state++ {
		s.answers[state] = metrics.GetOrRegisterCounter("core.streams.queries."+state.String(), r)
	}
	return s
}

// store merges the records of a message.
func (s *streamRecords) store(now time.Time, records []streamrecord.Record) {
	s.mu.Lock()
	before := s.table.Dropped()
	for _, r := range records {
		s.table.Put(now, r)
	}
	dropped := int64(s.table.Dropped() - before)
	s.records.Update(int64(s.table.Len()))
	s.mu.Unlock()
	s.countDropped(dropped, "too many stream records")
}

// get returns what the table knows about a stream.
func (s *streamRecords) get(now time.Time, k streamrecord.Key) (release.ID, streamrecord.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(now, k)
}

// replace makes the release of the streams unknown that the new process of the server
// may have written, and known of those that it has written. The edge host that began them
// does the same, unless it has ended.
func (s *streamRecords) replace(now time.Time, server string, r streamrecord.Replacement) {
	s.mu.Lock()
	doubted := s.table.Replace(now, r)
	resolved := s.table.Announce(now, r.After, r.Release)
	s.mu.Unlock()
	if resolved > 0 {
		s.log.WithFields(logrus.Fields{"server": server, "release": r.Release.String(), "streams": resolved}).Info("release of streams is known, because their server has announced itself")
	}
	if doubted > 0 {
		s.doubted.Inc(int64(doubted))
		s.log.WithFields(logrus.Fields{"server": server, "release": r.Release.String(), "streams": doubted}).Info("release of streams is in doubt, because their server was restarted")
	}
}

// removeExpired frees the memory of expired records when no message arrives.
func (s *streamRecords) removeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RemoveExpired(now)
	s.records.Update(int64(s.table.Len()))
}

// countDropped counts records and queries that are not used, and logs them.
func (s *streamRecords) countDropped(n int64, cause string) {
	if n == 0 {
		return
	}
	s.dropped.Inc(n)
	s.logDrops.Do(func() {
		s.log.WithFields(logrus.Fields{"dropped": s.dropped.Count(), "cause": cause}).Warn("stream records or queries dropped")
	})
}
