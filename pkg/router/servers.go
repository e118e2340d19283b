package router

import (
	"maps"
	"slices"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// poolMemory is how long a pool without announcements stays known. Asks for a
// known pool can wait for its servers to return; others are refused.
const poolMemory = 10 * time.Minute

// shareInterval is how often an unchanged announcement is sent to the routers
// that do not own its pool, well within poolMemory.
const shareInterval = time.Minute

// server is the last announcement of a BackendServer that this router saw.
type server struct {
	announcement backend.Announcement
	seen         time.Time
	joined       time.Time // when this router first saw it in its pool
	shared       time.Time // last time that update asked to share it
}

type poolInfo struct {
	kind backend.Kind
	seen time.Time
}

// serverTable knows which pool serves a model and what each server can do. It
// holds announcements of the whole data centre; only owners use their load.
type serverTable struct {
	mu      sync.RWMutex
	servers map[string]*server
	pools   map[string]poolInfo
	models  map[string]string // model or adapter to pool
}

func newServerTable() *serverTable {
	return &serverTable{
		servers: make(map[string]*server),
		pools:   make(map[string]poolInfo),
		models:  make(map[string]string),
	}
}

// update stores an announcement and reports whether other routers need it
// because more than its load changed or shareInterval has passed.
func (t *serverTable) update(now time.Time, a backend.Announcement) (share bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &server{announcement: a, seen: now, joined: now, shared: now}
	old := t.servers[a.Name]
	if old != nil && old.announcement.Pool == a.Pool {
		s.joined = old.joined
	}
	share = old == nil || !sameServer(old.announcement, a) || now.Sub(old.shared) >= shareInterval
	if !share {
		s.shared = old.shared
	}
	t.servers[a.Name] = s
	t.pools[a.Pool] = poolInfo{kind: a.Kind, seen: now}
	for _, m := range a.Models {
		t.models[m] = a.Pool
	}
	return share
}

func sameServer(a, b backend.Announcement) bool {
	return a.BootID == b.BootID && a.Address == b.Address && a.Pool == b.Pool && a.Kind == b.Kind &&
		a.Abilities == b.Abilities && a.State == b.State && slices.Equal(a.Models, b.Models) && slices.Equal(a.Loadable, b.Loadable)
}

// sawPool keeps a pool known that serves in another data centre.
func (t *serverTable) sawPool(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	info := t.pools[name]
	info.seen = now
	t.pools[name] = info
}

// poolOf returns the pool that serves a model.
func (t *serverTable) poolOf(now time.Time, model string) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	name, ok := t.models[model]
	if !ok {
		name = model
	}
	info, ok := t.pools[name]
	return name, ok && info.kind != backend.Service && now.Sub(info.seen) < poolMemory
}

// service reports whether a pool of plain services has this name.
func (t *serverTable) service(now time.Time, name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	info, ok := t.pools[name]
	return ok && info.kind != backend.Engine && now.Sub(info.seen) < poolMemory
}

// poolNames returns the names of all known pools.
func (t *serverTable) poolNames() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Collect(maps.Keys(t.pools))
}

// another reports whether the pool has a ready server besides the given ones.
func (t *serverTable) another(pool string, except []string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for name, s := range t.servers {
		a := &s.announcement
		if a.Pool == pool && a.State == backend.Ready && !slices.Contains(except, name) {
			return true
		}
	}
	return false
}

// holder returns the announcement under a name while it is fresh.
func (t *serverTable) holder(now time.Time, name string) (backend.Announcement, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.servers[name]
	if s == nil || now.Sub(s.seen) > backend.SilenceLimit {
		return backend.Announcement{}, false
	}
	return s.announcement, true
}

// placeable returns which pools a server of the pool can load, since when it
// serves its pool, and whether it is ready there.
func (t *serverTable) placeable(name, pool string) (loadable []string, joined time.Time, ready bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.servers[name]
	if s == nil || s.announcement.Pool != pool {
		return nil, time.Time{}, false
	}
	return s.announcement.Loadable, s.joined, s.announcement.State == backend.Ready
}

// all returns every announcement, for a peer that has just connected.
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

// forget drops servers and models that were not announced for poolMemory.
func (t *serverTable) forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.servers {
		if now.Sub(s.seen) > poolMemory {
			delete(t.servers, name)
		}
	}
	for name, info := range t.pools {
		if now.Sub(info.seen) > poolMemory {
			delete(t.pools, name)
		}
	}
	for model, name := range t.models {
		if _, ok := t.pools[name]; !ok {
			delete(t.models, model)
		}
	}
}
