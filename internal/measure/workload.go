package measure

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	unitsPerPromptToken  = 1 // service units
	unitsPerOutputToken  = 4 // service units
	prefixesPerWorkspace = 24
	// connectRetryDelay is the time from a failed connection to the next ask of
	// the request.
	connectRetryDelay = 100 * time.Millisecond
)

// workloadClass is a class with the sizes of its requests. Sizes are uniformly
// distributed between a minimum and a maximum, so the largest cost is known.
type workloadClass struct {
	class.Class
	service        bool
	prompt, tokens [2]int  // minimum and maximum; tokens are milliseconds of work for services
	share          float64 // of all requests
}

// cost returns the service units of a request.
func (c *workloadClass) cost(prompt, tokens int) uint64 {
	if c.service {
		return uint64(tokens)
	}
	return uint64(unitsPerPromptToken*prompt + unitsPerOutputToken*tokens)
}

func (c *workloadClass) meanCost() float64 {
	return float64(c.cost((c.prompt[0]+c.prompt[1])/2, (c.tokens[0]+c.tokens[1])/2))
}

// workspace simulates the callers of one workspace.
type workspace struct {
	f            *fleet
	name         string
	number       int
	small        bool    // counted in targets_met and max_wait_small_workspace
	dataCentres  []int   // data centres that its callers send to
	requestRate  float64 // requests per second of an open loop, 0 for none
	openRequests int     // requests kept open by a closed loop, 0 for none
	onlyClass    string  // name of the only class that it uses, empty for all
	hintFactor   float64 // ratio of the cost hint to the true cost, 0 for no hints
	servedUnits  float64 // true cost of its dispatched requests
	active       bool    // its callers send requests
}

type requestState int

const (
	waiting requestState = iota
	running
	ended
)

// request is a request of a caller at its router.
type request struct {
	f            *fleet
	id           uint64
	router       *router
	workspace    *workspace
	workload     *workloadClass
	class        class.Class
	pool         string
	arrivedAt    time.Time
	askedAt      time.Time
	dispatchedAt time.Time
	firstTokenAt time.Time
	prompt       int
	tokens       int
	hint         uint64 // cost hint in service units, 0 for none
	prefix       uint64
	avoid        []string // servers to which a connection failed
	state        requestState
	grant        pool.Grant
	server       *backendServer
	startTokens  float64
}

func sortRequests(list []*request) []*request {
	slices.SortFunc(list, func(a, b *request) int { return int(a.id) - int(b.id) })
	return list
}

func (q *request) cost() uint64 { return q.workload.cost(q.prompt, q.tokens) }

// startCallers starts the closed-loop and open-loop callers of the workspace.
func (w *workspace) startCallers() {
	w.active = true
	for range w.openRequests {
		w.f.after(w.f.jitter(time.Second), w.sendRequest)
	}
	if w.requestRate > 0 {
		w.scheduleNext()
	}
}

// scheduleNext schedules the next open-loop request after an exponentially
// distributed time.
func (w *workspace) scheduleNext() {
	interarrivalSeconds := -math.Log(1-w.f.rnd.Float64()) / w.requestRate
	w.f.after(time.Duration(interarrivalSeconds*float64(time.Second)), func() {
		if w.active {
			w.sendRequest()
			w.scheduleNext()
		}
	})
}

// chooseClass returns onlyClass, or a random class by the shares of the
// classes.
func (w *workspace) chooseClass() *workloadClass {
	x := w.f.rnd.Float64()
	for i := range w.f.spec.classes {
		c := &w.f.spec.classes[i]
		if w.onlyClass == c.Name {
			return c
		}
		if w.onlyClass == "" {
			if x -= c.share; x < 0 {
				return c
			}
		}
	}
	return &w.f.spec.classes[0]
}

// randomBetween returns a random number from r[0] to r[1], both included.
func randomBetween(f *fleet, r [2]int) int { return r[0] + f.rnd.Intn(r[1]-r[0]+1) }

// sendRequest sends one request to a random router that accepts requests.
func (w *workspace) sendRequest() {
	if !w.active {
		return
	}
	c := w.chooseClass()
	f := w.f
	f.lastRequestID++
	q := &request{f: f, id: f.lastRequestID, workspace: w, workload: c, class: c.Class.WithDefaults(), arrivedAt: f.now,
		pool: "model", prompt: randomBetween(f, c.prompt), tokens: randomBetween(f, c.tokens)}
	if c.service {
		q.pool = f.spec.services
	} else if f.rnd.Float64() < 0.7 {
		q.prefix = uint64(w.number*prefixesPerWorkspace+f.rnd.Intn(prefixesPerWorkspace)+1) * 0x9E3779B97F4A7C15
	}
	if w.hintFactor > 0 {
		q.hint = uint64(max(w.hintFactor*float64(q.cost()), 1))
	}
	q.router = w.chooseRouter()
	if q.router == nil {
		f.after(time.Second, w.sendRequest)
		return
	}
	q.router.requests[q.id] = q
	f.metrics.recordAsk(q)
	q.router.ask(q)
}

