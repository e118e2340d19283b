package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/callers"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

const (
	chatPath               = "/v1/chat/completions"
	servicePrefix          = "/services/"
	maxIdempotencyKeyBytes = 255
	bearerPrefix           = "Bearer "
)

// request is the state of one caller's request while the router handles it.
type request struct {
	id             string
	arrivedAt      time.Time
	w              http.ResponseWriter
	req            *http.Request
	workspace      workspace.Workspace
	class          class.Class
	kind           backend.Kind
	poolName       string
	serverPath     string // path and query sent to the server
	chat           chatRequest
	body           []byte
	costHint       uint64
	idempotencyKey string
	decision       *Decision
	suspects       []uint64 // what servers may crash on, the whole request last
	isTrial        bool     // tests whether a suspect still crashes servers

	confirmedAt  time.Time // of a take-up, see confirmCatalog; zero before
	dispatchedAt time.Time // time of the last dispatch to a server, zero before the first
	wasLost      bool      // it was lost with a server before its answer began
	counts       string    // prefix of its counters
	granted      bool      // it had a slot
	began        bool      // a byte of an answer was passed on
}

func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	r.serveRequest(w, req, func(q *request) *result.Error {
		chat, err := parseChat(q.body)
		if err != nil {
			return toResultError(err)
		}
		q.kind = backend.Engine
		q.chat = chat
		q.decision.Model = chat.Model
		name, ok := r.servers.poolForModel(q.arrivedAt, chat.Model)
		if !ok {
			return r.unknownPoolError(q, "model "+chat.Model)
		}
		q.poolName = name
		q.serverPath = chatPath
		return nil
	})
}

func (r *Router) serveService(w http.ResponseWriter, req *http.Request) {
	r.serveRequest(w, req, func(q *request) *result.Error {
		q.kind = backend.Service
		q.poolName, q.serverPath, _ = serviceTarget(req)
		if !class.ValidName(q.poolName) || !r.servers.isServicePool(q.arrivedAt, q.poolName) {
			return r.unknownPoolError(q, fmt.Sprintf("service %.80q", q.poolName))
		}
		return proxy.CheckTarget(req.Method, q.serverPath)
	})
}

// serviceTarget returns the service of a request for a plain service and the target that
// its servers get, byte by byte as the caller sent it; false for another request.
func serviceTarget(req *http.Request) (service, target string, ok bool) {
	target = callers.Target(req)
	path, _, _ := strings.Cut(target, "?")
	rest, ok := strings.CutPrefix(path, servicePrefix)
	escaped, _, found := strings.Cut(rest, "/")
	service, err := url.PathUnescape(escaped)
	if !ok || !found || service == "" || err != nil {
		return "", "", false
	}
	return service, target[len(servicePrefix)+len(escaped):], true
}

// unknownPoolError returns the refusal of a request for a pool that no server
// announces. A router that has just started may not have received the
// announcements yet, so the caller is told to retry.
func (r *Router) unknownPoolError(q *request, name string) *result.Error {
	if q.arrivedAt.Sub(r.startedAt) < backend.AnnouncementTimeout {
		return result.New(result.NoServer, "the router has just started and has received no announcement for %s yet", name)
	}
	return result.New(result.UnknownModel, "no server announces %s", name)
}

func (r *Router) serveUnknown(w http.ResponseWriter, req *http.Request) {
	writeError(w, result.New(result.InvalidRequest, "unknown path: use POST %s or %s{service}/", chatPath, servicePrefix))
	callers.SendEarlyRefusal(w, req)
}

// serveRequest admits a request, runs it and records the decision. resolvePool
// sets the pool, which depends on the body.
func (r *Router) serveRequest(w http.ResponseWriter, req *http.Request, resolvePool func(*request) *result.Error) {
	if !r.serveAdmitted(w, req, resolvePool) {
		// The request counts as open no longer, and holds no memory.
		callers.SendEarlyRefusal(w, req)
	}
}

