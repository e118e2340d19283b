package core

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/fleet"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

const (
	// maxReleaseSubmits bounds the releases that this host stores at the same time. The
	// others follow with the next check.
	maxReleaseSubmits = 16
	// releaseSubmitTimeout bounds the attempts to store one change of releases.
	releaseSubmitTimeout = 2 * time.Second
	// soleReleaseTime is how long the leader must see only one release of a service
	// before it removes the others. Partitions last minutes, and a data centre that is
	// cut off may still serve a release that the leader does not see.
	soleReleaseTime = 10 * time.Minute
	// removalConfirmTime is how long the leader waits before it confirms a removal. A
	// removed release that was announced at the same time is recorded again within
	// seconds, and the streams that began on it meanwhile cannot be taken up any more.
	removalConfirmTime = 2 * streamrecord.MaxTTL
	// routeSettleTime is how long the leader knows of a change of routes before it ends
	// the doubt on streams without a record. An edge host that is cut off may route by
	// the configuration before, and its callers come back after MaxTTL at the latest.
	routeSettleTime = soleReleaseTime + streamrecord.MaxTTL
	// sightingGap is the time without a server of a service that interrupts
	// soleReleaseTime. Servers are checked every flushInterval.
	sightingGap = 5 * time.Second
)

// serviceRelease is a release and its service.
type serviceRelease struct {
	service string
	id      release.ID
}

// maintainReleases stores the releases of announced servers that the fleet state lacks,
// and removes releases that are no longer seen, until the host is closed.
func (h *Host) maintainReleases() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	lead := &leadership{}
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for r := range h.observeReleases(now) {
			h.addRelease(r)
		}
		lead.update(now, h.replica.Status())
		for _, c := range h.unseenReleases(now, lead) {
			h.removeReleases(c)
		}
		h.settleRoutes(lead.settledRoutes(now, h.state))
	}
}

// observeReleases records which releases are announced now, and returns them.
func (h *Host) observeReleases(now time.Time) map[serviceRelease]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[serviceRelease]bool{}
	h.servers.Each(func(e *registry.Entry) {
		if e.State != registry.Gone && e.Service != "" {
			out[serviceRelease{e.Service, e.Release}] = true
		}
	})
	for r := range out {
		h.sightings.see(now, r)
	}
	h.sightings.removeExpired(now)
	return out
}

// seeRelease records that a server announced its release. A server that leaves or
// changes between two checks is noticed too. It requires mu.
func (h *Host) seeRelease(now time.Time, e *registry.Entry) {
	if e.State != registry.Gone && e.Service != "" {
		h.sightings.see(now, serviceRelease{e.Service, e.Release})
	}
}

// noticeRestart doubts the recent streams of a server if its newest process is not the
// one before, whose entry is empty if none was known. A process has one release, so
// another one shows a restart of a server that states no start time. It requires mu.
func (h *Host) noticeRestart(now time.Time, before registry.Entry, server string) {
	e, _ := h.servers.Get(server)
	known := before.ID != ""
	if known && before.StartMS == e.StartMS && before.Release == e.Release {
		return
	}
	r := streamrecord.Replacement{After: streamrecord.ProcessOf(server, e.StartMS), Release: e.Release}
	if known {
		r.Before = streamrecord.ProcessOf(server, before.StartMS)
		if e.StartMS <= before.StartMS {
			r.Silence = now.Sub(e.BeforeHeard)
		}
	}
	h.streams.replace(now, server, r)
}

// addRelease stores a release in the background unless the fleet state has it, because
// streams begin only on stored releases.
func (h *Host) addRelease(r serviceRelease) {
	if !h.state.CanAddRelease(r.service, r.id) || !h.beginReleaseSubmit(r) {
		return
	}
	go func() {
		defer h.endReleaseSubmit(r)
		ctx, cancel := context.WithTimeout(h.ctx, releaseSubmitTimeout)
		defer cancel()
		err := h.submit(ctx, &apiv1.FleetCommand{Releases: &apiv1.ServiceReleases{Service: r.service, Releases: []uint64{uint64(r.id)}}})
		fields := logrus.Fields{"service": r.service, "release": r.id.String()}
		if err != nil {
			h.log.WithError(err).WithFields(fields).Warn("release of a service not recorded yet")
			return
		}
		h.log.WithFields(fields).Info("release of a service recorded")
	}()
}

// beginReleaseSubmit reserves the submission of a change for the release. It returns
// false if one is running or too many are.
func (h *Host) beginReleaseSubmit(r serviceRelease) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.releaseSubmits[r] || len(h.releaseSubmits) >= maxReleaseSubmits {
		return false
	}
	h.releaseSubmits[r] = true
	return true
}

func (h *Host) endReleaseSubmit(r serviceRelease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.releaseSubmits, r)
}

// unseenReleases returns the commands that remove the releases which the leader has not
// seen for soleReleaseTime, and later confirm the removal. There are none if this host is
// not the leader for as long.
func (h *Host) unseenReleases(now time.Time, lead *leadership) (out []*apiv1.ServiceReleases) {
	if !lead.lasts(now, soleReleaseTime) {
		return nil
	}
	state, _ := h.state.View(^uint64(0))
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, stored := range state.GetReleases() {
		id, ok := h.sightings.sole(now, stored.GetService())
		if !ok || !slices.Contains(stored.GetReleases(), uint64(id)) || !lead.isChangeDue(now, stored) {
			continue
		}
		out = append(out, &apiv1.ServiceReleases{Service: stored.GetService(), Releases: []uint64{uint64(id)}, Revision: stored.GetRevision(), Replace: true})
	}
	return out
}

