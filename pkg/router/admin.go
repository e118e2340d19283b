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

// headerOperator carries the name of the operator who sends an admin command.
const headerOperator = "Jackdawtrack-Operator"

// AdminHandler returns the HTTP handler for operators and for the health checks
// of the load balancer.
func (r *Router) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("GET /v1/admin/status", r.serveStatus)
	mux.HandleFunc("GET /v1/admin/requests/{id}", r.serveDecision)
	mux.HandleFunc("GET /v1/admin/burn", r.serveBurn)
	mux.HandleFunc("POST /v1/admin/datacentre/{name}/{state}", r.serveMark)
	r.addQuarantineHandlers(mux)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // fails only if the client has disconnected
}

// Ready reports whether the router should receive requests: it has a
// configuration, knows the servers and is not draining.
func (r *Router) Ready() bool {
	return r.ready.Load() && r.catalog.Load() != nil && r.knowsServers()
}

// knowsServers reports whether the router knows a pool or has run for at least
// backend.AnnouncementTimeout. Every live server announces itself within that
// time.
func (r *Router) knowsServers() bool {
	return len(r.servers.poolNames()) > 0 || time.Since(r.startedAt) >= backend.AnnouncementTimeout
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !r.ready.Load():
		writeError(w, result.New(result.ShuttingDown, "the router is shutting down"))
	case r.catalog.Load() == nil:
		writeError(w, result.New(result.NoConfiguration, "the router has no configuration yet"))
	case !r.knowsServers():
		writeError(w, result.New(result.NoServer, "the router has just started and has received no announcement yet"))
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (r *Router) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	waiting, held := r.askTable.counts()
	metrics.GetOrRegisterGauge("requests.open", r.metrics).Update(r.openRequests.Load())
	metrics.GetOrRegisterGauge("requests.waiting", r.metrics).Update(int64(waiting))
	metrics.GetOrRegisterGauge("requests.running", r.metrics).Update(int64(held))
	metrics.GetOrRegisterGauge("server_limits.heard", r.metrics).Update(int64(r.limits.limitedCount()))
	metrics.GetOrRegisterGauge("body_memory_bytes", r.metrics).Update(r.bodyMemoryBytes.Load())
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(r.metrics, w)
}

// Status is the response body of GET /v1/admin/status.
type Status struct {
	Name          string           `json:"name"`
	DataCentre    string           `json:"data_centre"`
	Incarnation   uint64           `json:"incarnation"`
	Ready         bool             `json:"ready"`
	Revision      uint64           `json:"catalog_revision"`
	DataCentreOut bool             `json:"data_centre_out"`
	Marks         []mark           `json:"marks,omitempty"`
	Open          int64            `json:"open_requests"`
	Waiting       int              `json:"waiting_requests"`
	Running       int              `json:"running_requests"`
	Routers       []RouterStatus   `json:"routers"`
	Shards        []pool.OwnerView `json:"owned_shards"`
	Servers       []ServerStatus   `json:"servers"`
	Planner       string           `json:"planner,omitempty"` // router that plans placement, empty if placement is off
	Orders        []OrderStatus    `json:"orders,omitempty"`  // in progress at this router
}

// RouterStatus describes a live router as seen by this one.
type RouterStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Connected  bool   `json:"connected"`
}

// ServerStatus describes a BackendServer of the data centre.
type ServerStatus struct {
	Name      string  `json:"name"`
	Pool      string  `json:"pool"`
	Address   string  `json:"address"`
	State     string  `json:"state"`
	Owner     string  `json:"owner"`
	SeenMS    float64 `json:"seen_ms"`
	Limit     int     `json:"limit,omitempty"`      // concurrency limit at this router, owned shards only
	FullLimit int     `json:"full_limit,omitempty"` // sum over all routers
	Cold      bool    `json:"cold,omitempty"`
	InFlight  int     `json:"in_flight,omitempty"`
	// RequestLimit is what the server has stated of the requests a second that it takes
	// from all routers together.
	RequestLimit *float64 `json:"request_limit,omitempty"`
	Accounted    bool     `json:"accounted"` // this router owns the shard and knows the limit
	BootID       uint64   `json:"boot_id"`
	Version      string   `json:"software_version,omitempty"`
	CanResume    bool     `json:"can_resume"`
	RepeatsIDs   bool     `json:"repeats_ids"`
}

