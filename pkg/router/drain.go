package router

import (
	"context"
	"time"
)

// drainPollInterval is the interval of the checks whether draining has ended.
const drainPollInterval = 20 * time.Millisecond

// SetNotReady makes the router report that it is not ready. It still serves the
// requests that it receives.
func (r *Router) SetNotReady() { r.ready.Store(false) }

// WaitIdle waits until no request is open and the end of every keyed request is
// recorded in control. If ctx ends first, it returns the cause of ctx.
func (r *Router) WaitIdle(ctx context.Context) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for r.openRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
		}
	}
	recorded := make(chan struct{})
	go func() {
		r.recordWrites.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close refuses the requests that wait for a grant; they have not run. Running
// requests continue.
func (r *Router) Close() {
	r.closingOnce.Do(func() { close(r.closing) })
	r.transport.Close()
}
