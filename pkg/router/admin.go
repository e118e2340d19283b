package router

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// headerOperator names the operator of an admin command.
const headerOperator = "Jackdawtrack-Operator"

// AdminHandler serves operators and the balancer's health checks.
func (r *Router) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("GET /v1/admin/status", r.serveStatus)
	mux.HandleFunc("GET /v1/admin/requests/{id}", r.serveDecision)
	mux.HandleFunc("GET /v1/admin/burn", r.serveBurn)
	mux.HandleFunc("POST /v1/admin/datacentre/{name}/{state}", r.serveMark)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // the caller may have left
}

// Ready reports whether the router should get requests: it holds a
// configuration, has had time to hear of the servers and is not draining.
func (r *Router) Ready() bool {
	return r.ready.Load() && r.catalog.Load() != nil && r.heardServers()
}

// heardServers reports whether the router knows a pool, or has run longer than
// any server is silent.
func (r *Router) heardServers() bool {
	return len(r.servers.poolNames()) > 0 || time.Since(r.began) >= backend.SilenceLimit
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !r.ready.Load():
		writeError(w, result.New(result.ShuttingDown, "the router is shutting down"))
	case r.catalog.Load() == nil:
		writeError(w, result.New(result.NoConfiguration, "the router has no configuration yet"))
	case !r.heardServers():
		writeError(w, result.New(result.NoServer, "the router has just started and knows no server yet"))
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (r *Router) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	waiting, held := r.asks.counts()
	metrics.GetOrRegisterGauge("requests.open", r.metrics).Update(r.open.Load())
	metrics.GetOrRegisterGauge("requests.waiting", r.metrics).Update(int64(waiting))
	metrics.GetOrRegisterGauge("requests.running", r.metrics).Update(int64(held))
	metrics.GetOrRegisterGauge("body_memory_bytes", r.metrics).Update(r.bodyMemory.Load())
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(r.metrics, w)
}

// Status is the answer of /v1/admin/status.
type Status struct {
	Name          string         `json:"name"`
	DataCentre    string         `json:"data_centre"`
	Incarnation   uint64         `json:"incarnation"`
	Ready         bool           `json:"ready"`
	Revision      uint64         `json:"catalog_revision"`
	DataCentreOut bool           `json:"data_centre_out"`
	Marks         []mark         `json:"marks,omitempty"`
	Open          int64          `json:"open_requests"`
	Waiting       int            `json:"waiting_requests"`
	Running       int            `json:"running_requests"`
	Routers       []RouterStatus `json:"routers"`
	Shards        []pool.View    `json:"owned_shards"`
	Servers       []ServerStatus `json:"servers"`
	Planner       string         `json:"planner,omitempty"` // router that plans placement, if it is on
	Orders        []OrderStatus  `json:"orders,omitempty"`  // under way at this router
}

// RouterStatus is one router as this one sees it.
type RouterStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Connected  bool   `json:"connected"`
}

// ServerStatus is one BackendServer of the data centre.
type ServerStatus struct {
	Name       string  `json:"name"`
	Pool       string  `json:"pool"`
	Address    string  `json:"address"`
	State      string  `json:"state"`
	Owner      string  `json:"owner"`
	SeenMS     float64 `json:"seen_ms"`
	Limit      int     `json:"limit,omitempty"`      // owned shards only
	FullLimit  int     `json:"full_limit,omitempty"` // over all routers
	Cold       bool    `json:"cold,omitempty"`
	InFlight   int     `json:"in_flight,omitempty"`
	Accounted  bool    `json:"accounted"` // the limit is known here
	BootID     uint64  `json:"boot_id"`
	CanResume  bool    `json:"can_resume"`
	RepeatsIDs bool    `json:"repeats_ids"`
}

// Status returns the present state for operators.
func (r *Router) Status() Status {
	now := time.Now()
	s := Status{
		Name:          r.self.Name,
		DataCentre:    r.self.DataCentre,
		Incarnation:   r.self.Incarnation,
		Ready:         r.Ready(),
		Revision:      r.catalog.Revision(),
		DataCentreOut: r.dataCentreOut(r.self.DataCentre),
		Marks:         r.marks.all(),
		Open:          r.open.Load(),
	}
	s.Waiting, s.Running = r.asks.counts()
	views := make(map[string]pool.ServerView)
	for _, o := range r.ownedShards() {
		o.mu.Lock()
		view := o.owner.Snapshot()
		o.mu.Unlock()
		s.Shards = append(s.Shards, view)
		for _, v := range view.Servers {
			views[v.Name] = v
		}
	}
	for _, srv := range r.servers.all() {
		s.Servers = append(s.Servers, r.serverStatus(now, srv, views))
	}
	if r.placer != nil {
		s.Planner, s.Orders = r.plannerName(), r.placer.status()
	}
	for _, m := range r.ownership.Members() {
		s.Routers = append(s.Routers, RouterStatus{Name: m.Name, DataCentre: m.DataCentre, Connected: r.connected(m)})
	}
	return s
}

