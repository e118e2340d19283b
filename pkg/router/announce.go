package router

import (
	"net/http"
	"strings"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// AnnounceHandler returns the HTTP handler for the announcements of
// BackendServers.
func (r *Router) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", r.serveAnnounce)
	return mux
}

func (r *Router) serveAnnounce(w http.ResponseWriter, req *http.Request) {
	r.counters.announcements.Inc(1)
	if err := r.announce(req); err != nil {
		r.counters.announcementsRefused.Inc(1)
		r.log.Warnf("announcement from %s refused: %v", req.RemoteAddr, err)
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Router) announce(req *http.Request) *result.Error {
	a, err := backend.Decode(req.Body)
	if err != nil {
		return toResultError(err)
	}
	if err := r.checkCredential(req, a.Name); err != nil {
		return err
	}
	if a.DataCentre != r.self.DataCentre {
		return result.New(result.AnnouncementRefused, "server %s is in data centre %s, this router is in %s", a.Name, a.DataCentre, r.self.DataCentre)
	}
	now := time.Now()
	if err := r.checkNameConflict(now, a); err != nil {
		return err
	}
	broadcast := r.servers.update(now, a)
	r.noteAnnouncement(now, a)
	r.routeAnnouncement(a, broadcast)
	return nil
}

// checkCredential verifies that the bearer credential is valid for the server
// name.
func (r *Router) checkCredential(req *http.Request, name string) *result.Error {
	cat := r.catalog.Load()
	if cat == nil {
		return result.New(result.NoConfiguration, "the router has no configuration yet")
	}
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return result.New(result.AnnouncementRefused, "header Authorization with a bearer credential is missing")
	}
	credential, ok := cat.BackendCredential(name)
	if !ok || !credential.Authenticate(key) {
		return result.New(result.AnnouncementRefused, "the credential is not bound to server %s", name)
	}
	return nil
}

// checkNameConflict refuses an announcement whose name a live server at another
// address uses. The same address with a new boot id is a restart.
func (r *Router) checkNameConflict(now time.Time, a backend.Announcement) *result.Error {
	old, live := r.servers.liveAnnouncement(now, a.Name)
	if !live || old.Address == a.Address {
		return nil
	}
	return result.New(result.AnnouncementRefused, "server name %s is in use by a live server at %s", a.Name, old.Address).WithRetryAfter(backend.AnnouncementTimeout)
}

// routeAnnouncement passes an announcement to the owner of its pool and, if
// broadcast is set, to the other routers of the data centre.
func (r *Router) routeAnnouncement(a backend.Announcement, broadcast bool) {
	shard := r.shardOf(a.Pool)
	if !r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) { o.HandleAnnouncement(now, a) }) {
		r.sendAnnouncement(r.ownerName(shard), a)
	}
	if broadcast {
		r.shareAnnouncement(shard, a)
	}
}
