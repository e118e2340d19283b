package dispatch

import "time"

const (
	// maxEngineSilence is how long an engine may send nothing to this host while requests
	// of this host run there. The rest of the evidence is maxAnnouncementAge.
	maxEngineSilence = time.Second
	// maxAnnouncementAge covers two announcement intervals.
	maxAnnouncementAge = 2500 * time.Millisecond
	// maxObservationGap is the time between two checks from which this host may have been
	// suspended: what it has not read yet is no silence.
	maxObservationGap = 500 * time.Millisecond
)

// checkSilence marks the engines down that neither answer this host nor announce
// themselves; health checks tell when they are back. Their requests take up slots until
// their callers leave. Then such an engine looks idle and keeps the prompts of just these
// callers, so that they would be sent to it once more.
func (d *Dispatcher) checkSilence(now time.Time) {
	if now.Sub(d.silenceCheckedAt) > maxObservationGap {
		d.observedSince = now
	}
	d.silenceCheckedAt = now
	if now.Sub(d.observedSince) <= maxEngineSilence {
		return
	}
	for _, s := range d.servers {
		if s.isEngine() && s.info.Ready && s.downSince.IsZero() && s.isSilent(now) {
			s.markDown(now)
		}
	}
}

// isSilent reports whether the server has sent nothing for too long although requests of
// this host run there. An announcement that is cut off alone is no silence, nor is an
// engine that reads a long prompt.
func (s *server) isSilent(now time.Time) bool {
	return s.running > 0 && now.Sub(s.busySince) > maxEngineSilence && now.Sub(s.heardAt) > maxEngineSilence && now.Sub(s.info.Heard) > maxAnnouncementAge
}
