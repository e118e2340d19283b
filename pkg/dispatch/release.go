package dispatch

import "jackdawtrack.example/jackdawtrack/pkg/release"

// lacksReleaseOf reports whether the request needs a release and the server has none that
// is known, because its process has ended, or another one answers at its address, and that
// has not announced itself.
func (r *Request) lacksReleaseOf(s *server) bool {
	goesOn := r.Release != release.Unknown
	return s.hasEnded() && (goesOn || r.RecordedOnly) || goesOn && !s.otherAt.IsZero()
}

// fits reports whether a server of its release may get the request.
func (r *Request) fits(s *server) bool {
	return !r.lacksReleaseOf(s) && (r.Release == release.Unknown || s.info.Release == r.Release) && (!r.RecordedOnly || s.info.Recorded)
}

// countReleases groups the servers by release and counts those that are announced as
// ready.
func (svc *service) countReleases() {
	svc.byRelease, svc.readyByRelease = map[release.ID][]*server{}, map[release.ID]int{}
	for _, s := range svc.servers {
		svc.byRelease[s.info.Release] = append(svc.byRelease[s.info.Release], s)
		if s.info.Ready {
			svc.ready++
			svc.readyByRelease[s.info.Release]++
			if s.info.Recorded {
				svc.readyRecorded++
			}
		}
	}
	for _, s := range svc.servers {
		s.scarce = svc.isScarce(s.info.Release)
	}
}

// isScarce reports whether fewer than half of the ready servers are of the release.
// Streams that it began have no other servers, while new streams do: they leave its
// servers the places that Late requests leave, and wait behind its streams. Other edge
// hosts, whose queues are not known here, leave these places too.
func (svc *service) isScarce(id release.ID) bool {
	return id != release.Unknown && 2*svc.readyByRelease[id] < svc.ready
}

// needsScarceRelease reports whether the request needs a release with few servers.
func (d *Dispatcher) needsScarceRelease(r *Request) bool {
	svc := d.services[r.Service]
	return svc != nil && svc.isScarce(r.Release)
}

// leavesPlaces reports whether the request leaves the last places of the server to
// streams that need its release.
func (r *Request) leavesPlaces(s *server) bool { return s.scarce && r.Release == release.Unknown }

// delays reports whether the queued request w takes servers that r needs before r.
func (svc *service) delays(w, r *Request) bool {
	switch release.Unknown {
	case r.Release: // it can use the other servers if w needs few
		return !svc.isScarce(w.Release)
	case w.Release:
		return !svc.isScarce(r.Release)
	}
	return w.Release == r.Release
}

// serversOf returns the servers of the release that the request needs, all servers if it
// needs none.
func (svc *service) serversOf(r *Request) []*server {
	if r.Release == release.Unknown {
		return svc.servers
	}
	return svc.byRelease[r.Release]
}

// isReleaseGone reports whether the request needs a release of which no server is
// announced as ready. It does not matter whether servers are down, cold or full: these
// may take the request later. The only release of a service is not gone while
// no server is ready, because new requests wait for it too.
func (d *Dispatcher) isReleaseGone(r *Request) bool {
	if r.Release == release.Unknown {
		return false
	}
	svc := d.services[r.Service]
	return svc == nil || svc.readyByRelease[r.Release] == 0 && !(r.SoleRelease && svc.ready == 0)
}

// releaseReason returns the reason for refusing the request if its constraint on
// releases is the cause, otherwise the given one.
func (d *Dispatcher) releaseReason(r *Request, reason Reason) Reason {
	svc := d.services[r.Service]
	switch {
	case d.isReleaseGone(r):
		return ReasonReleaseGone
	case reason == ReasonOverShare:
		return reason
	case r.Release != release.Unknown && !r.SoleRelease:
		return ReasonReleaseFull
	case r.RecordedOnly && svc != nil && svc.ready > 0 && svc.readyRecorded == 0:
		return ReasonNotRecorded
	}
	return reason
}
