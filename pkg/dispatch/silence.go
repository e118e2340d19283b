package dispatch

import (
	"slices"
	"time"
)

const (
	// maxEngineSilence is how long an engine may send nothing to this host while requests
	// of this host run there. The rest of the evidence is maxAnnouncementAge.
	maxEngineSilence = time.Second
	// maxAnnouncementAge covers two announcement intervals.
	maxAnnouncementAge = 2500 * time.Millisecond
	// maxObservationGap is the time between two checks from which this host may have been
	// suspended: what it has not read yet is no silence.
	maxObservationGap = 500 * time.Millisecond
	// maxSilenceNewsAge is how long a digest counts that says that a server is silent. A
	// complete digest repeats it, and one of these may be lost.
	maxSilenceNewsAge = 2*completeInterval + completeInterval/2
)

// checkSilence notes the engines that neither answer this host nor announce themselves.
// Their requests take up slots until their callers leave. Then such an engine looks idle
// and keeps the prompts of just these callers, so that they would be sent to it once more.
func (d *Dispatcher) checkSilence(now time.Time) {
	if now.Sub(d.silenceCheckedAt) > maxObservationGap {
		d.observedSince = now
	}
	d.silenceCheckedAt = now
	observed := now.Sub(d.observedSince) > maxEngineSilence
	for _, s := range d.servers {
		if observed && s.isEngine() && s.info.Ready && s.downSince.IsZero() && s.isSilent(now) {
			s.silentAt = now
		}
		d.noteAvoidance(now, s)
	}
}

// AvoidanceChange says that requests avoid a silent server from now on, or no longer.
type AvoidanceChange struct {
	Server            string
	Avoided           bool
	SinceHeard        time.Duration // since its last event or answer to this host, 0 for none
	SinceAnnouncement time.Duration
	OwnRequests       int // of this edge host that run there
}

// maxAvoidanceChanges bounds the changes that are kept until they are taken.
const maxAvoidanceChanges = 1024

// noteAvoidance keeps a change for TakeAvoidanceChanges.
func (d *Dispatcher) noteAvoidance(now time.Time, s *server) {
	avoided := s.isAvoided(now)
	if avoided == s.wasAvoided || len(d.avoidanceChanges) >= maxAvoidanceChanges {
		return
	}
	s.wasAvoided = avoided
	c := AvoidanceChange{Server: s.info.ID, Avoided: avoided, SinceAnnouncement: now.Sub(s.info.Heard), OwnRequests: s.running}
	if !s.heardAt.IsZero() {
		c.SinceHeard = now.Sub(s.heardAt)
	}
	d.avoidanceChanges = append(d.avoidanceChanges, c)
}

// TakeAvoidanceChanges returns the changes since the last call.
func (d *Dispatcher) TakeAvoidanceChanges() []AvoidanceChange {
	out := d.avoidanceChanges
	d.avoidanceChanges = nil
	return out
}

// isSilent reports whether the server has sent nothing for too long although requests of
// this host run there and it should have prefilled them. An announcement that is cut off
// alone is no silence.
func (s *server) isSilent(now time.Time) bool {
	s.advance(now)
	return s.running > 0 && s.prefillTime(0) <= idleBacklog && now.Sub(s.busySince) > maxEngineSilence && now.Sub(s.heardAt) > maxEngineSilence && now.Sub(s.info.Heard) > maxAnnouncementAge
}

// isAvoided reports whether requests go to other servers because the server has been
// silent. Any sign of it ends that at once, because a sound server may pause. Without
// requests of this host and without announcements the sign is that of a health check.
func (s *server) isAvoided(now time.Time) bool { return s.isFoundSilent() || s.isToldSilent(now) }

// isToldSilent reports whether another host finds the server silent, which hosts without
// requests there cannot find, and this host has had no sign of it lately.
func (s *server) isToldSilent(now time.Time) bool {
	return !s.toldSilentAt.IsZero() && now.Sub(s.toldSilentAt) < maxSilenceNewsAge && now.Sub(s.lastSign()) > maxAnnouncementAge
}

// setToldSilent records whether the other host finds the server silent.
func (s *server) setToldSilent(now time.Time, p *peerLoad, silent bool) {
	if silent {
		p.silentAt, s.toldSilentAt = now, now
		return
	}
	if p.silentAt.IsZero() {
		return
	}
	p.silentAt, s.toldSilentAt = time.Time{}, time.Time{}
	for _, other := range s.peers {
		if other.silentAt.After(s.toldSilentAt) {
			s.toldSilentAt = other.silentAt
		}
	}
}

// isSilentHere reports whether a host of this data centre finds the server silent. What
// other data centres find is left out, so that summaries don't return it to them.
func (s *server) isSilentHere(now time.Time) bool {
	if s.isFoundSilent() || !s.isToldSilent(now) {
		return s.isFoundSilent()
	}
	for _, p := range s.peers {
		if p.local && !p.silentAt.IsZero() && now.Sub(p.silentAt) < maxSilenceNewsAge {
			return true
		}
	}
	return false
}

// isFoundSilent reports whether this host has found the server silent and has had no sign
// of it since.
func (s *server) isFoundSilent() bool {
	return !s.silentAt.IsZero() && !s.lastSign().After(s.silentAt)
}

// lastSign returns when this host last had a sign of the server.
func (s *server) lastSign() time.Time {
	sign := s.info.Heard
	for _, t := range []time.Time{s.heardAt, s.healthyAt} {
		if t.After(sign) {
			sign = t
		}
	}
	return sign
}

// needsSign reports whether a health check should look for a sign of a server that is up:
// the server is avoided and no request of this host would show that it answers again.
func (s *server) needsSign(now time.Time) bool {
	return s.isAvoided(now) && now.Sub(s.silentAt) >= initialProbeDelay
}

// othersThanSilent returns the servers without those that are avoided, or all of them if
// the request has no other one: silence proves nothing, for example while the core hosts
// pass no announcements on.
func othersThanSilent(now time.Time, r *Request, servers []*server) []*server {
	usable := func(s *server) bool {
		return r.fits(s) && s.info.Ready && s.downSince.IsZero() && !s.misdirected && !slices.Contains(r.ExcludedServers, s.info.ID)
	}
	if !slices.ContainsFunc(servers, func(s *server) bool { return s.isAvoided(now) }) || !slices.ContainsFunc(servers, func(s *server) bool { return usable(s) && !s.isAvoided(now) }) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return s.isAvoided(now) })
}