func (r *Router) serverStatus(now time.Time, srv server, views map[string]pool.ServerView) ServerStatus {
	a := srv.announcement
	s := ServerStatus{
		Name:       a.Name,
		Pool:       a.Pool,
		Address:    a.Address,
		State:      string(a.State),
		Owner:      r.ownerName(r.shardOf(a.Pool)),
		SeenMS:     milliseconds(now.Sub(srv.seen)),
		BootID:     a.BootID,
		CanResume:  a.Abilities.Resume,
		RepeatsIDs: a.Abilities.RepeatsID,
	}
	if v, ok := views[a.Name]; ok {
		s.Accounted = true
		s.Limit, s.FullLimit, s.Cold, s.InFlight = v.Limit, v.Full, v.Cold, v.InFlight
	}
	return s
}

// connected reports whether messages reach a router now.
func (r *Router) connected(m pool.RouterID) bool {
	if m == r.self {
		return true
	}
	c, ok := r.peers.(interface{ Connected(name string) bool })
	return ok && c.Connected(m.Name)
}

func (r *Router) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.Status())
}

func (r *Router) serveDecision(w http.ResponseWriter, in *http.Request) {
	d, ok := r.ring.get(in.PathValue("id"))
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]string{
			"message": "this router does not hold the request among its last decisions",
		})
		return
	}
	writeJSON(w, http.StatusOK, d)
}

// serveMark takes a data centre out or back in at this router and the routers
// that it reaches, for operators who cannot reach control.
func (r *Router) serveMark(w http.ResponseWriter, in *http.Request) {
	m, err := r.newMark(in)
	if err != nil {
		writeJSON(w, operatorStatus(err.Code), map[string]any{"code": err.Code, "message": err.Message})
		return
	}
	r.marks.set(m)
	r.log.Infof("operator %s marked data centre %s out=%v at revision %d", m.Operator, m.Name, m.Out, m.Revision)
	reached := 0
	for _, other := range r.ownership.Members() {
		if other.DataCentre == r.self.DataCentre && r.connected(other) {
			reached++
			r.sendMark(other.Name, m)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"mark": m, "routers_reached": reached})
}

func (r *Router) newMark(in *http.Request) (mark, *result.Error) {
	cat := r.catalog.Load()
	if cat == nil {
		return mark{}, result.New(result.NoConfiguration, "the router has no configuration yet")
	}
	name := in.Header.Get(headerOperator)
	key, _ := strings.CutPrefix(in.Header.Get("Authorization"), bearer)
	operator, ok := cat.Operator(name)
	if !ok || !operator.Authenticate(key) {
		return mark{}, result.New(result.NotAuthorized, "the operator credential was refused")
	}
	state := in.PathValue("state")
	if state != "out" && state != "in" {
		return mark{}, result.New(result.InvalidCommand, "state %.20q: use out or in", state)
	}
	dc := in.PathValue("name")
	if !r.knowsDataCentre(dc) {
		return mark{}, result.New(result.NotFound, "data centre %.80q is not known", dc)
	}
	return mark{Name: dc, Out: state == "out", Revision: cat.Revision(), Operator: name, MadeMS: r.marks.after(dc, time.Now())}, nil
}

func (r *Router) knowsDataCentre(name string) bool {
	if cat := r.catalog.Load(); cat != nil {
		for _, d := range cat.DataCentres() {
			if d.Name == name {
				return true
			}
		}
	}
	for _, m := range r.ownership.Members() {
		if m.DataCentre == name {
			return true
		}
	}
	return false
}

func operatorStatus(c result.Code) int {
	switch c {
	case result.NotAuthorized:
		return http.StatusForbidden
	case result.NotFound:
		return http.StatusNotFound
	case result.NoConfiguration:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}