// chooseRouter returns a random accepting router of the workspace's data
// centres, or nil if there is none.
func (w *workspace) chooseRouter() *router {
	var up []*router
	for _, dc := range w.dataCentres {
		up = append(up, w.f.acceptingRouters(dc)...)
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.f.rnd.Intn(len(up))]
}

// replaceRequest sends a new request in place of one that ended, to keep the
// number of open requests of a closed loop.
func (w *workspace) replaceRequest(after time.Duration) {
	if w.openRequests > 0 {
		w.f.after(after, w.sendRequest)
	}
}

// handleGrant sends the granted request to its server. A repeated grant is
// ignored; any other grant that no waiting request needs is settled as unused.
func (r *router) handleGrant(p string, g pool.Grant) {
	q := r.requests[g.RequestID]
	if q == nil || q.state != waiting {
		if q == nil || q.grant.GrantID != g.GrantID || q.grant.Epoch != g.Epoch {
			r.settle(p, pool.Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: pool.OutcomeUnused})
		}
		return
	}
	f := r.f
	f.updateUtilisation()
	q.state, q.grant, q.server, q.dispatchedAt = running, g, f.servers[g.Server], f.now
	f.metrics.recordDispatch(q)
	f.after(f.networkDelay(r.dc, q.server.dc), func() {
		if q.state != running {
			return
		}
		if !q.server.up || q.server.bootID != g.BootID && g.BootID != 0 || !f.reachable(r.dc, q.server.dc) {
			q.handleConnectFailure()
			return
		}
		q.server.accept(q)
	})
}

// handleConnectFailure returns the grant after a failed connection. Nothing was
// sent, so the request asks again under a new id and avoids the server.
func (q *request) handleConnectFailure() {
	q.f.metrics.undoDispatch(q)
	q.router.settle(q.pool, pool.Settle{GrantID: q.grant.GrantID, Epoch: q.grant.Epoch, Outcome: pool.OutcomeConnectFailed})
	q.state = waiting
	q.avoid = []string{q.server.name}
	delete(q.router.requests, q.id)
	q.f.lastRequestID++
	q.id = q.f.lastRequestID
	q.router.requests[q.id] = q
	q.f.metrics.waiting[q.pool]++
	q.f.after(connectRetryDelay, func() {
		if q.state == waiting {
			q.router.ask(q)
		}
	})
}

func (r *router) handleRefusal(x pool.Refusal) {
	q := r.requests[x.RequestID]
	if q == nil || q.state != waiting {
		return
	}
	r.f.updateUtilisation()
	r.f.metrics.recordRefusal(q, x)
	q.end()
	q.workspace.replaceRequest(x.RetryAfter)
}

func (q *request) handleFirstToken() {
	if q.state == running {
		q.firstTokenAt = q.f.now
	}
}

func (q *request) end() {
	q.state = ended
	delete(q.router.requests, q.id)
	q.router.restartIfDrained()
}

// handleCompletion settles the grant after a complete answer.
func (q *request) handleCompletion() {
	if q.state != running {
		return
	}
	if !q.f.reachable(q.router.dc, q.server.dc) { // the rest of the answer is lost
		q.f.after(q.class.ProgressTimeout, func() { q.handleBrokenAnswer(pool.OutcomeSilent) })
		return
	}
	s := pool.Settle{GrantID: q.grant.GrantID, Epoch: q.grant.Epoch, Outcome: pool.OutcomeOK, CostUnits: q.cost()}
	if !q.workload.service {
		s.FirstToken = q.firstTokenAt.Sub(q.dispatchedAt)
		if q.tokens > 1 {
			s.TokenInterval = q.f.now.Sub(q.firstTokenAt) / time.Duration(q.tokens-1)
		}
	}
	q.router.settle(q.pool, s)
	q.f.metrics.recordCompletion(q, s)
	q.end()
	q.workspace.replaceRequest(0)
}

// handleBrokenAnswer settles the grant after an incomplete answer.
func (q *request) handleBrokenAnswer(outcome pool.Outcome) {
	if q.state != running {
		return
	}
	q.router.settle(q.pool, pool.Settle{GrantID: q.grant.GrantID, Epoch: q.grant.Epoch, Outcome: outcome})
	q.end()
	q.workspace.replaceRequest(0)
}

// handleRouterLoss ends a request whose router was killed.
func (q *request) handleRouterLoss() {
	q.f.updateUtilisation()
	if q.state == waiting {
		q.f.metrics.waiting[q.pool]--
	} else if s := q.server; s.running[q] {
		s.cancelRequest(q)
	}
	q.end()
	q.workspace.replaceRequest(time.Second)
}

// cancelRequest removes a running request whose connection was closed.
func (s *backendServer) cancelRequest(q *request) {
	s.f.updateUtilisation()
	s.advanceProgress()
	delete(s.running, q)
	for i, x := range s.completions {
		if x.r == q {
			heap.Remove(&s.completions, i)
			break
		}
	}
	s.scheduleCompletion()
}
