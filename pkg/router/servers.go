package router

import (
	"maps"
	"slices"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// poolRetention is how long a pool without announcements stays known. Requests
// for a known pool may wait until its servers return; others are refused.
const poolRetention = 10 * time.Minute

// reshareInterval is how often an unchanged announcement is sent to the routers
// that do not own its pool. It is well below poolRetention.
const reshareInterval = time.Minute

// server is the latest announcement of a BackendServer.
type server struct {
	announcement backend.Announcement
	seenAt       time.Time
	joinedAt     time.Time // first announcement in the current pool
	sharedAt     time.Time // last time that update returned true
	// earlierBootID is the boot id of the previous process, 0 if none is known.
	earlierBootID uint64
	// startedAt is when the process was seen to take the place of a live one, zero if
	// it was not.
	startedAt time.Time
}

type poolInfo struct {
	kind   backend.Kind
	seenAt time.Time
}

// serverTable maps models to pools and holds the latest announcement of each
// server of the data centre. The load in an announcement is used by owners
// only.
type serverTable struct {
	mu      sync.RWMutex
	servers map[string]*server
	pools   map[string]poolInfo
	models  map[string]string // pool by name of model or adapter
	// releases is what the servers of each pool stated of their releases.
	releases map[string]statedReleases
}

func newServerTable() *serverTable {
	return &serverTable{
		servers: make(map[string]*server),
		pools:   make(map[string]poolInfo),
		models:  make(map[string]string),

		releases: make(map[string]statedReleases),
	}
}

// update stores an announcement. It reports whether other routers need it,
// because more than its load has changed or reshareInterval has passed.
func (t *serverTable) update(now time.Time, a backend.Announcement) (broadcast bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &server{announcement: a, seenAt: now, joinedAt: now, sharedAt: now}
	old := t.servers[a.Name]
	if old != nil && old.announcement.Pool == a.Pool {
		s.joinedAt = old.joinedAt
	}
	if old != nil {
		s.earlierBootID = old.nextEarlierBootID(a)
		s.startedAt = old.nextStartedAt(now, a)
	}
	broadcast = old == nil || !sameExceptLoad(old.announcement, a) || now.Sub(old.sharedAt) >= reshareInterval
	if !broadcast {
		s.sharedAt = old.sharedAt
	}
	t.servers[a.Name] = s
	t.pools[a.Pool] = poolInfo{kind: a.Kind, seenAt: now}
	if id := release.Of(a.Pool, string(a.SoftwareVersion)); id != release.Unknown {
		t.addRelease(now, a.Pool, id)
	}
	for _, m := range a.Models {
		t.models[m] = a.Pool
	}
	return broadcast
}

// nextEarlierBootID returns earlierBootID after the next announcement. A delayed
// announcement of the earlier process does not make the current one an earlier one.
func (s *server) nextEarlierBootID(next backend.Announcement) uint64 {
	if next.BootID == s.announcement.BootID || next.BootID == s.earlierBootID {
		return s.earlierBootID
	}
	return s.announcement.BootID
}

// nextStartedAt returns startedAt after the next announcement. A process that takes
// the place of one that was not announced lately may have started before.
func (s *server) nextStartedAt(now time.Time, next backend.Announcement) time.Time {
	switch {
	case next.BootID == s.announcement.BootID:
		return s.startedAt
	case next.BootID == s.earlierBootID || now.Sub(s.seenAt) > backend.AnnouncementTimeout:
		return time.Time{}
	default:
		return now
	}
}

// startedAt returns when a process of a server was seen to start, zero if it was not
// or is not the current one.
func (t *serverTable) startedAt(name string, bootID uint64) time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.servers[name]; s != nil && s.announcement.BootID == bootID {
		return s.startedAt
	}
	return time.Time{}
}

// isEarlierBoot reports whether the boot id is that of the previous process of a
// server, which has ended.
func (t *serverTable) isEarlierBoot(name string, bootID uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.servers[name]
	return s != nil && s.earlierBootID == bootID && s.announcement.BootID != bootID
}

// sameExceptLoad reports whether two announcements differ at most in their load.
func sameExceptLoad(a, b backend.Announcement) bool {
	return a.BootID == b.BootID && a.SoftwareVersion == b.SoftwareVersion && a.Address == b.Address && a.Pool == b.Pool && a.Kind == b.Kind &&
		a.Abilities == b.Abilities && a.State == b.State && slices.Equal(a.Models, b.Models) && slices.Equal(a.Loadable, b.Loadable)
}

// refreshPool keeps a pool known that a router of another data centre has
// reported.
func (t *serverTable) refreshPool(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	info := t.pools[name]
	info.seenAt = now
	t.pools[name] = info
}

// poolForModel returns the pool that serves a model, false if no such pool of
// engines is known.
func (t *serverTable) poolForModel(now time.Time, model string) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	name, ok := t.models[model]
	if !ok {
		name = model
	}
	info, ok := t.pools[name]
	return name, ok && info.kind != backend.Service && now.Sub(info.seenAt) < poolRetention
}

// isServicePool reports whether a pool of plain services with this name is
// known.
func (t *serverTable) isServicePool(now time.Time, name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	info, ok := t.pools[name]
	return ok && info.kind != backend.Engine && now.Sub(info.seenAt) < poolRetention
}

// poolNames returns the names of all known pools.
func (t *serverTable) poolNames() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Collect(maps.Keys(t.pools))
}

// hasOtherReadyServer reports whether the pool has a ready server that is not
// in exclude.
func (t *serverTable) hasOtherReadyServer(pool string, exclude []string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for name, s := range t.servers {
		a := &s.announcement
		if a.Pool == pool && a.State == backend.Ready && !slices.Contains(exclude, name) {
			return true
		}
	}
	return false
}

// liveAnnouncement returns the latest announcement of a server, false if it is
// older than backend.AnnouncementTimeout.
func (t *serverTable) liveAnnouncement(now time.Time, name string) (backend.Announcement, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.servers[name]
	if s == nil || now.Sub(s.seenAt) > backend.AnnouncementTimeout {
		return backend.Announcement{}, false
	}
	return s.announcement, true
}

// placementInfo returns the pools that a server can load, when it joined the
// given pool, and whether it is ready in that pool.
func (t *serverTable) placementInfo(name, pool string) (loadable []string, joinedAt time.Time, ready bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.servers[name]
	if s == nil || s.announcement.Pool != pool {
		return nil, time.Time{}, false
	}
	return s.announcement.Loadable, s.joinedAt, s.announcement.State == backend.Ready
}

// all returns the latest announcements, sorted by server name.
func (t *serverTable) all() []server {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]server, 0, len(t.servers))
	for _, s := range t.servers {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b server) int {
		if a.announcement.Name < b.announcement.Name {
			return -1
		}
		return 1
	})
	return out
}

// removeExpired drops servers and pools that were not announced for
// poolRetention, and the models of dropped pools.
func (t *serverTable) removeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.servers {
		if now.Sub(s.seenAt) > poolRetention {
			delete(t.servers, name)
		}
	}
	for name, info := range t.pools {
		if now.Sub(info.seenAt) > poolRetention {
			delete(t.pools, name)
		}
	}
	for name, s := range t.releases {
		if now.Sub(s.lastAt) > statementRetention {
			delete(t.releases, name)
		}
	}
	for model, name := range t.models {
		if _, ok := t.pools[name]; !ok {
			delete(t.models, model)
		}
	}
}
