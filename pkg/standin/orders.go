package standin

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

const actionLoad = "load"

// Order is the body of POST /v1/orders: load or unload a model, or change the
// role.
type Order struct {
	Action string `json:"action"` // load, unload, role
	Model  string `json:"model"`
	Role   string `json:"role"`
	Fence  uint64 `json:"fence"`
}

// ObeyedOrder is an order that the server carried out.
type ObeyedOrder struct {
	Order
	At     time.Time `json:"at"`
	Broken int       `json:"broken"` // running requests that it broke
}

const keptOrders = 256

func (s *Server) serveOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := slices.Clone(s.obeyed)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	if s.cfg.OrderKey != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+s.cfg.OrderKey)) != 1 {
		http.Error(w, "credential refused", http.StatusUnauthorized)
		return
	}
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "body is not an order", http.StatusBadRequest)
		return
	}
	status := s.obey(o)
	s.mu.Lock()
	answer := map[string]any{"fence": s.fence, "models": slices.Clone(s.models), "role": s.role}
	s.mu.Unlock()
	writeJSON(w, status, answer)
}

func (s *Server) obey(o Order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.CheckFence && o.Fence < s.fence {
		return http.StatusConflict
	}
	s.fence = o.Fence
	running, boot := len(s.active), s.boot
	switch o.Action {
	case actionLoad:
		if !s.load(o.Model) {
			return http.StatusConflict
		}
	case "unload":
		s.models = slices.DeleteFunc(s.models, func(m string) bool { return m == o.Model })
	case "role":
		s.role = o.Role
	default:
		return http.StatusBadRequest
	}
	if s.boot == boot {
		running = 0
	}
	s.obeyed = append(s.obeyed, ObeyedOrder{Order: o, At: time.Now(), Broken: running})
	s.obeyed = s.obeyed[max(0, len(s.obeyed)-keptOrders):]
	s.announceNow()
	return http.StatusOK
}

// load begins to load a model. The answer to the order does not wait for it.
// The base model of another pool replaces the present one: running requests
// break, and the server serves the other pool after the load time, cold.
// Anything else, an adapter for example, is added while the server works. It
// reports false during another load. Its caller holds the server lock.
func (s *Server) load(model string) bool {
	if s.state == backend.Starting {
		return false
	}
	if !slices.Contains(s.cfg.Loadable, model) {
		s.afterLoad(func() { s.addModel(model) })
		return true
	}
	if model == s.pool {
		return true
	}
	if len(s.active) > 0 {
		s.log.Warnf("load of %s breaks %d running requests", model, len(s.active))
	}
	boot := s.coldStart()
	s.afterLoad(func() { s.serve(model, boot) })
	return true
}

// afterLoad runs f under the server lock after the load time, at once if that
// is 0. Its caller holds the server lock.
func (s *Server) afterLoad(f func()) {
	if s.cfg.LoadTime == 0 {
		f()
		return
	}
	time.AfterFunc(s.cfg.LoadTime.AsDuration(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	})
}

// addModel makes a model or adapter served. Its caller holds the server lock.
func (s *Server) addModel(model string) {
	if !slices.Contains(s.models, model) {
		s.models = append(s.models, model)
		s.announceNow()
	}
}

// serve ends the load of a base model, unless the server restarted meanwhile.
// Its caller holds the server lock.
func (s *Server) serve(model string, boot uint64) {
	if s.boot != boot {
		return
	}
	s.pool, s.models, s.state = model, nil, backend.Ready
	s.announceNow()
}
