package router

import (
	"net/http"
	"strings"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// AnnounceHandler serves BackendServers.
func (r *Router) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", r.serveAnnounce)
	return mux
}

func (r *Router) serveAnnounce(w http.ResponseWriter, in *http.Request) {
	r.counters.announcements.Inc(1)
	if err := r.announce(in); err != nil {
		r.counters.announcementsRefused.Inc(1)
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Router) announce(in *http.Request) *result.Error {
	a, err := backend.Decode(in.Body)
	if err != nil {
		return asError(err)
	}
	if err := r.checkCredential(in, a.Name); err != nil {
		return err
	}
	if a.DataCentre != r.self.DataCentre {
		return result.New(result.AnnouncementRefused, "server %s is in data centre %s, this router in %s", a.Name, a.DataCentre, r.self.DataCentre)
	}
	now := time.Now()
	if err := r.checkHolder(now, a); err != nil {
		return err
	}
	r.routeAnnouncement(a, r.servers.update(now, a))
	return nil
}

func (r *Router) checkCredential(in *http.Request, name string) *result.Error {
	cat := r.catalog.Load()
	if cat == nil {
		return result.New(result.NoConfiguration, "the router has no configuration yet")
	}
	key, ok := strings.CutPrefix(in.Header.Get("Authorization"), bearer)
	if !ok {
		return result.New(result.AnnouncementRefused, "header Authorization with a bearer credential is missing")
	}
	credential, ok := cat.BackendCredential(name)
	if !ok || !credential.Authenticate(key) {
		return result.New(result.AnnouncementRefused, "the credential is not bound to server %s", name)
	}
	return nil
}

// checkHolder refuses a second server under the name of a live one. The same
// address with a new boot id is a restart.
func (r *Router) checkHolder(now time.Time, a backend.Announcement) *result.Error {
	old, live := r.servers.holder(now, a.Name)
	if !live || old.Address == a.Address {
		return nil
	}
	return result.New(result.AnnouncementRefused, "server %s announces itself from %s", a.Name, old.Address).WithRetryAfter(backend.SilenceLimit)
}

// routeAnnouncement gives an announcement to the owner of its pool, and to the
// other routers of the data centre if they need it.
func (r *Router) routeAnnouncement(a backend.Announcement, share bool) {
	shard := r.shardOf(a.Pool)
	if !r.atShard(shard, func(now time.Time, o *pool.Owner) { o.Announce(now, a) }) {
		r.sendAnnouncement(r.ownerName(shard), a)
	}
	if share {
		r.shareAnnouncement(shard, a)
	}
}
