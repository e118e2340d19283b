// Package callers keeps track of the connections of callers to an edge host:
// how many there are, which are idle, and whether a caller has left.
package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
)

const (
	// fileShare is the part of the open files that connections of callers may
	// take. Each request needs another one to its server.
	fileShare = 0.25
	// perMegabyte bounds connections by memory: one takes about 40 KB with its
	// request, and they may take a quarter of the memory.
	perMegabyte = 6
	// crowdedIdle is the idle time after which connections are closed while
	// too many are open. One that was just used may carry the next request
	// already.
	crowdedIdle = 2 * time.Second
	// sweepInterval is how often idle connections are looked for.
	sweepInterval = time.Second
	// drainInterval is the same while the host stops.
	drainInterval = 100 * time.Millisecond
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Conns are the open connections of callers. Its methods State and Context are
// the hooks of an http.Server. It is safe for concurrent use.
type Conns struct {
	log  *logrus.Entry
	most int // above which answers close theirs and idle ones are closed, 0 if there is no bound

	mu   sync.Mutex // guards what follows; no socket is looked at under it
	open int
	idle map[net.Conn]time.Time // since when
	// expired are idle ones on which the wait for a request was ended. A
	// request that was read before that goes on.
	expired map[net.Conn]bool
}

// NewConns returns the connections of a host that may open so many files, 0 if
// that is not known, and has that memory in MB, 0 if that is not known.
func NewConns(files int, memoryMB int64) *Conns {
	most := int(fileShare * float64(files))
	if memoryMB > 0 {
		most = min(most, perMegabyte*int(memoryMB))
	}
	return &Conns{log: logging.For("callers"), most: most, idle: map[net.Conn]time.Time{}, expired: map[net.Conn]bool{}}
}

// State counts connections and notes since when one is idle.
func (s *Conns) State(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	switch state {
	case http.StateNew:
		s.open++
	case http.StateActive:
		if s.expired[c] {
			delete(s.expired, c)
			_ = c.SetReadDeadline(time.Time{}) // fails on a closed connection only
		}
	case http.StateIdle:
		s.idle[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		s.open--
		delete(s.expired, c)
	}
}

// Context makes the connection known to Left.
func (s *Conns) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Crowded reports whether too many connections are open. A flood of short
// connections would otherwise take all files, and then nobody is answered, the
// balancer included.
func (s *Conns) Crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most > 0 && s.open > s.most
}

// Drain ends connections that carry no request, until none has been open for
// the quiet time or ctx ends. Those that still come are answered meanwhile.
func (s *Conns) Drain(ctx context.Context, quiet time.Duration) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	empty := time.Now()
	for time.Since(empty) < quiet {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.closeIdle(0)
		if s.openNow() > 0 {
			empty = time.Now()
		}
	}
}

func (s *Conns) openNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Sweep closes connections that are idle for too long until stop is closed.
func (s *Conns) Sweep(stop <-chan struct{}, limit func() time.Duration) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			s.closeIdle(limit())
		}
	}
}

// closeIdle closes connections that are idle for longer than the limit, and
// for a short time while too many are open. Sockets are looked at without the
// lock: a request that is being read waits for it.
func (s *Conns) closeIdle(limit time.Duration) {
	closed, unread, failed := 0, 0, 0
	var cause error
	candidates, limit := s.idleFor(limit)
	for _, c := range candidates {
		waiting, err := netpeek.Peek(c)
		switch {
		case err != nil:
			failed, cause = failed+1, err
		case waiting.Unread:
			unread++
		case s.closeIfIdle(c):
			closed++
		}
	}
	if len(candidates) > 0 {
		s.log.WithFields(logrus.Fields{"closed": closed, "unread": unread, "failed": failed, "error": cause, "limit_ms": limit.Milliseconds()}).Info("idle connections were looked at")
	}
}

// idleFor returns the connections that are idle for longer than the limit, or
// than the limit in force while too many are open.
func (s *Conns) idleFor(limit time.Duration) ([]net.Conn, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most > 0 && s.open > s.most {
		limit = crowdedIdle
	}
	var out []net.Conn
	for c, since := range s.idle {
		if time.Since(since) > limit {
			out = append(out, c)
		}
	}
	return out, limit
}

// closeIfIdle ends the wait for a request on the connection, which closes it,
// unless a request has come meanwhile.
func (s *Conns) closeIfIdle(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, idle := s.idle[c]; !idle {
		return false
	}
	delete(s.idle, c)
	s.expired[c] = true
	_ = c.SetReadDeadline(past) // fails on a closed connection only
	return true
}

// Left reports whether the caller has closed the connection of the request
// with that context. A busy host may read a request after that.
func Left(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	p, err := netpeek.Peek(c)
	return err != nil || p.Ended // an error means that the connection is closed
}
