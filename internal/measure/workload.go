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
	promptUnit = 1
	tokenUnit  = 4
	prefixes   = 24 // of one workspace
	// connectRetry is the time before a request asks again after a failed
	// connection.
	connectRetry = 100 * time.Millisecond
)

// workClass is a class with the sizes of its requests. Sizes are uniform
// between least and most, so the largest cost is known.
type workClass struct {
	class.Class
	service        bool
	prompt, tokens [2]int  // least and most; tokens are ms for services
	share          float64 // of the requests
}

func (c *workClass) cost(prompt, tokens int) uint64 {
	if c.service {
		return uint64(tokens)
	}
	return uint64(promptUnit*prompt + tokenUnit*tokens)
}

func (c *workClass) mean() float64 {
	return float64(c.cost((c.prompt[0]+c.prompt[1])/2, (c.tokens[0]+c.tokens[1])/2))
}

// workspace is a tenant with its callers.
type workspace struct {
	f       *fleet
	name    string
	number  int
	small   bool
	centres []int   // where its callers are
	perSec  float64 // open loop: requests per second
	open    int     // closed loop: requests kept open
	only    string  // one class, or all
	hint    float64 // factor on a true cost hint, 0 for no hints
	served  float64 // true cost of its dispatched requests
	active  bool
}

type requestState int

const (
	waiting requestState = iota
	running
	ended
)

// request is one request of a caller at its router.
type request struct {
	f           *fleet
	id          uint64
	router      *router
	workspace   *workspace
	work        *workClass
	class       class.Class
	pool        string
	arrived     time.Time
	asked       time.Time
	dispatched  time.Time
	first       time.Time
	prompt      int
	tokens      int
	hint        uint64
	prefix      uint64
	avoid       []string
	state       requestState
	grant       pool.Grant
	server      *backendServer
	startTokens float64
}

func sortRequests(list []*request) []*request {
	slices.SortFunc(list, func(a, b *request) int { return int(a.id) - int(b.id) })
	return list
}

func (q *request) cost() uint64 { return q.work.cost(q.prompt, q.tokens) }

// begin starts the callers of a workspace.
func (w *workspace) begin() {
	w.active = true
	for range w.open {
		w.f.after(w.f.jitter(time.Second), w.issue)
	}
	if w.perSec > 0 {
		w.next()
	}
}

func (w *workspace) next() {
	gap := -math.Log(1-w.f.rnd.Float64()) / w.perSec
	w.f.after(time.Duration(gap*float64(time.Second)), func() {
		if w.active {
			w.issue()
			w.next()
		}
	})
}

func (w *workspace) pick() *workClass {
	x := w.f.rnd.Float64()
	for i := range w.f.d.classes {
		c := &w.f.d.classes[i]
		if w.only == c.Name {
			return c
		}
		if w.only == "" {
			if x -= c.share; x < 0 {
				return c
			}
		}
	}
	return &w.f.d.classes[0]
}

func between(f *fleet, r [2]int) int { return r[0] + f.rnd.Intn(r[1]-r[0]+1) }

// issue sends one request to an entry host that is up.
func (w *workspace) issue() {
	if !w.active {
		return
	}
	c := w.pick()
	f := w.f
	f.ids++
	q := &request{f: f, id: f.ids, workspace: w, work: c, class: c.Class.WithDefaults(), arrived: f.now,
		pool: "model", prompt: between(f, c.prompt), tokens: between(f, c.tokens)}
	if c.service {
		q.pool = f.d.services
	} else if f.rnd.Float64() < 0.7 {
		q.prefix = uint64(w.number*prefixes+f.rnd.Intn(prefixes)+1) * 0x9E3779B97F4A7C15
	}
	if w.hint > 0 {
		q.hint = uint64(max(w.hint*float64(q.cost()), 1))
	}
	q.router = w.entry()
	if q.router == nil {
		f.after(time.Second, w.issue)
		return
	}
	q.router.requests[q.id] = q
	f.m.asked(q)
	q.router.ask(q)
}

