package dispatch

import "time"

// MaxBackoff bounds the backoff that a server may ask for when it rejects a
// request. A longer one would keep a server with a wrong clock or configuration
// out of use until it restarts.
const MaxBackoff = time.Minute

// BackOff records that a server asked this edge host to send nothing for the
// given time. Answers to concurrent requests arrive in any order, so the latest
// end applies.
func (d *Dispatcher) BackOff(now time.Time, id string, backoff time.Duration) {
	s := d.servers[id]
	if s == nil {
		return
	}
	if until := now.Add(min(backoff, MaxBackoff)); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// inBackoff reports whether the server asked for a backoff that has not ended.
func (s *server) inBackoff(now time.Time) bool { return now.Before(s.backoffUntil) }

// remainingBackoff returns the time until the first available server that the request
// may use ends its backoff, or 0 if one of them is not in backoff.
func (d *Dispatcher) remainingBackoff(now time.Time, r *Request) time.Duration {
	svc := d.services[r.Service]
	if svc == nil {
		return 0
	}
	shortest := time.Duration(0)
	for _, s := range svc.serversOf(r) {
		if !s.info.Ready || !s.downSince.IsZero() {
			continue
		}
		if !s.inBackoff(now) {
			return 0
		}
		if remaining := s.backoffUntil.Sub(now); shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}