// Status returns the current state of the router for operators.
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
		Open:          r.openRequests.Load(),
	}
	s.Waiting, s.Running = r.askTable.counts()
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
	for _, m := range r.ownership.LiveRouters() {
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
		SeenMS:     milliseconds(now.Sub(srv.seenAt)),
		BootID:     a.BootID,
		Version:    string(a.SoftwareVersion),
		CanResume:  a.Abilities.Resume,
		RepeatsIDs: a.Abilities.RepeatsID,
	}
	if v, ok := views[a.Name]; ok {
		s.Accounted = true
		s.Limit, s.FullLimit, s.Cold, s.InFlight = v.Limit, v.Full, v.Cold, v.InFlight
		s.RequestLimit = v.RequestLimit
	}
	return s
}

// connected reports whether the router has a connection to m. It always has one
// to itself.
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

func (r *Router) serveDecision(w http.ResponseWriter, req *http.Request) {
	d, ok := r.decisionLog.get(req.PathValue("id"))
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]string{
			"message": "this router does not hold the request among its last decisions",
		})
		return
	}
	writeJSON(w, http.StatusOK, d)
}

// serveMark takes a data centre out of service or back in, at this router and
// at the connected routers of its data centre. Operators use it when control
// cannot be reached.
func (r *Router) serveMark(w http.ResponseWriter, req *http.Request) {
	m, err := r.newMarkFromRequest(req)
	if err != nil {
		writeJSON(w, operatorHTTPStatus(err.Code), map[string]any{"code": err.Code, "message": err.Message})
		return
	}
	r.marks.set(m)
	r.log.Infof("operator %s marked data centre %s out=%v at revision %d", m.Operator, m.Name, m.Out, m.Revision)
	reached := 0
	for _, other := range r.ownership.LiveRouters() {
		if other.DataCentre == r.self.DataCentre && r.connected(other) {
			reached++
			r.sendMark(other.Name, m)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"mark": m, "routers_reached": reached})
}

// authenticateOperator returns the name of the operator who sends the request.
func (r *Router) authenticateOperator(req *http.Request) (string, *result.Error) {
	cat := r.catalog.Load()
	if cat == nil {
		return "", result.New(result.NoConfiguration, "the router has no configuration yet")
	}
	name := req.Header.Get(headerOperator)
	key, _ := strings.CutPrefix(req.Header.Get("Authorization"), bearerPrefix)
	operator, ok := cat.Operator(name)
	if !ok || !operator.Authenticate(key) {
		return "", result.New(result.NotAuthorized, "operator name or credential is not valid")
	}
	return name, nil
}

// newMarkFromRequest authenticates the operator and returns the requested mark.
func (r *Router) newMarkFromRequest(req *http.Request) (mark, *result.Error) {
	name, err := r.authenticateOperator(req)
	if err != nil {
		return mark{}, err
	}
	state := req.PathValue("state")
	if state != "out" && state != "in" {
		return mark{}, result.New(result.InvalidCommand, "state %.20q is not valid: use out or in", state)
	}
	dc := req.PathValue("name")
	if !r.knowsDataCentre(dc) {
		return mark{}, result.New(result.NotFound, "data centre %.80q does not exist", dc)
	}
	return mark{Name: dc, Out: state == "out", Revision: r.catalog.Revision(), Operator: name, MadeMS: r.marks.nextMadeMS(dc, time.Now())}, nil
}

func (r *Router) knowsDataCentre(name string) bool {
	if cat := r.catalog.Load(); cat != nil {
		for _, d := range cat.DataCentres() {
			if d.Name == name {
				return true
			}
		}
	}
	for _, m := range r.ownership.LiveRouters() {
		if m.DataCentre == name {
			return true
		}
	}
	return false
}

func operatorHTTPStatus(c result.Code) int {
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
