package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
	maxKeyLength  = 255
	bearer        = "Bearer "
)

// request is one request of a caller on its way through the router.
type request struct {
	id        string
	arrived   time.Time
	w         http.ResponseWriter
	in        *http.Request
	workspace workspace.Workspace
	class     class.Class
	kind      backend.Kind
	pool      string
	path      string // as the server gets it
	chat      chatRequest
	body      []byte
	hint      uint64
	key       string
	decision  *Decision

	dispatched time.Time // last dispatch to a server, zero if there was none
}

func (r *Router) serveChat(w http.ResponseWriter, in *http.Request) {
	r.serve(w, in, func(q *request) *result.Error {
		chat, err := parseChat(q.body)
		if err != nil {
			return asError(err)
		}
		q.kind = backend.Engine
		q.chat = chat
		q.decision.Model = chat.Model
		name, ok := r.servers.poolOf(q.arrived, chat.Model)
		if !ok {
			return r.unknownPool(q, "model "+chat.Model)
		}
		q.pool = name
		q.path = chatPath
		return nil
	})
}

func (r *Router) serveService(w http.ResponseWriter, in *http.Request) {
	r.serve(w, in, func(q *request) *result.Error {
		q.kind = backend.Service
		q.pool = in.PathValue("service")
		if !class.ValidName(q.pool) || !r.servers.service(q.arrived, q.pool) {
			return r.unknownPool(q, fmt.Sprintf("service %.80q", q.pool))
		}
		rest := strings.TrimPrefix(in.URL.EscapedPath(), servicePrefix)
		_, rest, _ = strings.Cut(rest, "/")
		q.path = "/" + rest
		if in.URL.RawQuery != "" {
			q.path += "?" + in.URL.RawQuery
		}
		return nil
	})
}

// unknownPool refuses a request for a pool that nobody announces. A router that
// has just started may not have heard of it yet.
func (r *Router) unknownPool(q *request, name string) *result.Error {
	if q.arrived.Sub(r.began) < backend.SilenceLimit {
		return result.New(result.NoServer, "the router has just started and knows no server for %s yet", name)
	}
	return result.New(result.UnknownModel, "no server announces %s", name)
}

func (r *Router) serveUnknown(w http.ResponseWriter, in *http.Request) {
	writeError(w, result.New(result.InvalidRequest, "use POST %s or %s{service}/", chatPath, servicePrefix))
}

// serve admits a request, runs it and records the decision. target finds the
// pool once the body is known.
func (r *Router) serve(w http.ResponseWriter, in *http.Request, target func(*request) *result.Error) {
	q := &request{id: r.newID(), arrived: time.Now(), w: w, in: in}
	q.decision = &Decision{ID: q.id, Arrived: q.arrived, Method: in.Method, Path: in.URL.Path}
	w.Header().Set(proxy.HeaderRequestID, q.id)
	q.limitReads(r.cfg.Limits.BodyTimeout.Std())
	if !r.ready.Load() {
		w.Header().Set("Connection", "close")
	}
	r.counters.requests.Inc(1)
	defer r.open.Add(-1)
	if r.open.Add(1) > int64(r.cfg.Limits.OpenRequests) {
		r.refuse(q, result.New(result.QueueFull, "the router has %d open requests", r.cfg.Limits.OpenRequests))
		return
	}
	release, err := r.admit(q)
	defer release()
	if err == nil {
		err = target(q)
	}
	if err != nil {
		r.refuse(q, err)
		return
	}
	r.process(q)
}

func (r *Router) refuse(q *request, e *result.Error) {
	r.counters.refused.Inc(1)
	r.record(q, e)
	writeError(q.w, e)
}

// admit authenticates the request and reads its body. release gives back the
// memory of the body.
func (r *Router) admit(q *request) (release func(), refusal *result.Error) {
	release = func() {}
	cat := r.catalog.Load()
	if cat == nil {
		return release, result.New(result.NoConfiguration, "the router has no configuration yet")
	}
	q.decision.Catalog = cat.Revision()
	if err := r.identify(q, cat); err != nil {
		return release, err
	}
	if err := q.readOptions(); err != nil {
		return release, err
	}
	after, ok := r.rates.allow(q.arrived, q.workspace.Name, q.workspace.RequestsPerSecond)
	if !ok {
		return release, result.New(result.RateLimited, "workspace %s passed %g requests per second", q.workspace.Name, q.workspace.RequestsPerSecond).WithRetryAfter(after)
	}
	return r.readBody(q)
}

