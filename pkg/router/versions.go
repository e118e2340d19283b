package router

import (
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// statementRetention is how long a release that a server stated counts. Callers come
// back within a minute, and data centres that are cut off within minutes.
const statementRetention = poolRetention

// statedReleases is what the servers of a pool have stated of their releases.
type statedReleases struct {
	last      release.ID
	lastAt    time.Time // last statement
	differsAt time.Time // last statement that differed from the one before it, zero if none
}

// noteRelease adds what a server of the pool stated in an announcement or an answer.
func (t *serverTable) noteRelease(now time.Time, poolName string, id release.ID) {
	if id == release.Unknown {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addRelease(now, poolName, id)
}

// addRelease is noteRelease of a known release. The caller must hold mu.
func (t *serverTable) addRelease(now time.Time, poolName string, id release.ID) {
	s := t.releases[poolName]
	if s.last != id && s.last != release.Unknown && now.Sub(s.lastAt) < statementRetention {
		s.differsAt = now
	}
	s.last, s.lastAt = id, now
	t.releases[poolName] = s
}

// statedVersions returns what servers of the pool have stated lately. One is no proof
// that there was no other.
func (t *serverTable) statedVersions(now time.Time, poolName string) release.Versions {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.releases[poolName]
	switch {
	case !s.differsAt.IsZero() && now.Sub(s.differsAt) < statementRetention:
		return release.Several
	case s.last != release.Unknown && now.Sub(s.lastAt) < statementRetention:
		return release.One
	default:
		return release.Unstated
	}
}

// versions returns what may be taken as known of the software versions of a pool.
// Operators know when versions change, so one release that servers state is no proof of
// anything without their statement; two refute it. Where neither states anything,
// servers count as equal, as they did before they could state versions.
func (r *Router) versions(poolName string) release.Versions {
	operators := release.Several
	if cat := r.catalog.Load(); cat != nil {
		operators = cat.Versions(poolName)
	}
	servers := r.servers.statedVersions(time.Now(), poolName)
	switch {
	case operators == release.One && servers != release.Several:
		return release.One
	case operators == release.Unstated && servers == release.Unstated:
		return release.Unstated
	default:
		return release.Several
	}
}

// whySeveral returns why the versions of a pool may differ or are not known.
func (r *Router) whySeveral(poolName string) string {
	cat := r.catalog.Load()
	switch {
	case cat == nil:
		return "the router has no configuration"
	case cat.Versions(poolName) == release.Several:
		return "operators state that servers of " + poolName + " may differ in software version"
	case r.servers.statedVersions(time.Now(), poolName) == release.Several:
		return "servers of " + poolName + " state different software versions"
	case r.servers.statedVersions(time.Now(), poolName) == release.Unstated:
		return "this router has just started or was suspended and may not have heard what servers of " + poolName + " state"
	default:
		return "servers of " + poolName + " state software versions, but operators do not state that there is one only"
	}
}

// trackServersHeard notes when this router knows what the servers of its data centre
// state: for backend.AnnouncementTimeout it has had a connection to each live router,
// which passes on what it knows and what is new. Before the join it does not know which
// routers live, and without a configuration it refuses all announcements of servers. Until
// then, a pool of which nothing is stated may be one of which nothing was heard. A process
// that was suspended has missed what was stated meanwhile and may have forgotten what was
// stated before, so it begins again. It must be called by the goroutine of Run only.
func (r *Router) trackServersHeard(now time.Time) {
	if r.wasSuspended(now) {
		r.serversHeard.Store(false)
		r.allConnectedAt = time.Time{}
	}
	r.heardTrackedAt.Store(&now)
	if r.serversHeard.Load() {
		return
	}
	lacks := func(m pool.RouterID) bool { return m.DataCentre == r.self.DataCentre && !r.connected(m) }
	if r.catalog.Load() == nil || r.ownership.JoinPending() || slices.ContainsFunc(r.ownership.LiveRouters(), lacks) {
		r.allConnectedAt = time.Time{}
		return
	}
	if r.allConnectedAt.IsZero() {
		r.allConnectedAt = now
	}
	r.serversHeard.Store(now.Sub(r.allConnectedAt) >= backend.AnnouncementTimeout)
}

// wasSuspended reports whether this process did not run for so long that it has missed
// what servers stated.
func (r *Router) wasSuspended(now time.Time) bool {
	last := r.heardTrackedAt.Load()
	return last != nil && now.Sub(*last) > backend.AnnouncementTimeout
}

// hasHeardServers reports whether this router knows what the servers of its data centre
// state, see trackServersHeard. A request can come before that notices a suspension.
func (r *Router) hasHeardServers(now time.Time) bool {
	return r.serversHeard.Load() && !r.wasSuspended(now)
}

// versionsAt returns versions for a stream that begins now on the server of a grant. A
// version changes only with the process, so without any statement a process that was
// replaced meanwhile may have been of another one.
func (r *Router) versionsAt(poolName string, g pool.Grant) func() release.Versions {
	// The announcement of the process in the grant may reach its owner before this router.
	announced := r.servers.bootID(g.Server)
	return func() release.Versions {
		known := r.versions(poolName)
		now := r.servers.bootID(g.Server)
		if known == release.Unstated && now != 0 && now != announced && now != g.BootID {
			return release.Several
		}
		return known
	}
}

// bootID returns the boot id that a server announced last, 0 if it is not known.
func (t *serverTable) bootID(name string) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.servers[name]; s != nil {
		return s.announcement.BootID
	}
	return 0
}
