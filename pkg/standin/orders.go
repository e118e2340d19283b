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

// Order is the body of POST /v1/orders. It loads or unloads a model or changes
// the role.
type Order struct {
	Action string `json:"action"` // load, unload, role
	Model  string `json:"model"`
	Role   string `json:"role"`
	Fence  uint64 `json:"fence"` // fencing token
}

// ExecutedOrder is an order that the server has executed.
type ExecutedOrder struct {
	Order
	At     time.Time `json:"at"`
	Broken int       `json:"broken"` // running requests that the order aborted
}

const maxKeptOrders = 256 // most recent orders that GET /v1/orders returns

func (s *Server) handleListOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	list := slices.Clone(s.executedOrders)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	if s.cfg.OrderKey != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+s.cfg.OrderKey)) != 1 {
		http.Error(w, "credential refused", http.StatusUnauthorized)
		return
	}
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "body is not a JSON order", http.StatusBadRequest)
		return
	}
	status := s.executeOrder(o)
	s.mu.Lock()
	answer := map[string]any{"fence": s.fence, "models": slices.Clone(s.models), "role": s.role}
	s.mu.Unlock()
	writeJSON(w, status, answer)
}

// executeOrder executes an order and returns the HTTP status of the response.
func (s *Server) executeOrder(order Order) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.CheckFence && order.Fence < s.fence {
		return http.StatusConflict
	}
	s.fence = order.Fence
	running, bootID := len(s.activeExecutions), s.bootID
	switch order.Action {
	case actionLoad:
		if !s.startModelLoad(order.Model) {
			return http.StatusConflict
		}
	case "unload":
		s.models = slices.DeleteFunc(s.models, func(m string) bool { return m == order.Model })
	case "role":
		s.role = order.Role
	default:
		return http.StatusBadRequest
	}
	if s.bootID == bootID {
		running = 0
	}
	s.executedOrders = append(s.executedOrders, ExecutedOrder{Order: order, At: time.Now(), Broken: running})
	s.executedOrders = s.executedOrders[max(0, len(s.executedOrders)-maxKeptOrders):]
	s.requestAnnouncement()
	return http.StatusOK
}

// startModelLoad starts to load a model and returns without waiting for it. The
// base model of another pool replaces the present one: running requests are
// aborted, and after the load time the server serves the other pool and is cold.
// Any other model, such as an adapter, is added while the server keeps serving.
// It reports false while the server is starting or loading. Its caller holds the
// server lock.
func (s *Server) startModelLoad(model string) bool {
	if s.state == backend.Starting {
		return false
	}
	if !slices.Contains(s.cfg.Loadable, model) {
		s.runAfterLoadTime(func() { s.addModel(model) })
		return true
	}
	if model == s.pool {
		return true
	}
	if len(s.activeExecutions) > 0 {
		s.log.Warnf("loading %s aborts %d running requests", model, len(s.activeExecutions))
	}
	bootID := s.resetToCold()
	s.runAfterLoadTime(func() { s.finishModelLoad(model, bootID) })
	return true
}

// runAfterLoadTime runs f under the server lock after the load time, immediately
// if that is 0. Its caller holds the server lock.
func (s *Server) runAfterLoadTime(f func()) {
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

// addModel adds a model or adapter to those served. Its caller holds the server
// lock.
func (s *Server) addModel(model string) {
	if !slices.Contains(s.models, model) {
		s.models = append(s.models, model)
		s.requestAnnouncement()
	}
}

// finishModelLoad switches to the pool of a loaded base model, unless the server
// has restarted since the load started. Its caller holds the server lock.
func (s *Server) finishModelLoad(model string, bootID uint64) {
	if s.bootID != bootID {
		return
	}
	s.pool, s.models, s.state = model, nil, backend.Ready
	s.requestAnnouncement()
}