func (w *workspace) entry() *router {
	var up []*router
	for _, dc := range w.centres {
		up = append(up, w.f.upOf(dc)...)
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.f.rnd.Intn(len(up))]
}

// again keeps the number of open requests of a closed loop.
func (w *workspace) again(after time.Duration) {
	if w.open > 0 {
		w.f.after(after, w.issue)
	}
}

func (r *router) granted(p string, g pool.Grant) {
	q := r.requests[g.RequestID]
	if q == nil || q.state != waiting {
		if q == nil || q.grant.GrantID != g.GrantID || q.grant.Epoch != g.Epoch {
			r.settle(p, pool.Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: pool.OutcomeUnused})
		}
		return
	}
	f := r.f
	f.accountUse()
	q.state, q.grant, q.server, q.dispatched = running, g, f.servers[g.Server], f.now
	f.m.dispatched(q)
	f.after(f.delay(r.dc, q.server.dc), func() {
		if q.state != running {
			return
		}
		if !q.server.up || q.server.boot != g.BootID && g.BootID != 0 || !f.reach(r.dc, q.server.dc) {
			q.refusedByServer()
			return
		}
		q.server.accept(q)
	})
}

// refusedByServer handles a failed connection: nothing was sent, so the
// request asks again.
func (q *request) refusedByServer() {
	q.f.m.undo(q)
	q.router.settle(q.pool, pool.Settle{GrantID: q.grant.GrantID, Epoch: q.grant.Epoch, Outcome: pool.OutcomeConnectFailed})
	q.state = waiting
	q.avoid = []string{q.server.name}
	delete(q.router.requests, q.id)
	q.f.ids++
	q.id = q.f.ids
	q.router.requests[q.id] = q
	q.f.m.waiting[q.pool]++
	q.f.after(connectRetry, func() {
		if q.state == waiting {
			q.router.ask(q)
		}
	})
}

func (r *router) refused(x pool.Refusal) {
	q := r.requests[x.RequestID]
	if q == nil || q.state != waiting {
		return
	}
	r.f.accountUse()
	r.f.m.refused(q, x)
	q.end()
	q.workspace.again(x.RetryAfter)
}

func (q *request) firstToken() {
	if q.state == running {
		q.first = q.f.now
	}
}

func (q *request) end() {
	q.state = ended
	delete(q.router.requests, q.id)
	q.router.stopIfDrained()
}

// done is the end of a whole answer.
func (q *request) done() {
	if q.state != running {
		return
	}
	if !q.f.reach(q.router.dc, q.server.dc) { // the rest of the answer is lost
		q.f.after(q.class.ProgressTimeout, func() { q.broken(pool.OutcomeSilent) })
		return
	}
	s := pool.Settle{GrantID: q.grant.GrantID, Epoch: q.grant.Epoch, Outcome: pool.OutcomeOK, CostUnits: q.cost()}
	if !q.work.service {
		s.FirstToken = q.first.Sub(q.dispatched)
		if q.tokens > 1 {
			s.TokenInterval = q.f.now.Sub(q.first) / time.Duration(q.tokens-1)
		}
	}
	q.router.settle(q.pool, s)
	q.f.m.done(q, s)
	q.end()
	q.workspace.again(0)
}

// broken is the end of an answer that is not whole.
func (q *request) broken(outcome pool.Outcome) {
	if q.state != running {
		return
	}
	q.router.settle(q.pool, pool.Settle{GrantID: q.grant.GrantID, Epoch: q.grant.Epoch, Outcome: outcome})
	q.end()
	q.workspace.again(0)
}

// lost is the end of a request whose router was killed.
func (q *request) lost() {
	q.f.accountUse()
	if q.state == waiting {
		q.f.m.waiting[q.pool]--
	} else if s := q.server; s.running[q] {
		s.abandon(q)
	}
	q.end()
	q.workspace.again(time.Second)
}

// abandon ends a request whose connection closed.
func (s *backendServer) abandon(q *request) {
	s.f.accountUse()
	s.advance()
	delete(s.running, q)
	for i, x := range s.order {
		if x.r == q {
			heap.Remove(&s.order, i)
			break
		}
	}
	s.schedule()
}