// serveAdmitted is serveRequest. It reports whether it has read the body; if not, it has
// refused the request.
func (r *Router) serveAdmitted(w http.ResponseWriter, req *http.Request, resolvePool func(*request) *result.Error) (bodyRead bool) {
	q := &request{id: r.newRequestID(), arrivedAt: time.Now(), w: w, req: req}
	q.decision = &Decision{ID: q.id, Arrived: q.arrivedAt, Method: req.Method, Path: req.URL.Path}
	w.Header().Set(proxy.HeaderRequestID, q.id)
	callers.SetRequestID(req.Context(), q.id)
	q.setBodyReadTimeout(r.cfg.Limits.BodyTimeout.AsDuration())
	if !r.ready.Load() {
		w.Header().Set("Connection", "close")
	}
	r.counters.requests.Inc(1)
	q.counts = countPrefix(q)
	r.countStep(q, stepArrived)
	defer r.openRequests.Add(-1)
	if r.openRequests.Add(1) > int64(r.cfg.Limits.OpenRequests) {
		r.refuse(q, result.New(result.QueueFull, "the router has reached its limit of %d open requests", r.cfg.Limits.OpenRequests))
		return false
	}
	release, err := r.admit(q)
	defer release()
	if err != nil {
		r.refuse(q, err)
		return false
	}
	err = resolvePool(q)
	if err == nil {
		err = r.refuseTakeUp(q)
	}
	if err != nil {
		r.refuse(q, err)
		return true
	}
	r.runAdmitted(q)
	return true
}

func (r *Router) refuse(q *request, e *result.Error) {
	r.counters.refused.Inc(1)
	r.recordDecision(q, e)
	writeError(q.w, e)
}

// admit authenticates the request and reads its body. release returns the
// memory reserved for the body.
func (r *Router) admit(q *request) (release func(), refusal *result.Error) {
	release = func() {}
	cat := r.catalog.Load()
	if cat == nil {
		return release, result.New(result.NoConfiguration, "the router has no configuration yet")
	}
	q.decision.Catalog = cat.Revision()
	if err := r.authenticate(q, cat); err != nil {
		return release, err
	}
	if err := q.readOptionHeaders(); err != nil {
		return release, err
	}
	retryAfter, ok := r.rateLimiters.allow(q.arrivedAt, q.workspace.Name, q.workspace.RequestsPerSecond, q.isTakeUp())
	if !ok {
		return release, result.New(result.RateLimited, "workspace %s exceeded its limit of %g requests per second", q.workspace.Name, q.workspace.RequestsPerSecond).WithRetryAfter(retryAfter)
	}
	return r.readBody(q)
}

// authenticate checks the key of the workspace and looks up the class.
func (r *Router) authenticate(q *request, cat *catalog.Catalog) *result.Error {
	name := q.req.Header.Get(proxy.HeaderWorkspace)
	q.decision.Workspace = name
	q.decision.Class = q.req.Header.Get(proxy.HeaderClass)
	key, ok := strings.CutPrefix(q.req.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return result.New(result.Unauthenticated, "header Authorization with a bearer key is missing")
	}
	ws, ok := cat.Workspace(name)
	if !ok {
		return result.New(result.UnknownWorkspace, "workspace %.80q does not exist", name)
	}
	if !ws.Authenticate(key) {
		return result.New(result.Unauthenticated, "the key does not belong to workspace %s", name)
	}
	c, ok := cat.Class(q.decision.Class)
	if !ok {
		return result.New(result.UnknownClass, "class %.80q does not exist", q.decision.Class)
	}
	q.workspace = ws
	q.class = c.WithDefaults()
	return nil
}

// readOptionHeaders reads the optional idempotency key and cost hint.
func (q *request) readOptionHeaders() *result.Error {
	q.idempotencyKey = q.req.Header.Get(proxy.HeaderIdempotencyKey)
	q.decision.Keyed = q.idempotencyKey != ""
	if len(q.idempotencyKey) > maxIdempotencyKeyBytes {
		return result.New(result.InvalidRequest, "Idempotency-Key has %d bytes, at most %d", len(q.idempotencyKey), maxIdempotencyKeyBytes)
	}
	text := q.req.Header.Get(proxy.HeaderCostHint)
	if text == "" {
		return nil
	}
	costHint, err := strconv.ParseUint(text, 10, 62)
	if err != nil {
		return result.New(result.InvalidRequest, "%s %.80q is not a number of service units", proxy.HeaderCostHint, text)
	}
	q.costHint = costHint
	return nil
}

