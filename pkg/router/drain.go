package router

import (
	"context"
	"time"
)

// drainPoll is how often a draining router looks for the end of its work.
const drainPoll = 20 * time.Millisecond

// Leave makes readiness fall. The router goes on to serve what it gets.
func (r *Router) Leave() { r.ready.Store(false) }

// Idle waits until no request is open and every keyed request is recorded. It
// returns the cause of ctx if that comes first.
func (r *Router) Idle(ctx context.Context) error {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for r.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
		}
	}
	recorded := make(chan struct{})
	go func() {
		r.background.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close ends waiting requests as not run. Running ones go on.
func (r *Router) Close() {
	r.closeOnce.Do(func() { close(r.closing) })
	r.transport.Close()
}