func (r *Router) identify(q *request, cat *catalog.Catalog) *result.Error {
	name := q.in.Header.Get(proxy.HeaderWorkspace)
	q.decision.Workspace = name
	q.decision.Class = q.in.Header.Get(proxy.HeaderClass)
	key, ok := strings.CutPrefix(q.in.Header.Get("Authorization"), bearer)
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
	q.class = c.Normalize()
	return nil
}

func (q *request) readOptions() *result.Error {
	q.key = q.in.Header.Get(proxy.HeaderIdempotencyKey)
	q.decision.Keyed = q.key != ""
	if len(q.key) > maxKeyLength {
		return result.New(result.InvalidRequest, "Idempotency-Key has %d bytes, at most %d", len(q.key), maxKeyLength)
	}
	text := q.in.Header.Get(proxy.HeaderCostHint)
	if text == "" {
		return nil
	}
	hint, err := strconv.ParseUint(text, 10, 62)
	if err != nil {
		return result.New(result.InvalidRequest, "%s %.80q is not a number of service units", proxy.HeaderCostHint, text)
	}
	q.hint = hint
	return nil
}

// readBody reads the whole body within its time and memory limits.
func (r *Router) readBody(q *request) (release func(), refusal *result.Error) {
	limits := &r.cfg.Limits
	if q.in.ContentLength > limits.BodyBytes {
		return func() {}, tooLarge(limits.BodyBytes)
	}
	reserved := q.in.ContentLength
	if reserved < 0 {
		reserved = limits.BodyBytes
	}
	release = func() { r.bodyMemory.Add(-reserved) }
	if r.bodyMemory.Add(reserved) > limits.BodyMemoryBytes {
		return release, result.New(result.QueueFull, "the bodies of open requests fill the memory of the router")
	}
	var buf bytes.Buffer
	if q.in.ContentLength > 0 {
		buf.Grow(int(q.in.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(q.w, q.in.Body, limits.BodyBytes))
	if err == nil {
		q.limitReads(0)
	} else {
		// Without it net/http would wait for the rest before the answer.
		q.w.Header().Set("Connection", "close")
	}
	q.body = buf.Bytes()
	if unused := reserved - int64(len(q.body)); unused > 0 && q.in.ContentLength < 0 {
		r.bodyMemory.Add(-unused)
		reserved -= unused
	}
	var tooMany *http.MaxBytesError
	switch {
	case errors.As(err, &tooMany):
		return release, tooLarge(limits.BodyBytes)
	case err != nil && err != io.EOF:
		return release, result.Wrap(result.InvalidRequest, err, "the body did not arrive")
	}
	return release, nil
}

// limitReads sets the time for the rest of the body, 0 for none. It also bounds
// the read of a body that net/http does before it sends a refusal.
func (q *request) limitReads(d time.Duration) {
	var deadline time.Time
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// Writers without deadlines are test recorders.
	_ = http.NewResponseController(q.w).SetReadDeadline(deadline)
}

func tooLarge(limit int64) *result.Error {
	return result.New(result.TooLarge, "the body is larger than %d bytes", limit)
}

// asError returns err as a result, InvalidRequest if it carries no code.
func asError(err error) *result.Error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.Wrap(result.InvalidRequest, err, "the request is not valid")
}

func (q *request) ask(self pool.RouterID, avoid []string) pool.Ask {
	a := pool.Ask{
		Router:    self,
		Workspace: q.workspace.Name,
		Class:     q.class,
		Arrived:   q.arrived,
		HintUnits: q.hint,
		Avoid:     avoid,
	}
	if q.kind == backend.Engine {
		a.Model = q.chat.Model
		a.PromptUnits = q.chat.PromptUnits
		a.PrefixHash = q.chat.PrefixHash
	}
	return a
}

func (q *request) context() context.Context { return q.in.Context() }

func contentLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}
