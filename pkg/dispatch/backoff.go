package dispatch

import "time"

// LongestPause bounds the time that a server may ask for when it turns a
// request away. A longer one would keep a server with a broken clock or
// configuration out of use until it restarts.
const LongestPause = time.Minute

// TurnedAway tells that a server wants nothing from this edge host for a time.
// Answers of concurrent requests may come in any order, so the longest holds.
func (d *Dispatcher) TurnedAway(now time.Time, id string, pause time.Duration) {
	s := d.servers[id]
	if s == nil {
		return
	}
	if until := now.Add(min(pause, LongestPause)); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

func (s *server) paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// pauseLeft returns the time until the first server of a service takes work
// again, 0 unless all that are up want none.
func (d *Dispatcher) pauseLeft(now time.Time, service string) time.Duration {
	g := d.services[service]
	if g == nil {
		return 0
	}
	least := time.Duration(0)
	for _, s := range g.servers {
		if !s.info.Ready || !s.downSince.IsZero() {
			continue
		}
		if !s.paused(now) {
			return 0
		}
		if left := s.pausedUntil.Sub(now); least == 0 || left < least {
			least = left
		}
	}
	return least
}