// removeReleases commits a command of unseenReleases in the background. It proposes to
// its own replica only: another leader decides by what it has seen itself.
func (h *Host) removeReleases(c *apiv1.ServiceReleases) {
	r := serviceRelease{c.GetService(), release.ID(c.GetReleases()[0])}
	if !h.beginReleaseSubmit(r) {
		return
	}
	go func() {
		defer h.endReleaseSubmit(r)
		ctx, cancel := context.WithTimeout(h.ctx, releaseSubmitTimeout)
		defer cancel()
		_, err := h.Submit(ctx, &apiv1.FleetCommand{Releases: c})
		h.log.WithFields(logrus.Fields{"service": c.GetService(), "release": r.id.String(), "error": err}).Info("other releases of a service removed")
	}()
}

// settleRoutes ends the doubt on routes that changed up to the log index, in the
// background. 0 stands for none.
func (h *Host) settleRoutes(upTo uint64) {
	var all serviceRelease // no release has an empty service
	if upTo == 0 || !h.beginReleaseSubmit(all) {
		return
	}
	go func() {
		defer h.endReleaseSubmit(all)
		ctx, cancel := context.WithTimeout(h.ctx, releaseSubmitTimeout)
		defer cancel()
		_, err := h.Submit(ctx, &apiv1.FleetCommand{SettledRoutes: upTo})
		h.log.WithFields(logrus.Fields{"revision": upTo, "error": err}).Info("changes of routes are long ago")
	}()
}

// leadership is the term in which this host is the leader and when it noticed that.
type leadership struct {
	term  uint64 // 0 if this host is not the leader
	since time.Time
	// removals holds, by service, the removal that is not confirmed and when it was
	// noticed.
	removals map[string]noticedChange
	// routes is the state that the leader waits to settle the changes of routes for.
	routes noticedChange
}

// noticedChange is a change of the state and when the leader noticed it.
type noticedChange struct {
	revision uint64
	noticed  time.Time
}

func (l *leadership) update(now time.Time, s replica.Status) {
	switch {
	case s.Leader != s.ID:
		*l = leadership{}
	case l.term != s.Term:
		*l = leadership{term: s.Term, since: now, removals: map[string]noticedChange{}}
	}
}

// settledRoutes returns the log index up to which the changes of routes are known to be
// routeSettleTime ago, 0 if there are none. The time of a change counts from when this
// leader noticed it, so it begins again with each leader.
func (l *leadership) settledRoutes(now time.Time, s *fleet.State) uint64 {
	state, _ := s.View(^uint64(0))
	oldest := fleet.OldestRouteChange(state.GetRouteChanges())
	switch {
	case l.term == 0 || oldest == 0:
		l.routes = noticedChange{}
	case l.routes.revision < oldest:
		l.routes = noticedChange{state.GetRevision(), now}
	case now.Sub(l.routes.noticed) >= routeSettleTime:
		return l.routes.revision
	}
	return 0
}

// lasts reports whether this host has been the leader for the duration.
func (l *leadership) lasts(now time.Time, d time.Duration) bool {
	return l.term != 0 && now.Sub(l.since) >= d
}

// isChangeDue reports whether the list has several releases, or one after a removal
// that is to be confirmed.
func (l *leadership) isChangeDue(now time.Time, stored *apiv1.ServiceReleases) bool {
	service := stored.GetService()
	if !stored.GetReplace() {
		delete(l.removals, service)
		return len(stored.GetReleases()) > 1
	}
	if l.removals[service].revision != stored.GetRevision() {
		l.removals[service] = noticedChange{stored.GetRevision(), now}
	}
	return len(stored.GetReleases()) > 1 || now.Sub(l.removals[service].noticed) >= removalConfirmTime
}

// sightings holds, by service, which release was seen last and since when no other one
// was.
type sightings map[string]*sighting

type sighting struct {
	id          release.ID
	since, last time.Time
}

// see records that a server announces the release.
func (s sightings) see(now time.Time, r serviceRelease) {
	seen := s[r.service]
	if seen == nil || seen.id != r.id || now.Sub(seen.last) > sightingGap {
		seen = &sighting{id: r.id, since: now}
		s[r.service] = seen
	}
	seen.last = now
}

// sole returns the only release of the service that was seen for soleReleaseTime
// without interruption, and false if there is none.
func (s sightings) sole(now time.Time, service string) (release.ID, bool) {
	seen := s[service]
	if seen == nil || now.Sub(seen.last) > sightingGap || now.Sub(seen.since) < soleReleaseTime {
		return release.Unknown, false
	}
	return seen.id, true
}

// removeExpired removes the services that are no longer seen.
func (s sightings) removeExpired(now time.Time) {
	for service, seen := range s {
		if now.Sub(seen.last) > sightingGap {
			delete(s, service)
		}
	}
}