// readBody reads the whole body. It fails if the body is too large or too slow,
// if the bodies of all open requests would exceed their memory limit, or if the
// router stops before the body is complete.
func (r *Router) readBody(q *request) (release func(), refusal *result.Error) {
	limits := &r.cfg.Limits
	if q.req.ContentLength > limits.BodyBytes {
		return func() {}, bodyTooLargeError(limits.BodyBytes)
	}
	reserved := q.req.ContentLength
	if reserved < 0 {
		reserved = limits.BodyBytes
	}
	release = func() { r.bodyMemoryBytes.Add(-reserved) }
	if r.bodyMemoryBytes.Add(reserved) > limits.BodyMemoryBytes {
		return release, result.New(result.QueueFull, "the bodies of all open requests exceed limits.body_memory_bytes")
	}
	var buf bytes.Buffer
	if q.req.ContentLength > 0 {
		buf.Grow(int(q.req.ContentLength) + bytes.MinRead)
	}
	ctx, releaseCtx := r.sendingContext(q)
	defer releaseCtx()
	stop := context.AfterFunc(ctx, q.endBodyRead)
	_, err := buf.ReadFrom(http.MaxBytesReader(q.w, q.req.Body, limits.BodyBytes))
	stopped := !stop()
	if err == nil && !stopped {
		q.setBodyReadTimeout(0)
	} else {
		// Otherwise net/http would read the rest of the body before it sends
		// the refusal.
		q.w.Header().Set("Connection", "close")
	}
	q.body = buf.Bytes()
	if unused := reserved - int64(len(q.body)); unused > 0 && q.req.ContentLength < 0 {
		r.bodyMemoryBytes.Add(-unused)
		reserved -= unused
	}
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesErr):
		return release, bodyTooLargeError(limits.BodyBytes)
	case (err != nil || stopped) && errors.Is(context.Cause(ctx), proxy.ErrStopping):
		return release, result.New(result.ShuttingDown, "the router stops before the request body was complete").WithRetryAfter(lateRetryAfter)
	case err != nil && err != io.EOF:
		return release, result.Wrap(result.InvalidRequest, err, "the request body could not be read")
	}
	return release, nil
}

// setBodyReadTimeout sets the timeout for reading the rest of the body, 0 for
// none. It also limits the read of an unread body that net/http does before it
// sends a refusal.
func (q *request) setBodyReadTimeout(d time.Duration) {
	var deadline time.Time
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// Fails only for response recorders in tests, which have no deadlines.
	_ = http.NewResponseController(q.w).SetReadDeadline(deadline)
}

// endBodyRead ends a read of the body at once.
func (q *request) endBodyRead() {
	// Fails only for response recorders in tests, which have no deadlines.
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Unix(1, 0))
}

func bodyTooLargeError(limit int64) *result.Error {
	return result.New(result.TooLarge, "the body is larger than %d bytes", limit)
}

// toResultError returns the result error in the chain of err, or an
// InvalidRequest that wraps err.
func toResultError(err error) *result.Error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.Wrap(result.InvalidRequest, err, "the request is not valid")
}

// newAsk returns the ask for a slot. The owner grants none on a server in avoid.
func (q *request) newAsk(self pool.RouterID, avoid []string) pool.Ask {
	a := pool.Ask{
		Router:    self,
		Workspace: q.workspace.Name,
		Class:     q.class,
		Arrived:   q.arrivedAt,
		HintUnits: q.costHint,
		Avoid:     avoid,
		TakesUp:   q.isTakeUp(),
	}
	if q.kind == backend.Engine {
		a.Model = q.chat.Model
		a.PromptUnits = q.chat.PromptUnits
		a.PrefixHash = q.chat.PrefixHash
	}
	return a
}

func (q *request) context() context.Context { return q.req.Context() }

// contentLength returns the value of Content-Length, -1 if it is missing or not
// valid.
func contentLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}
