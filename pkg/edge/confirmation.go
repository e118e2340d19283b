package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

const (
	// confirmTimeout bounds the confirmation of what this host knows. A caller waits
	// meanwhile.
	confirmTimeout = 300 * time.Millisecond
	// confirmRetryDelay is the pause before the core hosts are asked again after none of
	// them led.
	confirmRetryDelay = 20 * time.Millisecond
)

var errNoCoreHost = errors.New("no core host is connected")

// coreConns holds the connections to the core hosts. It is safe for concurrent use.
type coreConns struct {
	mu    sync.Mutex
	conns map[*grpc.ClientConn]bool
}

func (c *coreConns) add(conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*grpc.ClientConn]bool{}
	}
	c.conns[conn] = true
}

func (c *coreConns) remove(conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// confirmedRevision returns the revision of the agreed state after a majority of the core
// hosts has confirmed it, within confirmTimeout.
func (s *Server) confirmedRevision() (uint64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	for {
		revision, err := s.cores.readRevision(ctx)
		if err == nil || errors.Is(err, errNoCoreHost) {
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(confirmRetryDelay):
		}
	}
}

// readRevision asks all connected core hosts at the same time, because only the leader
// answers. It returns the first answer.
func (c *coreConns) readRevision(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		revision uint64
		err      error
	}
	c.mu.Lock()
	answers, count := make(chan answer, len(c.conns)), len(c.conns)
	for conn := range c.conns {
		go func() {
			state, err := apiv1.NewFleetClient(conn).Read(ctx, &apiv1.FleetReadRequest{})
			answers <- answer{state.GetRevision(), err}
		}()
	}
	c.mu.Unlock()
	err := errNoCoreHost
	for range count {
		a := <-answers
		if a.err == nil {
			return a.revision, nil
		}
		err = a.err
	}
	return 0, err
}

// confirmView returns after this host has applied everything that the core hosts had
// agreed on before the call. It fails if no majority confirms that in time, or if this
// host does not receive it.
func (s *Server) confirmView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	revision, err := s.confirmations.Do(ctx)
	if err != nil {
		return err
	}
	for {
		s.mu.Lock()
		applied, changed := s.fleetView.revision, s.fleetView.revisionChanged
		s.mu.Unlock()
		if applied >= revision {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// mergeRevision records that the state of the revision has been merged.
func (v *fleetView) mergeRevision(revision uint64) {
	if revision <= v.revision {
		return
	}
	v.revision = revision
	close(v.revisionChanged)
	v.revisionChanged = make(chan struct{})
}

// soleRelease returns the only release that wrote what a caller can ask the rest of on a
// route that is not declared as one of streams. Nothing is recorded there, so it is known
// only if the agreed state, which a majority confirms now, has one release of the service
// and leads the route there. What this host knows alone refuses, but proves nothing: it
// may have been cut off or have stood still. The state is Sole, Unknown or Unconfirmed.
func (x *proxiedRequest) soleRelease() (release.ID, streamrecord.State) {
	x.awaitHistory()
	if _, ok := x.knownSoleRelease(); !ok {
		return release.Unknown, streamrecord.Unknown
	}
	if err := x.s.confirmView(x.callerCtx); err != nil {
		return release.Unknown, streamrecord.Unconfirmed
	}
	id, ok := x.knownSoleRelease()
	if !ok {
		return release.Unknown, streamrecord.Unknown
	}
	return id, streamrecord.Sole
}

// awaitHistory waits until the history lists a release of the service, for confirmTimeout
// at most. A server that has just joined serves requests some ms before its release is
// recorded.
func (x *proxiedRequest) awaitHistory() {
	ctx, cancel := context.WithTimeout(x.callerCtx, confirmTimeout)
	defer cancel()
	for {
		x.s.mu.Lock()
		listed, changed := len(x.s.fleetView.releases[x.dispatchReq.Service].GetReleases()), x.s.fleetView.revisionChanged
		x.s.mu.Unlock()
		if listed > 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// knownSoleRelease returns the only release of the service of the route that this host
// knows, and false if it knows none, several or one that fits nothing, or if the route no
// longer leads to that service alone.
func (x *proxiedRequest) knownSoleRelease() (release.ID, bool) {
	route := x.currentRoute()
	if route == nil || route.Stream || len(x.route.Services()) != 1 || len(route.Services()) != 1 || route.Services()[0] != x.dispatchReq.Service {
		return release.Unknown, false
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	listed := x.s.fleetView.releases[x.dispatchReq.Service].GetReleases()
	if len(listed) != 1 || release.ID(listed[0]) == release.Unknown {
		return release.Unknown, false
	}
	id, differs := release.ID(listed[0]), false
	x.s.fleetView.servers.Each(func(e *registry.Entry) {
		differs = differs || e.Service == x.dispatchReq.Service && e.Release != id && e.State != registry.Gone
	})
	return id, !differs
}

// currentRoute returns the route that the request has by the newest configuration, nil if
// there is none.
func (x *proxiedRequest) currentRoute() *routing.Route {
	table := x.s.table.Load()
	if table == nil {
		return nil
	}
	return table.Match(x.in.Host, x.in.Path)
}
